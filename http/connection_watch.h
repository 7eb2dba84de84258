#ifndef HTTP_CONNECTION_WATCH_H
#define HTTP_CONNECTION_WATCH_H

#include <pthread.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/poll_thread.h"
#include "policy/connection_victim.h"

/*
 * Bounds what clients that stop half-way take from a port. CivetWeb only limits
 * the time between two bytes, and each connection occupies a thread. A polling
 * thread shuts down the receiving direction of a connection whose body is over
 * its deadline and, while threads run out, of those that made least progress.
 * The memory of all bodies has a limit; one that finds no room displaces the
 * one that lags most. A blocked read or write ends when its connection is shut
 * down.
 */
struct mg_request_info;
struct connection_watch;
struct idle_connection;

/* A request that is read, served or answered; on the stack of its thread. */
struct watched_request {
	struct connection_watch *watch;
	const struct mg_request_info *info;
	struct connection_progress progress;
	int64_t deadline_ns; /* of the body; 0: it has been read */
	int timed_out; /* the connection was shut down for reading */
	int displaced; /* likewise, for want of threads or memory */
	int is_writing;
	struct watched_request *next;
	struct watched_request **prev_next; /* the pointer to this element */
};

struct connection_watch_settings {
	uint32_t body_timeout_ms;
	uint32_t busy_max; /* threads in use from which on clients give way */
	uint64_t max_held_bytes; /* of all bodies */
	struct counter *displaced;
};

struct connection_watch {
	struct connection_watch_settings settings;
	char ip[64]; /* of the HTTP server */
	uint16_t port;
	struct clock clock;
	struct poll_thread thread;
	pthread_mutex_t lock;
	struct watched_request *first; /* guarded by `lock`, as is the rest */
	uint64_t held_bytes;
	uint64_t leaving_bytes; /* of bodies that gave way and are freed soon */
	pthread_cond_t room; /* bytes were given back */
	int stopping;
	struct idle_connection *idle; /* not in a request; of the last poll */
	uint32_t idle_count;
	uint32_t busy; /* connections that have a thread; atomic */
	/* Held for reading while CivetWeb closes a connection. */
	pthread_rwlock_t closing;
};

/* Before the server takes connections. */
void connection_watch_init(struct connection_watch *watch,
			   const struct connection_watch_settings *settings);

/* Starts the polling thread, for a server that listens at this address. */
int connection_watch_start(struct connection_watch *watch, const char *ip,
			   uint16_t port, struct error *err);

/* From now on no connection gives way; deadlines hold. */
void connection_watch_keep_all(struct connection_watch *watch);

/* Ends its thread, if it started. No request may be watched. */
void connection_watch_stop(struct connection_watch *watch);

/* A thread takes a connection; it closes it; it has closed it. */
void connection_watch_taken(struct connection_watch *watch);
void connection_watch_closing(struct connection_watch *watch);
void connection_watch_closed(struct connection_watch *watch);

/* The request's body is read from now on. */
void connection_watch_add(struct connection_watch *watch,
			  struct watched_request *request,
			  const struct mg_request_info *info);
/* Gives back the room of its body. */
void connection_watch_remove(struct watched_request *request);

/* Takes room for more of the body; -1: there is none. */
int connection_watch_take_room(struct watched_request *request, uint64_t bytes);
void connection_watch_give_room(struct watched_request *request);
void connection_watch_body_end(struct watched_request *request);

/* Around writes of the response, which may block; NULL is no request. */
void connection_watch_write_begin(struct watched_request *request);
void connection_watch_wrote(struct watched_request *request, uint64_t bytes);
void connection_watch_write_end(struct watched_request *request);

#endif
