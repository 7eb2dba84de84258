#ifndef HTTP_READ_WATCH_H
#define HTTP_READ_WATCH_H

#include <pthread.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/poll_thread.h"

/*
 * Timeout for receiving a whole request body. CivetWeb only limits the time
 * between two bytes, so a client that sends one byte at a time could occupy a
 * thread indefinitely. A polling thread shuts down the receiving direction of
 * a connection whose deadline has passed; the read then ends, and the thread
 * that serves the request can still send a response.
 */
struct mg_request_info;

/* A request body that is being read; on the stack of the reading thread. */
struct body_read {
	const struct mg_request_info *info;
	int64_t deadline_ns;
	int timed_out; /* the connection was shut down for reading */
	struct body_read *next;
	struct body_read **prev_next; /* the pointer to this element */
};

struct read_watch {
	struct clock clock;
	struct poll_thread thread;
	pthread_mutex_t lock;
	struct body_read *first; /* bodies being read; guarded by `lock` */
	int64_t timeout_ns;
	uint16_t port; /* of the HTTP server */
};

/*
 * `port` is the port of the HTTP server; a body must arrive within
 * `timeout_ms`.
 */
int read_watch_start(struct read_watch *watch, uint16_t port,
		     uint32_t timeout_ms, struct error *err);

/* No body may be in the course of being read. */
void read_watch_stop(struct read_watch *watch);

void read_watch_begin(struct read_watch *watch, struct body_read *body_read,
		      const struct mg_request_info *info);

/* Returns 1 if the deadline passed and the connection was shut down. */
int read_watch_end(struct read_watch *watch, struct body_read *body_read);

#endif
