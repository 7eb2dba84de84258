#ifndef BACKEND_SERVER_POOL_H
#define BACKEND_SERVER_POOL_H

#include <pthread.h>
#include <stdint.h>

#include "port/host_port.h"
#include "policy/choice.h"
#include "policy/circuit.h"
#include "policy/retry_budget.h"

/*
 * The backend servers of one pool: a shard of the server table. The caller
 * holds the lock of the pool, except for init and finish.
 */
/* Retries that 1000 first attempts add to the budget, and its reserve. */
#define POOL_RETRIES_PER_MILLE 200
#define POOL_RETRY_RESERVE 500

struct server {
	char name[NAME_BYTES];
	char address[NAME_BYTES];
	char region[NAME_BYTES];
	enum host_role role;
	int checks_fencing;
	int listed; /* still on the host list */
	uint64_t incarnation; /* from its last load report; 0: none */
	struct circuit circuit;
	int gone; /* unreachable, until a load report is applied */
	uint64_t gone_incarnation; /* the incarnation that was lost */
	int64_t reserved_until_ns; /* reserved for a suspect until then */
	int suspect_in_flight; /* no other call is sent meanwhile */
};

struct server_pool {
	char name[NAME_BYTES];
	pthread_mutex_t lock;
	struct server *servers;
	struct server_view *views; /* same indices as `servers` */
	uint32_t count;
	uint32_t alloc;
	uint32_t next_listed; /* index expected for the next listed server */
	struct choice_policy policy;
	struct retry_budget retries;
	struct rng rng;
	int64_t typical_wait_ns; /* smoothed call time, for Retry-After */
};

void server_pool_init(struct server_pool *pool, const char *name,
		      uint64_t seed);
void server_pool_finish(struct server_pool *pool);

/* Returns the index of a server, or -1. */
int32_t server_pool_find(const struct server_pool *pool, const char *name);

/*
 * Applies a host list: begin, one call for each host, end. A server that is
 * no longer listed gets no new calls and is removed from the pool once this
 * daemon has no calls in flight there.
 */
void server_pool_begin_host_list(struct server_pool *pool);
void server_pool_apply_host(struct server_pool *pool, const struct host *host);
void server_pool_end_host_list(struct server_pool *pool);

/* Clears the state of a server whose process was replaced by another. */
void server_reset(struct server *server, struct server_view *view);

/* Returns whether a suspect runs on the server or it is reserved for one. */
int server_is_reserved(const struct server *server, int64_t now_ns);

#endif
