#ifndef BACKEND_SERVER_TABLE_H
#define BACKEND_SERVER_TABLE_H

#include <pthread.h>
#include <stdint.h>

#include "backend/server_pool.h"

/*
 * The backend servers that this daemon can use, one shard for each pool, each
 * with its own lock. Servers come from the host list of the platform and
 * their load from reports; the calls that this daemon has in flight are
 * counted here.
 */
#define POOLS_MAX 64
#define SERVER_RESERVE_NS (1000 * INT64_C(1000000))

struct server_table {
	pthread_rwlock_t lock; /* guards the list of pools, not the pools */
	struct server_pool *pools[POOLS_MAX];
	uint32_t pool_count;
	uint64_t seed;
};

/* The server that was chosen. */
struct server_pick {
	char name[NAME_BYTES];
	char address[NAME_BYTES];
	char data_centre[NAME_BYTES];
	int cheap;
	uint64_t version;
};

struct load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t capacity;
	double tokens_per_s;
	uint64_t version;
	uint64_t incarnation;
};

enum server_outcome {
	SERVER_ANSWERED = 0,
	SERVER_REFUSED, /* answered that it did not run the call */
	SERVER_FAILED, /* lost, timed out or unreachable */
	SERVER_CANCELLED, /* cancelled here: no evidence about the server */
};

void server_table_init(struct server_table *table, uint64_t seed);
void server_table_finish(struct server_table *table);

/* Applies a host list; servers that are not listed get no new calls. */
void server_table_apply_host_list(struct server_table *table,
				  const struct host_list *list);

/*
 * Chooses a server and counts the call as in flight. Returns -1 if no server
 * can take it.
 */
int server_table_pick(struct server_table *table, const char *pool,
		      const struct choice_request *request, int64_t now_ns,
		      struct server_pick *out);

/* Returns whether any server could take the call; counts nothing. */
int server_table_can_pick(struct server_table *table, const char *pool,
			  const struct choice_request *request, int64_t now_ns);

/* Returns whether a server of the pool has room for a call of this class. */
int server_table_has_room(struct server_table *table, const char *pool,
			  int latency_bound, int64_t now_ns);

/* Like server_table_pick(), for the server of this name only. */
int server_table_pick_named(struct server_table *table, const char *pool,
			    const char *name, double expected_tokens,
			    int64_t now_ns, struct server_pick *out);

/*
 * Like server_table_pick_named(), for a suspect: this daemon sends no other
 * call to the server until server_table_end_alone(). Fails if another suspect
 * runs there. If the attempt fails, the server stays reserved for
 * SERVER_RESERVE_NS (1 s): a call sent before the loss is known would seem
 * to have run beside the suspect.
 */
int server_table_pick_alone(struct server_table *table, const char *pool,
			    const char *name, double expected_tokens,
			    int64_t now_ns, struct server_pick *out);
void server_table_end_alone(struct server_table *table, const char *pool,
			    const char *name, enum server_outcome outcome,
			    int64_t now_ns);

/* Reserves a server for SERVER_RESERVE_NS, so that a suspect runs alone. */
void server_table_reserve(struct server_table *table, const char *pool,
			  const char *name, int64_t now_ns);

/*
 * Marks a server as unreachable. Returns 1 if a load report had been applied
 * since it was last lost, so that each loss is reported once.
 */
int server_table_on_unreachable(struct server_table *table, const char *pool,
				const char *name);

/* Takes one retry from the budget of the pool; returns 0 if none is left. */
int server_table_take_retry(struct server_table *table, const char *pool);

/* Ends a call that one of the pick functions counted as in flight. */
void server_table_done(struct server_table *table, const char *pool,
		       const char *name, double expected_tokens,
		       enum server_outcome outcome, int64_t took_ns,
		       int64_t now_ns);

/* Applies a load report. Returns 1 if another process has replaced the server.
 */
int server_table_on_load(struct server_table *table, const char *pool,
			 const char *name, const struct load_report *report,
			 int64_t now_ns);

/* Applies a report from a peer, unless its incarnation was lost already. */
void server_table_on_peer_load(struct server_table *table, const char *pool,
			       const char *name,
			       const struct load_report *report,
			       int64_t now_ns);

/* Returns the Retry-After time for a rejected caller, from recent calls. */
int64_t server_table_retry_after_ns(struct server_table *table,
				    const char *pool);

/* Calls `fn` for each server with the lock of its pool held. */
void server_table_each(struct server_table *table,
		       void (*fn)(void *arg, const struct server_pool *pool,
				  const struct server *server,
				  const struct server_view *view),
		       void *arg);

/* Like server_table_each(), for the servers of one pool. */
void server_table_each_in_pool(struct server_table *table, const char *pool,
			       void (*fn)(void *arg,
					  const struct server_pool *pool,
					  const struct server *server,
					  const struct server_view *view),
			       void *arg);

#endif
