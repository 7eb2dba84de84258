#include "net/net_server_private.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "base/container_of.h"
#include "net/net_address.h"

#define LISTEN_BACKLOG 1024
/* Input buffered for a connection whose request is not answered yet. */
#define MAX_READ_AHEAD_BYTES 16384
/* Answers that a caller may leave unread before its next request is read. */
#define MAX_UNREAD_ANSWER_BYTES 16384
/*
 * Bytes of answers that the kernel holds for a connection before they are sent.
 * Otherwise its buffer grows to megabytes for each caller that doesn't read.
 */
#define MAX_KERNEL_UNSENT_BYTES 65536
/* How long a connection that is shut down waits for the caller to close. */
#define LINGER_NS (1 * NS_PER_S)

void net_connection_free(struct net_connection *conn)
{
	struct net_server *server = conn->server;
	evutil_socket_t fd = bufferevent_getfd(conn->bev);

	timer_unsubscribe(&server->reactor->timers, &conn->timer);
	*conn->link = conn->next;
	if (conn->next)
		conn->next->link = conn->link;
	if (server->sample_next == conn)
		server->sample_next = conn->next;
	server->connection_count--;
	if (server->descriptors)
		server->descriptors->open--;
	server->held_bytes -= conn->held_bytes;
	server->memory_bytes -= conn->memory_bytes;
	if (conn->state == CONNECTION_BUSY)
		server->busy_count--;
	/* libevent would close the socket only at the next turn of its loop. */
	bufferevent_disable(conn->bev, EV_READ | EV_WRITE);
	bufferevent_free(conn->bev);
	evutil_closesocket(fd);
	strbuf_finish(&conn->request.body);
	http_reader_finish(&conn->reader);
	free(conn);
}

static void on_linger_timeout(void *arg, int64_t now_ns)
{
	(void)now_ns;
	net_connection_free(arg);
}

static void linger(struct net_connection *conn)
{
	conn->state = CONNECTION_LINGERING;
	shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
	timer_subscribe_once(&conn->server->reactor->timers, &conn->timer,
			     LINGER_NS, on_linger_timeout, conn);
}

static void on_timeout(void *arg, int64_t now_ns);

static void set_timeout(struct net_connection *conn, int64_t timeout_ns)
{
	timer_subscribe_once(&conn->server->reactor->timers, &conn->timer,
			     timeout_ns, on_timeout, conn);
}

static void stop_timeout(struct net_connection *conn)
{
	timer_unsubscribe(&conn->server->reactor->timers, &conn->timer);
}

static void release_body(struct net_connection *conn)
{
	strbuf_finish(&conn->request.body);
	conn->server->held_bytes -= conn->held_bytes;
	conn->held_bytes = 0;
}

static void set_answered(struct net_connection *conn)
{
	if (conn->state == CONNECTION_BUSY)
		conn->server->busy_count--;
	conn->request.owner = NULL;
	conn->request.owner_bytes = 0;
	release_body(conn);
}

void net_request_discard_body(struct net_request *request)
{
	release_body(request->connection);
	net_connection_update_memory(request->connection);
}

static void read_more(struct net_connection *conn);

static void on_next_turn(void *arg, int64_t now_ns)
{
	(void)now_ns;
	read_more(arg);
}

void net_connection_finish_answer(struct net_connection *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	set_answered(conn);
	net_connection_update_memory(conn);
	net_connection_begin_input(conn);
	set_timeout(conn, conn->server->limits.idle_timeout_ns);
	if (!(bufferevent_get_enabled(conn->bev) & EV_READ))
		bufferevent_enable(conn->bev, EV_READ);
	if (conn->close_after) {
		conn->state = CONNECTION_CLOSING;
		if (!evbuffer_get_length(out))
			linger(conn);
		return;
	}
	conn->state = CONNECTION_READING;
	conn->head_written = 0;
	http_reader_next(&conn->reader);
	/* Deferred: the owner that answered is still on the call stack. */
	if (evbuffer_get_length(bufferevent_get_input(conn->bev)))
		timer_subscribe_once(&conn->server->reactor->timers,
				     &conn->timer, 0, on_next_turn, conn);
}

/* Answers a request that could not be read, and closes the connection. */
static void reject_request(struct net_connection *conn, uint16_t status,
			   const char *reason)
{
	struct net_handler *handler = conn->server->handler;
	struct net_answer answer = {
		.status = status,
		.fields = "Content-Type: text/plain\r\n",
		.body = reason,
		.body_len = strlen(reason),
		.close = 1,
	};

	if (handler->vt->on_rejected)
		handler->vt->on_rejected(handler, &conn->reader.head, status,
					 reason);
	conn->request.head = &conn->reader.head;
	net_request_answer(&conn->request, &answer);
}

static void on_timeout(void *arg, int64_t now_ns)
{
	struct net_connection *conn = arg;

	(void)now_ns;
	if (conn->state == CONNECTION_READING && conn->reader.began)
		reject_request(conn, 408, "the request was not whole in time");
	else
		net_connection_free(conn);
}

