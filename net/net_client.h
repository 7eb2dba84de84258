#ifndef NET_NET_CLIENT_H
#define NET_NET_CLIENT_H

#include <netinet/in.h>
#include <stdint.h>

#include "net/http_reader.h"
#include "net/net_descriptors.h"
#include "net/reactor.h"

/*
 * HTTP/1.1 client for backend servers and the platform, on a reactor, with a
 * pool of keep-alive connections for each address. Never sends a request
 * twice: whether it may be retried is up to the caller.
 */
enum net_outcome {
	NET_ANSWERED = 0, /* the complete answer was received */
	NET_NOT_SENT, /* no connection: nothing reached the server */
	NET_CUT, /* may have been sent; answer missing or truncated */
	NET_GARBLED, /* may have been sent; answer invalid */
};

const char *net_outcome_name(enum net_outcome outcome);

/* What to do with an answer whose head was received. */
enum net_head_verdict {
	NET_HEAD_ACCEPT = 0,
	NET_HEAD_SKIP, /* it answers another request; the call's may follow */
	NET_HEAD_REJECT, /* the call ends as NET_GARBLED */
};

struct net_call;
struct net_link;

struct net_call_vtable {
	enum net_head_verdict (*on_head)(struct net_call *call);
	/* Returns -1 to end the call as NET_GARBLED. */
	int (*on_body)(struct net_call *call, const char *data, size_t len);
	/* The call has ended; it may be freed from here on. */
	void (*on_done)(struct net_call *call, enum net_outcome outcome);
};

struct net_call {
	const struct net_call_vtable *vt;

	/* Set by the caller. */
	const char *address; /* ip:port */
	const void *head; /* request line and fields, with the empty line */
	size_t head_len;
	const void *body; /* must stay valid until on_done() */
	size_t body_len;
	int is_head_method;
	int no_reuse; /* do not reuse an idle connection */
	int64_t max_idle_ns; /* of a reused connection; 0: no limit */
	/*
	 * Of the id that the answer echoes; 0: none. The call takes no idle
	 * connection whose last answer echoed the same id: a second copy of it
	 * may still come there, and nothing else tells the two apart.
	 */
	uint64_t id_hash;

	/* Set while the call is in flight. */
	const struct http_head *answer; /* valid in on_head() and on_body() */
	int reused; /* sent on a connection that was idle */
	uint64_t received_bytes;
	struct net_link *link;
};

/* An address and its connections. */
struct net_target {
	char address[32];
	struct sockaddr_in addr;
	struct net_link *idle; /* most recently used first */
	uint32_t open_count; /* connections, busy and idle */
	int64_t used_ns; /* start of the last call */
	struct net_target *next;
};

#define NET_TARGET_BUCKETS 256

struct net_pool_settings {
	int64_t connect_timeout_ns;
	int64_t idle_max_ns; /* default and limit of Keep-Alive timeouts */
	uint32_t user_timeout_ms; /* TCP_USER_TIMEOUT */
	uint32_t max_head_bytes;
};

struct net_pool {
	struct reactor *reactor;
	struct net_pool_settings settings;
	struct net_target *targets[NET_TARGET_BUCKETS];
	struct timer sweep;
	struct net_descriptors *descriptors; /* NULL: not shared */
	uint32_t open_count;
	uint64_t opened; /* connections, since initialisation */
};

void net_pool_init(struct net_pool *pool, struct reactor *reactor,
		   const struct net_pool_settings *settings);

/* No call may be in flight. */
void net_pool_finish(struct net_pool *pool);

/* Whether the descriptors leave no room for another connection. */
int net_pool_is_full(const struct net_pool *pool);

/*
 * Whether another connection has room; if the descriptors leave none, tries to
 * make it, see net_descriptors.h.
 */
int net_pool_find_room(const struct net_pool *pool);

/* Closes the connection that has been idle for longest; 0 if none is idle. */
int net_pool_close_one_idle(struct net_pool *pool);

/* Starts a call; on_done() runs later, never before this returns. */
void net_call_start(struct net_pool *pool, struct net_call *call);

/* Stop and resume reading the answer while its consumer is slower. */
void net_call_pause(struct net_call *call);
void net_call_resume(struct net_call *call);

/* Ends a call in flight and resets its connection; on_done() is not run. */
void net_call_cancel(struct net_call *call);

/*
 * Length of the answer's body according to its head, for use in on_head();
 * -1 if the head does not give it.
 */
int64_t net_call_body_bytes(const struct net_call *call);

/* Open connections to an address, busy and idle. */
uint32_t net_pool_open_to(struct net_pool *pool, const char *address);

/* Closes the idle connections to an address. */
void net_pool_close_idle(struct net_pool *pool, const char *address);

#endif
