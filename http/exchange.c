#include "http/exchange.h"

#include <civetweb.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "http/connection_watch.h"

/* Progress of a response is known by pieces. */
#define PIECE_BYTES 65536

#define BEARER "Bearer "

const char *http_exchange_header(const struct http_exchange *exchange,
				 const char *name)
{
	return mg_get_header(exchange->connection, name);
}

const char *http_exchange_bearer(const struct http_exchange *exchange)
{
	const char *value = http_exchange_header(exchange, "Authorization");

	if (!value || strncmp(value, BEARER, strlen(BEARER)))
		return NULL;
	return value + strlen(BEARER);
}

int http_exchange_query(const struct http_exchange *exchange, const char *name,
			char *out, size_t out_size)
{
	if (!exchange->query)
		return -1;
	return mg_get_var(exchange->query, strlen(exchange->query), name, out,
			  out_size) < 0
		       ? -1
		       : 0;
}

static const char *status_text(int status)
{
	return mg_get_response_code_text(NULL, status);
}

static void add_head(const struct http_exchange *exchange, struct strbuf *out,
		     int status, const char *content_type,
		     const char *extra_headers)
{
	if (exchange->close_after)
		mg_disable_connection_keep_alive(exchange->connection);
	strbuf_addf(out, "HTTP/1.1 %d %s\r\n", status, status_text(status));
	strbuf_addf(out, "Content-Type: %s\r\n", content_type);
	strbuf_addf(out, "Connection: %s\r\n",
		    exchange->close_after ? "close" : "keep-alive");
	strbuf_addstr(out, extra_headers ? extra_headers : "");
}

static void write_all(struct http_exchange *exchange, const void *data,
		      size_t len)
{
	connection_watch_write_begin(exchange->watched);
	for (size_t at = 0; at < len && !exchange->broken;) {
		size_t part = len - at < PIECE_BYTES ? len - at : PIECE_BYTES;

		if (mg_write(exchange->connection, (const char *)data + at,
			     part) != (int)part)
			exchange->broken = 1;
		connection_watch_wrote(exchange->watched, part);
		at += part;
	}
	connection_watch_write_end(exchange->watched);
}

void http_exchange_send(struct http_exchange *exchange, int status,
			const char *content_type, const char *extra_headers,
			const void *body, size_t len)
{
	struct strbuf out;

	strbuf_init(&out);
	add_head(exchange, &out, status, content_type, extra_headers);
	strbuf_addf(&out, "Content-Length: %zu\r\n\r\n", len);
	strbuf_add(&out, body, len);
	write_all(exchange, out.buf, out.len);
	exchange->head_sent = 1;
	strbuf_finish(&out);
}

void http_exchange_send_json(struct http_exchange *exchange, int status,
			     const json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	http_exchange_send(exchange, status, "application/json", NULL, text,
			   strlen(text));
	free(text);
}

int64_t http_retry_after_s(int64_t retry_after_ns)
{
	return (retry_after_ns + NS_PER_S - 1) / NS_PER_S;
}

void http_exchange_send_problem(struct http_exchange *exchange,
				const struct problem *problem)
{
	char extra[64] = "";
	json_t *json = json_object();
	char *text;

	json_object_set_new(json, "type", json_string(problem->type));
	json_object_set_new(json, "title",
			    json_string(status_text(problem->status)));
	json_object_set_new(json, "status", json_integer(problem->status));
	json_object_set_new(
		json, "detail",
		json_stringn(problem->detail, strlen(problem->detail)));
	json_object_set_new(json, "ran",
			    json_string(run_status_name(problem->run)));
	if (problem->retry_after_ns) {
		int64_t after_s = http_retry_after_s(problem->retry_after_ns);

		json_object_set_new(
			json, "retry_after_ms",
			json_integer(problem->retry_after_ns / NS_PER_MS));
		snprintf(extra, sizeof(extra), "Retry-After: %" PRId64 "\r\n",
			 after_s);
	}
	text = json_dumps(json, JSON_COMPACT);
	http_exchange_send(exchange, problem->status,
			   "application/problem+json", extra, text,
			   strlen(text));
	free(text);
	json_decref(json);
}

int http_exchange_begin_stream(struct http_exchange *exchange,
			       const char *content_type)
{
	struct strbuf out;

	strbuf_init(&out);
	add_head(exchange, &out, 200, content_type,
		 "Cache-Control: no-store\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n");
	write_all(exchange, out.buf, out.len);
	exchange->head_sent = 1;
	strbuf_finish(&out);
	return exchange->broken ? -1 : 0;
}

int http_exchange_stream(struct http_exchange *exchange, const void *data,
			 size_t len)
{
	if (exchange->broken)
		return -1;
	if (!len)
		return 0;
	connection_watch_write_begin(exchange->watched);
	if (mg_send_chunk(exchange->connection, data, (unsigned int)len) < 0)
		exchange->broken = 1;
	connection_watch_write_end(exchange->watched);
	return exchange->broken ? -1 : 0;
}

void http_exchange_end_stream(struct http_exchange *exchange)
{
	if (!exchange->broken)
		write_all(exchange, "0\r\n\r\n", 5);
}

void http_exchange_abort_stream(struct http_exchange *exchange)
{
	exchange->broken = 1;
	mg_disable_connection_keep_alive(exchange->connection);
}

void http_path_escape(struct strbuf *out, const char *path)
{
	for (; *path; path++) {
		unsigned char c = (unsigned char)*path;

		if (isalnum(c) || strchr("-._~/!$&'()*+,;=:@", c))
			strbuf_addch(out, (char)c);
		else
			strbuf_addf(out, "%%%02X", c);
	}
}
