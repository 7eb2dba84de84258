#ifndef NET_NET_SERVER_H
#define NET_NET_SERVER_H

#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "net/http_reader.h"
#include "net/net_descriptors.h"
#include "net/reactor.h"

/*
 * HTTP/1.1 server for callers, on a reactor. A request is passed to the
 * handler once it is complete; its owner answers it at once or later, and is
 * notified if the caller disconnects first. A connection serves one request
 * at a time; bytes after it stay buffered. The limits may change at any time.
 * At a limit of all connections, the one that has made least progress gives
 * way (policy/connection_victim.h).
 */
struct net_limits {
	uint32_t max_head_bytes;
	uint64_t max_body_bytes;
	uint64_t max_held_bytes; /* of all request bodies in memory */
	uint64_t max_memory_bytes; /* of all connections; 0: no limit */
	uint32_t max_connections;
	int64_t head_timeout_ns; /* from the first byte of a head to its last */
	int64_t idle_timeout_ns; /* between requests, and for a whole body */
};

struct net_request;
struct net_connection;

/* The part of the program that answers a request. */
struct net_request_owner;

struct net_request_owner_vtable {
	/* The connection ends; the request must not be used any more. */
	void (*on_disconnect)(struct net_request_owner *owner);
	/* The bytes written so far were sent to the socket; may be NULL. */
	void (*on_drained)(struct net_request_owner *owner);
};

struct net_request_owner {
	const struct net_request_owner_vtable *vt;
};

struct net_request {
	const struct http_head *head;
	struct strbuf body;
	int64_t began_ns; /* first byte read */
	int64_t received_ns; /* last byte read */
	struct net_connection *connection;
	struct net_request_owner *owner; /* NULL: not set, or answered */
	uint64_t owner_bytes; /* buffered by the owner for the answer */
};

struct net_handler;

struct net_handler_vtable {
	/* Answers the request, or sets its owner and answers later. */
	void (*on_request)(struct net_handler *handler,
			   struct net_request *request);
	/*
	 * A request was rejected while it was read: malformed, too large or
	 * too slow. May be NULL.
	 */
	void (*on_rejected)(struct net_handler *handler,
			    const struct http_head *head, uint16_t status,
			    const char *reason);
};

struct net_handler {
	const struct net_handler_vtable *vt;
};

/* A connection that was closed because a limit of all was reached. */
struct net_displacement {
	const char *limit;
	int64_t lag_ns; /* see policy/connection_victim.h */
	uint64_t memory_bytes; /* of the connection */
	int in_request; /* it was sending a request */
	int in_answer; /* it was reading an answer */
};

struct net_server {
	struct reactor *reactor;
	struct net_handler *handler;
	struct net_limits limits;
	struct evconnlistener *listener;
	struct net_connection *connections;
	uint32_t connection_count;
	uint32_t busy_count; /* connections with an unanswered request */
	uint64_t held_bytes; /* of all request bodies in memory */
	uint64_t memory_bytes; /* of all connections */
	struct net_connection *sample_next; /* where the next sample begins */
	struct timer trim;
	struct net_descriptors *descriptors; /* NULL: not shared */
	/* Called before a connection is displaced; may be NULL. */
	void (*displaced)(void *arg, const struct net_displacement *which);
	void *displaced_arg;
	uint64_t accepted; /* connections, since initialisation */
	int draining; /* connections close after their answer */
};

/* `address` is ip:port; port 0 selects a free one. */
int net_server_init(struct net_server *server, struct reactor *reactor,
		    const char *address, const struct net_limits *limits,
		    struct net_handler *handler, struct error *err);

/* Closes the port and all connections; calls on_gone() of the owners. */
void net_server_finish(struct net_server *server);

/* The port that the server listens on. */
uint16_t net_server_port(const struct net_server *server);

/* Makes connections close after their next answer; idle ones stay open. */
void net_server_drain(struct net_server *server);

/* Closes the port and the connections without a request. */
void net_server_close_idle(struct net_server *server);

/* Whether any answer is not yet sent to the socket. */
int net_server_has_unsent(const struct net_server *server);

/* Frees the body of a request whose owner no longer needs it. */
void net_request_discard_body(struct net_request *request);

/* A complete answer. */
struct net_answer {
	uint16_t status;
	const char *fields; /* "Name: value\r\n" each; NULL: none */
	const void *body;
	size_t body_len;
	int close; /* close the connection after it */
};

/* The request must not be used after this call. */
void net_request_answer(struct net_request *request,
			const struct net_answer *answer);

/*
 * Streams an answer of `body_len` bytes, or in chunks if that is negative.
 * net_request_end() completes it; net_request_abort() closes the connection,
 * so that the caller does not take the answer for a complete one.
 */
void net_request_begin(struct net_request *request, uint16_t status,
		       const char *fields, int64_t body_len);
void net_request_write(struct net_request *request, const void *data,
		       size_t len);
void net_request_end(struct net_request *request);
void net_request_abort(struct net_request *request);

/*
 * Closes the connection that has made least progress; returns 0 if all wait
 * for an answer. Not for use in a callback of a connection of this server,
 * unless its request is not answered yet.
 */
int net_server_make_room(struct net_server *server);

/* Whether the connections use over half of their memory. */
int net_request_is_short_of_memory(const struct net_request *request);

/* To be called when the owner buffers this much for the answer. */
void net_request_set_owner_bytes(struct net_request *request, uint64_t bytes);

/* Bytes written that were not yet sent to the socket. */
size_t net_request_unsent_bytes(const struct net_request *request);

#endif
