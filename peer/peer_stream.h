#ifndef PEER_PEER_STREAM_H
#define PEER_PEER_STREAM_H

#include <openssl/ssl.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/strbuf.h"

/*
 * One non-blocking connection, with or without TLS. Its owner calls it when
 * epoll reports the socket, and watches for peer_stream_events().
 */
#define PEER_STREAM_READ_BYTES (64 * 1024)

struct peer_stream {
	int fd; /* -1: closed */
	SSL *ssl; /* NULL: no TLS */
	int established; /* connected, and the handshake is done */
	int wants_write; /* TLS waits for room to write */
	struct strbuf in;
	struct strbuf out;
	size_t out_sent; /* bytes of `out` that are written */
};

/* Takes over `fd` and `ssl`. */
void peer_stream_init(struct peer_stream *stream, int fd, SSL *ssl);
void peer_stream_finish(struct peer_stream *stream);

/* Goes on with the TLS handshake: 1 done, 0 not yet, -1 refused. */
int peer_stream_handshake(struct peer_stream *stream, struct error *err);

/* Reads what is there, up to a bound, into `in`; -1 if closed or broken. */
int peer_stream_read(struct peer_stream *stream, struct error *err);

/* Writes as much of `out` as fits; -1 if closed or broken. */
int peer_stream_write(struct peer_stream *stream, struct error *err);
int peer_stream_has_output(const struct peer_stream *stream);

/* The epoll events to watch for. */
uint32_t peer_stream_events(const struct peer_stream *stream);

#endif
