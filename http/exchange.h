#ifndef HTTP_EXCHANGE_H
#define HTTP_EXCHANGE_H

#include <jansson.h>
#include <stdint.h>

#include "base/strbuf.h"
#include "request/problem.h"

/*
 * One HTTP request and its response. Used only by the thread that serves the
 * request.
 */
struct mg_connection;
struct watched_request;

struct http_exchange {
	struct mg_connection *connection;
	struct watched_request *watched; /* NULL: no whole head came */
	const char *method;
	const char *path;
	const char *query; /* NULL: none */
	struct strbuf body;
	int close_after; /* the response carries "Connection: close" */
	int head_sent; /* status line and headers are written */
	int broken; /* a write failed, or the stream was aborted */
};

/* Returns the first value of a header, or NULL if it is absent. */
const char *http_exchange_header(const struct http_exchange *exchange,
				 const char *name);

/* Returns the token of "Authorization: Bearer TOKEN", or NULL. */
const char *http_exchange_bearer(const struct http_exchange *exchange);

/*
 * Copies the decoded value of a query parameter into `out`. Returns -1 if the
 * parameter is absent.
 */
int http_exchange_query(const struct http_exchange *exchange, const char *name,
			char *out, size_t out_size);

void http_exchange_send(struct http_exchange *exchange, int status,
			const char *content_type, const char *extra_headers,
			const void *body, size_t len);
void http_exchange_send_json(struct http_exchange *exchange, int status,
			     const json_t *json);
void http_exchange_send_problem(struct http_exchange *exchange,
				const struct problem *problem);

/*
 * Streams a response with chunked encoding. The functions return -1 once the
 * caller has closed the connection.
 */
int http_exchange_begin_stream(struct http_exchange *exchange,
			       const char *content_type);
int http_exchange_stream(struct http_exchange *exchange, const void *data,
			 size_t len);
void http_exchange_end_stream(struct http_exchange *exchange);

/*
 * Ends an incomplete streamed response: closes the connection without the
 * last chunk, so that the caller does not take the response for complete.
 */
void http_exchange_abort_stream(struct http_exchange *exchange);

/* Appends `path`, percent-encoding the bytes that a URL cannot contain. */
void http_path_escape(struct strbuf *out, const char *path);

/* Returns whole seconds, rounded up, for the Retry-After header. */
int64_t http_retry_after_s(int64_t retry_after_ns);

#endif
