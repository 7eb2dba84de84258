#ifndef BACKEND_SERVER_POOL_H
#define BACKEND_SERVER_POOL_H

#include <pthread.h>
#include <stdint.h>

#include "port/host_port.h"
#include "policy/choice.h"
#include "policy/circuit.h"
#include "policy/retry_budget.h"

/*
 * The backend servers of one pool: a shard of the server table. Functions
 * are called with the pool's lock held, but for init and finish.
 */
/* Retries that a pool earns by 1000 first tries, and its reserve. */
#define POOL_RETRIES_PER_MILLE 200
#define POOL_RETRY_RESERVE 500

struct server {
	char name[NAME_BYTES];
	char address[NAME_BYTES];
	char region[NAME_BYTES];
	enum host_role role;
	int checks_fencing;
	int listed; /* still on the host list */
	uint64_t incarnation; /* as its load report says */
	struct circuit circuit;
	int gone; /* cannot be reached; until another process reports */
	uint64_t gone_incarnation; /* the process that is gone */
	int64_t kept_free_until_ns; /* for a suspect */
	int runs_alone; /* a suspect, which keeps others away until it ends */
};

struct server_pool {
	char name[NAME_BYTES];
	pthread_mutex_t lock;
	struct server *servers;
	struct server_view *views; /* same indices as `servers` */
	uint32_t count;
	uint32_t alloc;
	uint32_t list_at; /* where the next listed server should stand */
	struct choice_policy policy;
	struct retry_budget retries;
	struct rng rng;
	int64_t typical_wait_ns; /* smoothed time of a call, for refusals */
};

void server_pool_init(struct server_pool *pool, const char *name,
		      uint64_t seed);
void server_pool_finish(struct server_pool *pool);

/* Returns the place of a server, or -1. */
int32_t server_pool_find(const struct server_pool *pool, const char *name);

/*
 * Takes a host list over: begins, takes each host, ends. Servers off the list
 * leave the pool once nothing of this daemon's runs there, and get nothing
 * new before.
 */
void server_pool_begin_list(struct server_pool *pool);
void server_pool_take_host(struct server_pool *pool, const struct host *host);
void server_pool_end_list(struct server_pool *pool);

/* Another process stands in the server's place. */
void server_forget_history(struct server *server, struct server_view *view);

/* Whether a suspect runs on the server, or will. */
int server_is_kept(const struct server *server, int64_t now_ns);

#endif
