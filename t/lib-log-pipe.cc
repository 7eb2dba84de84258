#include "t/lib-log-pipe.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

// Both ways: this header, then `len` bytes.
struct log_call {
	uint64_t offset; // append: of the entry; read: from, then first
	uint64_t head;
	int64_t wait_ns;
	uint32_t count;
	uint32_t len;
	int32_t is_append;
	int32_t failed;
};

static bool send_all(int fd, const void *data, size_t len)
{
	const char *at = static_cast<const char *>(data);

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		len -= sent;
	}
	return true;
}

static bool receive_all(int fd, void *data, size_t len)
{
	return len == 0 ||
	       recv(fd, data, len, MSG_WAITALL) == static_cast<ssize_t>(len);
}

static bool send_call(int fd, struct log_call *call, const std::string &body)
{
	call->len = static_cast<uint32_t>(body.size());
	return send_all(fd, call, sizeof(*call)) &&
	       send_all(fd, body.data(), body.size());
}

static bool receive_call(int fd, struct log_call *call, std::string *body)
{
	if (!receive_all(fd, call, sizeof(*call)))
		return false;
	body->resize(call->len);
	return receive_all(fd, &(*body)[0], body->size());
}

int pipe_call(struct log_port *port, bool is_append, struct log_call *call,
	      std::string *body, struct error *err)
{
	struct with_self {
		struct log_port port;
		LogPipe *self;
	};
	LogPipe *self = reinterpret_cast<struct with_self *>(port)->self;
	std::lock_guard<std::mutex> guard(is_append ? self->append_lock
						    : self->read_lock);
	int fd = is_append ? self->append_fds[1] : self->read_fds[1];

	if (!send_call(fd, call, *body) || !receive_call(fd, call, body))
		return error_set(err, ERROR_UNKNOWN_OUTCOME, "pipe closed");
	return 0;
}

static int pipe_append(struct log_port *port, const void *data, size_t len,
		       int64_t, uint64_t *offset, struct error *err)
{
	struct log_call call = {};
	std::string body(static_cast<const char *>(data), len);

	call.is_append = 1;
	if (pipe_call(port, true, &call, &body, err))
		return -1;
	*offset = call.offset;
	return 0;
}

static int pipe_read(struct log_port *port, uint64_t from, uint32_t max,
		     int64_t wait_ns, struct log_chunk *out, struct error *err)
{
	struct log_call call = {};
	std::string body;
	size_t at = 0;

	call.offset = from;
	call.count = max;
	call.wait_ns = wait_ns;
	if (pipe_call(port, false, &call, &body, err))
		return -1;
	memset(out, 0, sizeof(*out));
	out->first = call.offset;
	out->head = call.head;
	if (call.failed)
		return error_set(err, ERROR_NOT_FOUND, "dropped");
	out->entries = static_cast<struct log_entry *>(
		calloc(call.count + 1, sizeof(*out->entries)));
	for (uint32_t i = 0; i < call.count; i++) {
		struct log_entry *entry = &out->entries[out->entry_count++];
		uint64_t head[2];

		memcpy(head, body.data() + at, sizeof(head));
		at += sizeof(head);
		entry->offset = head[0];
		entry->len = head[1];
		entry->data = static_cast<uint8_t *>(malloc(entry->len + 1));
		memcpy(entry->data, body.data() + at, entry->len);
		at += entry->len;
	}
	return 0;
}

static void pipe_finish(struct log_port *)
{
}

static const struct log_port_vtable pipe_vtable = { pipe_append, pipe_read,
						    pipe_finish };

LogPipe::LogPipe(FakeLog *shared) : log(shared)
{
	base.port.vt = &pipe_vtable;
	base.self = this;
	if (socketpair(AF_UNIX, SOCK_STREAM, 0, append_fds) ||
	    socketpair(AF_UNIX, SOCK_STREAM, 0, read_fds))
		abort();
}

LogPipe::~LogPipe()
{
	for (int fd : { append_fds[1], read_fds[1] })
		close(fd);
	if (append_thread.joinable())
		append_thread.join();
	if (read_thread.joinable())
		read_thread.join();
	for (int fd : { append_fds[0], read_fds[0] })
		close(fd);
}

void LogPipe::become_client()
{
	close(append_fds[0]);
	close(read_fds[0]);
}

void LogPipe::serve()
{
	append_thread = std::thread([this] { answer(append_fds[0]); });
	read_thread = std::thread([this] { answer(read_fds[0]); });
}

void LogPipe::answer(int fd)
{
	struct log_call call;
	std::string body;

	while (receive_call(fd, &call, &body)) {
		struct log_chunk chunk;

		if (call.is_append) {
			call.offset = log->append(body);
			body.clear();
			if (!send_call(fd, &call, body))
				break;
			continue;
		}
		call.failed = log->read(call.offset, call.count, call.wait_ns,
					&chunk) != 0;
		call.offset = chunk.first;
		call.head = chunk.head;
		call.count = chunk.entry_count;
		body.clear();
		for (uint32_t i = 0; i < chunk.entry_count; i++) {
			const struct log_entry *entry = &chunk.entries[i];
			uint64_t head[2] = { entry->offset, entry->len };

			body.append(reinterpret_cast<char *>(head),
				    sizeof(head));
			body.append(reinterpret_cast<char *>(entry->data),
				    entry->len);
		}
		log_chunk_finish(&chunk);
		if (!send_call(fd, &call, body))
			break;
	}
}