static int reject_on_read(struct net_connection *conn, uint16_t status,
			  const char *reason)
{
	conn->reject_status = status;
	conn->reject_reason = reason;
	return -1;
}

static int on_head(struct http_reader *reader)
{
	struct net_connection *conn =
		container_of(reader, struct net_connection, reader);
	const struct net_limits *limits = &conn->server->limits;
	int64_t body_bytes = http_reader_body_bytes(reader);
	const char *expect = http_head_find(&reader->head, "Expect");
	static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (body_bytes > 0 && (uint64_t)body_bytes > limits->max_body_bytes)
		return reject_on_read(conn, 413, "the body is over the limit");
	if (expect && !strcasecmp(expect, "100-continue"))
		net_connection_write(conn, go_on, strlen(go_on));
	set_timeout(conn, limits->idle_timeout_ns);
	return 0;
}

static int on_body(struct http_reader *reader, const char *data, size_t len)
{
	struct net_connection *conn =
		container_of(reader, struct net_connection, reader);
	struct net_server *server = conn->server;

	net_connection_count_input(conn, len);
	if (conn->request.body.len + len > server->limits.max_body_bytes)
		return reject_on_read(conn, 413, "the body is over the limit");
	while (server->held_bytes + len > server->limits.max_held_bytes)
		if (!net_connection_displace_for_body(conn))
			return reject_on_read(conn, 503,
					      "too many bodies are held");
	strbuf_add(&conn->request.body, data, len);
	conn->held_bytes += len;
	server->held_bytes += len;
	return 0;
}

static const struct http_reader_vtable reader_vtable = { on_head, on_body };

static void dispatch_request(struct net_connection *conn)
{
	struct net_server *server = conn->server;

	stop_timeout(conn);
	conn->state = CONNECTION_BUSY;
	server->busy_count++;
	conn->close_after = !conn->reader.keep_alive;
	conn->request.head = &conn->reader.head;
	conn->request.received_ns = reactor_now_ns(server->reactor);
	server->handler->vt->on_request(server->handler, &conn->request);
}

static void on_read_result(struct net_connection *conn,
			   enum http_reader_result result)
{
	switch (result) {
	case HTTP_READER_MORE:
		break;
	case HTTP_READER_END:
		dispatch_request(conn);
		break;
	case HTTP_READER_STOPPED:
		reject_request(conn, conn->reject_status, conn->reject_reason);
		break;
	case HTTP_READER_HEAD_TOO_LARGE:
		reject_request(conn, 431, "the head is over the limit");
		break;
	case HTTP_READER_MALFORMED:
		reject_request(conn, 400, "this is no HTTP request");
		break;
	}
}

static void start_request(struct net_connection *conn)
{
	conn->request.began_ns = reactor_now_ns(conn->server->reactor);
	net_connection_begin_input(conn);
	conn->reader.max_head_bytes = conn->server->limits.max_head_bytes;
	set_timeout(conn, conn->server->limits.head_timeout_ns);
}

/* Whether the caller sends requests ahead without reading the answers. */
static int must_read_answers(const struct net_connection *conn)
{
	return evbuffer_get_length(bufferevent_get_output(conn->bev)) >
	       MAX_UNREAD_ANSWER_BYTES;
}

/* Reads until a request is complete or the input is used up. */
static void read_more(struct net_connection *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	enum http_reader_result result = HTTP_READER_MORE;
	size_t len;

	if (!conn->reader.began && must_read_answers(conn)) {
		conn->waits_for_reader = 1;
		bufferevent_disable(conn->bev, EV_READ);
		set_timeout(conn, conn->server->limits.idle_timeout_ns);
		return;
	}
	/* The connection may have been freed after another result. */
	while (result == HTTP_READER_MORE &&
	       conn->state == CONNECTION_READING &&
	       (len = evbuffer_get_contiguous_space(in)) > 0) {
		const char *data =
			(const char *)evbuffer_pullup(in, (ev_ssize_t)len);
		size_t used;

		if (!conn->reader.began)
			start_request(conn);
		if (!conn->reader.head_complete)
			net_connection_count_input(conn, len);
		result = http_reader_feed(&conn->reader, data, len, &used);
		evbuffer_drain(in, used);
		if (result == HTTP_READER_MORE)
			net_connection_update_memory(conn);
		else
			on_read_result(conn, result);
	}
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	struct net_connection *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (conn->state == CONNECTION_READING) {
		read_more(conn);
	} else if (conn->state == CONNECTION_BUSY) {
		/* At the watermark, libevent would call again for ever. */
		if (evbuffer_get_length(in) >= MAX_READ_AHEAD_BYTES)
			bufferevent_disable(bev, EV_READ);
		net_connection_update_memory(conn);
	} else {
		evbuffer_drain(in, evbuffer_get_length(in));
	}
}

