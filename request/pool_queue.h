#ifndef REQUEST_POOL_QUEUE_H
#define REQUEST_POOL_QUEUE_H

#include <pthread.h>
#include <stdint.h>

#include "backend/server_table.h"
#include "base/timer.h"
#include "policy/admission.h"
#include "policy/dispatch_queue.h"

/*
 * The samples that wait for room on the backend servers of one pool, in
 * fair order (policy/dispatch_queue.h), and the admission of new work
 * (policy/admission.h). A sample is handed on by the timer thread as soon
 * as a server has room.
 */
struct sample;
struct pool_queues;

/* A team's own rate decides on its new work, so that none pays for others. */
#define ADMISSION_TEAMS_MAX 1024

struct team_admission {
	char team[NAME_BYTES];
	struct admission admission;
};

struct pool_queue {
	struct pool_queues *all;
	char pool[NAME_BYTES];
	pthread_mutex_t lock; /* guards the rest */
	struct dispatch_queue queue;
	struct team_admission *teams;
	uint32_t team_count;
	struct rng rng;
	struct timer timer;
	int waking;
	struct sample *evicted; /* to be refused, linked by next_evicted */
};

struct pool_queues {
	struct server_table *servers;
	struct clock *clock;
	struct timer_service *timers;
	uint32_t max_queued; /* of each pool */
	uint64_t seed;
	pthread_mutex_t lock; /* guards the list of pools */
	struct pool_queue *pools[POOLS_MAX];
	uint32_t pool_count;
};

void pool_queues_init(struct pool_queues *queues, struct server_table *servers,
		      struct clock *clock, struct timer_service *timers,
		      uint32_t max_queued, uint64_t seed);
void pool_queues_finish(struct pool_queues *queues);

/* What admission is asked about. */
struct admission_ask {
	const char *pool;
	const char *team;
	int latency_bound;
	double tokens;
	int64_t deadline_ns;
};

/* Whether new work may come in; else when it should come back. */
int pool_queues_admit(struct pool_queues *queues,
		      const struct admission_ask *ask, int64_t *retry_after_ns);

/*
 * Queues a sample whose `entry` is filled in; it holds a reference to its
 * job. If the queue is full, the worst sample is refused soon after.
 */
void pool_queues_push(struct pool_queues *queues, const char *pool,
		      struct sample *sample);

/* Takes a sample out; returns 0 if it was not queued any more. */
int pool_queues_remove(struct pool_queues *queues, const char *pool,
		       struct sample *sample);

/* A server may have room now. */
void pool_queues_wake(struct pool_queues *queues, const char *pool);
void pool_queues_wake_all(struct pool_queues *queues);

/* A sample is whole: tells the true amount of work. */
void pool_queues_finished(struct pool_queues *queues, const char *pool,
			  const struct sample *sample);

/* Samples that wait, over all pools. */
uint32_t pool_queues_count(struct pool_queues *queues);

#endif
