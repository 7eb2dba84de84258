#include "peer/peer_stream.h"

#include <errno.h>
#include <openssl/err.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

void peer_stream_init(struct peer_stream *stream, int fd, SSL *ssl)
{
	memset(stream, 0, sizeof(*stream));
	stream->fd = fd;
	stream->ssl = ssl;
	strbuf_init(&stream->in);
	strbuf_init(&stream->out);
}

void peer_stream_finish(struct peer_stream *stream)
{
	SSL_free(stream->ssl);
	stream->ssl = NULL;
	if (stream->fd >= 0)
		close(stream->fd);
	stream->fd = -1;
	stream->established = 0;
	strbuf_finish(&stream->in);
	strbuf_finish(&stream->out);
}

/* Judges a call of OpenSSL that did not succeed: 0 to wait, -1 broken. */
static int tls_outcome(struct peer_stream *stream, int result,
		       struct error *err)
{
	char text[160];
	int reason = SSL_get_error(stream->ssl, result);

	stream->wants_write = reason == SSL_ERROR_WANT_WRITE;
	if (reason == SSL_ERROR_WANT_READ || reason == SSL_ERROR_WANT_WRITE)
		return 0;
	if (reason == SSL_ERROR_ZERO_RETURN)
		return error_set(err, ERROR_UNAVAILABLE, "connection closed");
	if (reason == SSL_ERROR_SSL) {
		ERR_error_string_n(ERR_peek_error(), text, sizeof(text));
		ERR_clear_error();
		return error_set(err, ERROR_DENIED, "TLS: %s", text);
	}
	return error_set(err, ERROR_UNAVAILABLE, "connection cut");
}

int peer_stream_handshake(struct peer_stream *stream, struct error *err)
{
	int result = 1;

	if (stream->ssl) {
		ERR_clear_error();
		result = SSL_do_handshake(stream->ssl);
		if (result != 1)
			return tls_outcome(stream, result, err);
	}
	stream->wants_write = 0;
	stream->established = 1;
	return 1;
}

/* Returns the bytes read, 0 if there are none now, -1 if broken. */
static int64_t read_some(struct peer_stream *stream, void *dst, size_t size,
			 struct error *err)
{
	ssize_t len;

	if (stream->ssl) {
		int result;

		ERR_clear_error();
		result = SSL_read(stream->ssl, dst, (int)size);
		return result > 0 ? result : tls_outcome(stream, result, err);
	}
	len = recv(stream->fd, dst, size, 0);
	if (len > 0)
		return len;
	if (len < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	return error_set(err, ERROR_UNAVAILABLE, "connection closed: %s",
			 len ? strerror(errno) : "end of stream");
}

int peer_stream_read(struct peer_stream *stream, struct error *err)
{
	size_t total = 0;

	while (total < PEER_STREAM_READ_BYTES) {
		char chunk[16 * 1024];
		int64_t len = read_some(stream, chunk, sizeof(chunk), err);

		if (len < 0)
			return -1;
		if (!len)
			break;
		strbuf_add(&stream->in, chunk, (size_t)len);
		total += (size_t)len;
	}
	return 0;
}

static int64_t write_some(struct peer_stream *stream, const void *src,
			  size_t size, struct error *err)
{
	ssize_t len;

	if (stream->ssl) {
		int result;

		ERR_clear_error();
		result = SSL_write(stream->ssl, src, (int)size);
		return result > 0 ? result : tls_outcome(stream, result, err);
	}
	len = send(stream->fd, src, size, MSG_NOSIGNAL);
	if (len >= 0)
		return len;
	if (errno == EAGAIN || errno == EINTR)
		return 0;
	return error_set(err, ERROR_UNAVAILABLE, "connection cut: %s",
			 strerror(errno));
}

int peer_stream_write(struct peer_stream *stream, struct error *err)
{
	while (peer_stream_has_output(stream)) {
		int64_t len =
			write_some(stream, stream->out.buf + stream->out_sent,
				   stream->out.len - stream->out_sent, err);

		if (len < 0)
			return -1;
		if (!len)
			return 0;
		stream->out_sent += (size_t)len;
	}
	strbuf_reset(&stream->out);
	stream->out_sent = 0;
	return 0;
}

int peer_stream_has_output(const struct peer_stream *stream)
{
	return stream->out_sent < stream->out.len;
}

uint32_t peer_stream_events(const struct peer_stream *stream)
{
	uint32_t events = EPOLLIN;

	if (stream->wants_write ||
	    (stream->established && peer_stream_has_output(stream)))
		events |= EPOLLOUT;
	return events;
}
