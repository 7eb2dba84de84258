#ifndef NET_NET_CLIENT_H
#define NET_NET_CLIENT_H

#include <netinet/in.h>
#include <stdint.h>

#include "net/http_reader.h"
#include "net/reactor.h"

/*
 * The HTTP/1.1 side towards backend servers and the platform, on a reactor,
 * with kept connections by address. A request is never sent twice: whoever
 * calls decides whether it may be repeated.
 */
enum net_outcome {
	NET_ANSWERED = 0, /* the answer came whole */
	NET_NOT_SENT, /* no connection: nothing reached the other side */
	NET_CUT, /* may have been sent, and no whole answer came */
	NET_GARBLED, /* likewise; what came is no answer */
};

const char *net_outcome_name(enum net_outcome outcome);

/* What to do with an answer whose head has come. */
enum net_head_verdict {
	NET_HEAD_TAKE = 0,
	NET_HEAD_SKIP, /* it belongs to another request; ours may follow */
	NET_HEAD_REFUSE, /* the call ends as NET_GARBLED */
};

struct net_call;
struct net_link;

struct net_call_vtable {
	enum net_head_verdict (*on_head)(struct net_call *call);
	/* Returns -1 to end the call as NET_GARBLED. */
	int (*on_body)(struct net_call *call, const char *data, size_t len);
	/* The call is over and may be freed. */
	void (*on_done)(struct net_call *call, enum net_outcome outcome);
};

struct net_call {
	const struct net_call_vtable *vt;

	/* Filled by the caller. */
	const char *address; /* ip:port */
	const void *head; /* request line and fields, with the empty line */
	size_t head_len;
	const void *body; /* must live until on_done() */
	size_t body_len;
	int is_head_method;
	int fresh; /* do not use a kept connection */
	int64_t max_idle_ns; /* of a kept connection; 0: any */

	/* Filled while it runs. */
	const struct http_head *answer; /* in on_head() and on_body() */
	int reused; /* went out on a kept connection */
	uint64_t received_bytes;
	struct net_link *link;
};

/* Where calls go to. */
struct net_target {
	char address[32];
	struct sockaddr_in addr;
	struct net_link *idle; /* the one that was used last stands first */
	uint32_t open_count;
	int64_t used_ns;
	struct net_target *next;
};

#define NET_TARGET_BUCKETS 256

struct net_pool_settings {
	int64_t connect_timeout_ns;
	int64_t idle_max_ns; /* where the other side names no time */
	uint32_t user_timeout_ms; /* TCP_USER_TIMEOUT */
	uint32_t max_head_bytes;
};

struct net_pool {
	struct reactor *reactor;
	struct net_pool_settings settings;
	struct net_target *targets[NET_TARGET_BUCKETS];
	struct timer sweep;
	uint32_t open_count;
	uint64_t opened; /* connections, since the start */
};

void net_pool_init(struct net_pool *pool, struct reactor *reactor,
		   const struct net_pool_settings *settings);

/* No call may be running. */
void net_pool_finish(struct net_pool *pool);

/* Starts a call; on_done() comes later, never from within. */
void net_call_start(struct net_pool *pool, struct net_call *call);

/* Stops and goes on reading the answer, for a reader that is slower. */
void net_call_pause(struct net_call *call);
void net_call_resume(struct net_call *call);

/* Ends a running call at once and closes its connection; no on_done(). */
void net_call_cancel(struct net_call *call);

/* Length of the answer's body by its head, in on_head(); -1: not known. */
int64_t net_call_body_bytes(const struct net_call *call);

/* Open connections to an address, running and kept. */
uint32_t net_pool_open_to(struct net_pool *pool, const char *address);

/* Closes the kept connections to an address. */
void net_pool_forget(struct net_pool *pool, const char *address);

#endif
