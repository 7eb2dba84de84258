#ifndef CLIENT_HTTP_CALL_H
#define CLIENT_HTTP_CALL_H

#include <pthread.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/strbuf.h"

/*
 * One HTTP call to an outside system, and how far it came. A request body
 * is never sent twice, also when a kept connection turns out to be dead.
 */
#define HTTP_URL_BYTES 256
#define HTTP_ETAG_BYTES 128

/* Handles with kept connections; threads borrow them one call at a time. */
#define HTTP_POOL_HANDLES 16

struct http_pool {
	pthread_mutex_t lock;
	void *idle[HTTP_POOL_HANDLES];
	uint32_t idle_count;
	char base_url[HTTP_URL_BYTES];
};

enum http_outcome {
	HTTP_NOT_SENT = 0, /* no connection: nothing reached the other side */
	HTTP_CUT, /* sent at least in part, and no whole answer came */
	HTTP_ANSWERED,
};

struct http_call {
	/* Filled by the caller. */
	const char *method;
	const char *path; /* after the pool's base URL, with the query */
	const void *body; /* NULL: none */
	size_t body_len;
	const char *content_type; /* NULL: application/json */
	const char *header; /* one more, as "Name: value"; NULL: none */
	const char *if_none_match; /* an entity tag as it came; NULL: none */
	int64_t timeout_ns;
	int fresh_connection; /* connect anew and close afterwards */
	/*
	 * For a fresh connection: called with the socket before it is
	 * connected and with -1 before it is closed; -1 gives the call up.
	 * May be NULL.
	 */
	int (*socket_changed)(void *arg, int fd);
	void *arg;

	/* Filled by http_call_run(). */
	enum http_outcome outcome;
	int status;
	uint32_t retry_after_s; /* 0: not named */
	char etag[HTTP_ETAG_BYTES]; /* "": none, or too long to be kept */
	char delta_base[HTTP_ETAG_BYTES]; /* likewise */
	uint64_t traffic_bytes; /* headers and bodies, both ways */
	struct strbuf response;
};

/* `base_url` has no slash at its end; returns -1 if it is too long. */
int http_pool_init(struct http_pool *pool, const char *base_url,
		   struct error *err);
void http_pool_finish(struct http_pool *pool);

void http_call_init(struct http_call *call);
void http_call_finish(struct http_call *call);

/*
 * Runs the call. Returns 0 if an answer of any status came, else -1 with
 * ERROR_UNAVAILABLE (not sent) or ERROR_UNKNOWN_OUTCOME.
 */
int http_call_run(struct http_pool *pool, struct http_call *call,
		  struct error *err);

/*
 * Turns an answered call into an outcome: 0 for 2xx; ERROR_UNAVAILABLE for
 * 502 and 503, ERROR_FULL for 429, ERROR_CONFLICT for 409, ERROR_NOT_FOUND
 * for 404 and 410, ERROR_UNKNOWN_OUTCOME for other 5xx, else
 * ERROR_PROTOCOL.
 */
int http_call_judge(const struct http_call *call, const char *what,
		    struct error *err);

#endif
