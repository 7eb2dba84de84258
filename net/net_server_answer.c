#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <http_parser.h>
#include <stdio.h>
#include <string.h>

#include "base/bug.h"
#include "net/net_server_private.h"

static void write_head(struct net_connection *conn, uint16_t status,
		       const char *fields, int64_t body_len)
{
	struct strbuf head;

	if (conn->server->draining)
		conn->close_after = 1;
	strbuf_init(&head);
	strbuf_addf(&head, "HTTP/1.1 %u %s\r\n", status,
		    http_status_str((enum http_status)status));
	if (fields)
		strbuf_addstr(&head, fields);
	conn->chunked = body_len < 0;
	if (conn->chunked)
		strbuf_addstr(&head, "Transfer-Encoding: chunked\r\n");
	else
		strbuf_addf(&head, "Content-Length: %lld\r\n",
			    (long long)body_len);
	if (conn->close_after)
		strbuf_addstr(&head, "Connection: close\r\n");
	strbuf_addstr(&head, "\r\n");
	net_connection_write(conn, head.buf, head.len);
	strbuf_finish(&head);
	conn->head_written = 1;
}

void net_request_answer(struct net_request *request,
			const struct net_answer *answer)
{
	struct net_connection *conn = request->connection;

	if (conn->head_written)
		BUG("request answered twice");
	if (answer->close)
		conn->close_after = 1;
	write_head(conn, answer->status, answer->fields,
		   (int64_t)answer->body_len);
	if (answer->body_len && strcmp(request->head->method, "HEAD"))
		net_connection_write(conn, answer->body, answer->body_len);
	net_connection_finish_answer(conn);
}

void net_request_begin(struct net_request *request, uint16_t status,
		       const char *fields, int64_t body_len)
{
	struct net_connection *conn = request->connection;

	if (conn->head_written)
		BUG("request answered twice");
	write_head(conn, status, fields, body_len);
}

void net_request_write(struct net_request *request, const void *data,
		       size_t len)
{
	struct net_connection *conn = request->connection;
	char size[32];

	if (!len)
		return;
	if (conn->chunked)
		net_connection_write(
			conn, size,
			(size_t)snprintf(size, sizeof(size), "%zx\r\n", len));
	net_connection_write(conn, data, len);
	if (conn->chunked)
		net_connection_write(conn, "\r\n", 2);
}

void net_request_end(struct net_request *request)
{
	struct net_connection *conn = request->connection;

	if (conn->chunked)
		net_connection_write(conn, "0\r\n\r\n", 5);
	net_connection_finish_answer(conn);
}

void net_request_abort(struct net_request *request)
{
	struct net_connection *conn = request->connection;

	request->owner = NULL;
	net_connection_free(conn);
}

int net_request_is_short_of_memory(const struct net_request *request)
{
	const struct net_server *server = request->connection->server;

	return server->limits.max_memory_bytes &&
	       server->memory_bytes > server->limits.max_memory_bytes / 2;
}

void net_request_set_owner_bytes(struct net_request *request, uint64_t bytes)
{
	request->owner_bytes = bytes;
	net_connection_update_memory(request->connection);
}

size_t net_request_unsent_bytes(const struct net_request *request)
{
	return evbuffer_get_length(
		bufferevent_get_output(request->connection->bev));
}

int net_server_has_unsent(const struct net_server *server)
{
	for (const struct net_connection *c = server->connections; c;
	     c = c->next)
		if (evbuffer_get_length(bufferevent_get_output(c->bev)))
			return 1;
	return 0;
}
