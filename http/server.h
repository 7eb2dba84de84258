#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdint.h>

#include "base/counter.h"
#include "base/error.h"
#include "http/exchange.h"
#include "http/connection_watch.h"
#include "state/config.h"

/*
 * An HTTP server on one port with its own thread pool (CivetWeb runs each
 * request on one thread). Separate ports keep rollouts from using up the
 * threads of latency-bound routes and of operators. When few threads are
 * free, a new request is rejected at once. The headers must be complete
 * within header_timeout_ms of their first byte, or the connection is closed;
 * the body within body_timeout_ms after the headers, or the response is 408.
 * When threads or the memory of all bodies run out, clients that make least
 * progress give way (http/connection_watch.h).
 */
struct mg_context;

struct http_server_settings {
	const char *address; /* ip:port; port 0: any free port */
	uint32_t threads;
	uint32_t max_body_bytes;
	const char *label; /* label "port" of the counters, e.g. "batch" */
	uint32_t header_timeout_ms; /* for all headers; 0: 10 s */
	uint32_t body_timeout_ms; /* for the whole body; 0: 20 s */
	/* of all bodies at once; 0: 256 KB a thread, or 8 of the largest */
	uint64_t max_bodies_bytes;
};

typedef void (*http_handler)(void *arg, struct http_exchange *exchange);

struct http_server {
	struct mg_context *context;
	http_handler handler;
	void *arg;
	uint32_t admit_max; /* requests above it are rejected */
	/* keep-alive is off while more requests than this run */
	uint32_t keep_alive_max;
	uint32_t max_body_bytes;
	uint32_t running; /* requests being served; atomic */
	int open; /* atomic */
	int draining; /* atomic */
	char ip[64];
	uint16_t port;
	struct counter *requests;
	struct counter *refused;
	struct counter *slow;
	struct counter *displaced;
	struct connection_watch watch;
};

/*
 * Listens on the port. Requests are answered 503 until http_server_open().
 * Returns -1 with `err` filled in if the port cannot be bound.
 */
int http_server_start(struct http_server *server,
		      const struct http_server_settings *settings,
		      http_handler handler, void *arg,
		      struct counter_set *counters, struct error *err);

/* Passes requests to the handler from now on. */
void http_server_open(struct http_server *server);

/* From now on each response closes its connection. */
void http_server_drain(struct http_server *server);

/* Writes the bound ip:port to `out`, which holds NAME_BYTES. */
void http_server_print_address(const struct http_server *server, char *out);

/* Returns the number of requests that are being served. */
uint32_t http_server_running(struct http_server *server);

/* Waits until running requests have ended, then closes the port. */
void http_server_stop(struct http_server *server);

#endif