static void on_written(struct bufferevent *bev, void *arg)
{
	struct net_connection *conn = arg;
	struct net_request_owner *owner = conn->request.owner;

	(void)bev;
	net_connection_update_memory(conn);
	if (conn->state == CONNECTION_CLOSING) {
		linger(conn);
	} else if (conn->waits_for_reader) {
		conn->waits_for_reader = 0;
		bufferevent_enable(conn->bev, EV_READ);
		read_more(conn);
	} else if (conn->state == CONNECTION_BUSY && owner &&
		   owner->vt->on_drained) {
		owner->vt->on_drained(owner);
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct net_connection *conn = arg;

	(void)bev;
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* End of the caller's stream; the last answer may still be sent. */
	if (conn->state == CONNECTION_CLOSING && what & BEV_EVENT_EOF &&
	    !(what & BEV_EVENT_ERROR)) {
		bufferevent_disable(conn->bev, EV_READ);
		return;
	}
	net_connection_drop(conn);
}

static void set_socket_options(evutil_socket_t fd)
{
	int on = 1;
	int unsent_bytes = MAX_KERNEL_UNSENT_BYTES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_bytes,
		   sizeof(unsent_bytes));
}

static int has_room(const struct net_server *server)
{
	const struct net_descriptors *shared = server->descriptors;
	uint32_t max;

	if (server->connection_count >= server->limits.max_connections)
		return 0;
	if (!shared)
		return 1;
	max = shared->max - shared->max / NET_DESCRIPTORS_POOL_DIVISOR;
	return shared->open < max;
}

/* Descriptors are asked of all that share them, connections of the server. */
static int make_room_for_accept(struct net_server *server)
{
	const struct net_descriptors *shared = server->descriptors;

	if (shared && shared->make_room &&
	    server->connection_count < server->limits.max_connections)
		return shared->make_room(shared->arg);
	return net_server_make_room(server);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int addr_len, void *arg)
{
	struct net_server *server = arg;
	struct net_connection *conn;

	(void)listener;
	(void)addr;
	(void)addr_len;
	server->accepted++;
	while (!has_room(server)) {
		if (!make_room_for_accept(server)) {
			evutil_closesocket(fd);
			return;
		}
	}
	set_socket_options(fd);
	conn = xcalloc(1, sizeof(*conn));
	conn->server = server;
	conn->request.connection = conn;
	strbuf_init(&conn->request.body);
	http_reader_init(&conn->reader, &reader_vtable, 0,
			 server->limits.max_head_bytes);
	conn->bev = bufferevent_socket_new(server->reactor->events, fd, 0);
	if (!conn->bev)
		BUG("cannot allocate a bufferevent");
	conn->next = server->connections;
	conn->link = &server->connections;
	if (conn->next)
		conn->next->link = &conn->next;
	server->connections = conn;
	server->connection_count++;
	if (server->descriptors)
		server->descriptors->open++;
	net_connection_begin_input(conn);
	bufferevent_setcb(conn->bev, on_readable, on_written, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, MAX_READ_AHEAD_BYTES);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	set_timeout(conn, server->limits.idle_timeout_ns);
	net_connection_update_memory(conn);
}

int net_server_init(struct net_server *server, struct reactor *reactor,
		    const char *address, const struct net_limits *limits,
		    struct net_handler *handler, struct error *err)
{
	struct sockaddr_in addr;

	memset(server, 0, sizeof(*server));
	server->reactor = reactor;
	server->limits = *limits;
	server->handler = handler;
	if (net_address_parse(address, &addr))
		return error_set(err, ERROR_INVALID,
				 "address '%s' is not ip:port", address);
	server->listener = evconnlistener_new_bind(
		reactor->events, on_accept, server,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, LISTEN_BACKLOG,
		(struct sockaddr *)&addr, sizeof(addr));
	if (!server->listener)
		return error_set(err, ERROR_IO, "cannot listen on '%s'",
				 address);
	return 0;
}

void net_server_finish(struct net_server *server)
{
	struct net_connection *conn = server->connections;

	if (server->listener)
		evconnlistener_free(server->listener);
	server->listener = NULL;
	while (conn) {
		struct net_connection *next = conn->next;

		net_connection_drop(conn);
		conn = next;
	}
	if (server->reactor)
		timer_unsubscribe(&server->reactor->timers, &server->trim);
}

uint16_t net_server_port(const struct net_server *server)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);

	memset(&addr, 0, sizeof(addr));
	getsockname(evconnlistener_get_fd(server->listener),
		    (struct sockaddr *)&addr, &len);
	return ntohs(addr.sin_port);
}

void net_server_drain(struct net_server *server)
{
	server->draining = 1;
}

void net_server_close_idle(struct net_server *server)
{
	struct net_connection *conn = server->connections;

	if (server->listener)
		evconnlistener_free(server->listener);
	server->listener = NULL;
	while (conn) {
		struct net_connection *next = conn->next;

		if (conn->state == CONNECTION_READING && !conn->reader.began)
			net_connection_free(conn);
		conn = next;
	}
}
