#ifndef WEIGHTS_WEIGHT_LOOP_H
#define WEIGHTS_WEIGHT_LOOP_H

#include <pthread.h>

#include "backend/server_table.h"
#include "base/counter.h"
#include "base/logger.h"
#include "lease/lease_keeper.h"
#include "timeline/timeline.h"
#include "weights/version_table.h"

/*
 * Orders model engines to load the newest published weights. One daemon per
 * data centre does so, as holder of the lease "orders/<data centre>"; the
 * orders carry the epoch of that lease. No order is sent after the lease's
 * deadline, since some engines ignore the epoch. A failed swap is ordered again
 * with exponential backoff.
 */
#define WEIGHT_LOOP_PERIOD_MS 100
#define WEIGHT_TARGETS_MAX 1024
#define WEIGHT_RETRY_MIN_MS 200
#define WEIGHT_RETRY_MAX_MS 10000
#define WEIGHT_THREADS 4
/* Daemons of other data centres claim a lease this much later. */
#define WEIGHT_FOREIGN_CLAIM_DELAY_MS 3000

/* An engine with outdated weights. */
struct weight_target {
	char name[NAME_BYTES];
	char pool[NAME_BYTES];
	char address[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint64_t version; /* that it has to load */
	uint32_t order_count; /* sent for this version; sets the backoff */
	int64_t retry_ns; /* no order before this time */
	int in_flight;
	int seen; /* in the current listing */
};

struct weight_loop {
	struct server_table *servers;
	struct version_table *versions;
	struct lease_keeper *leases;
	struct clock *clock;
	struct timeline *timeline;
	char own_data_centre[NAME_BYTES];
	struct log_part log;
	struct counter *orders;
	struct counter *failures;
	pthread_t threads[WEIGHT_THREADS];
	uint32_t thread_count;
	pthread_mutex_t lock; /* guards the rest */
	pthread_cond_t changed;
	int stopping;
	struct weight_target targets[WEIGHT_TARGETS_MAX];
	uint32_t target_count;
	int64_t listed_ns; /* when targets were last listed */
	uint64_t sequence; /* of the last order */
};

void weight_loop_init(struct weight_loop *loop, struct server_table *servers,
		      struct version_table *versions,
		      struct lease_keeper *leases, struct clock *clock,
		      struct timeline *timeline, const char *own_data_centre,
		      struct counter_set *counters, const struct log_part *log);
void weight_loop_finish(struct weight_loop *loop);
int weight_loop_start(struct weight_loop *loop, struct error *err);

/* Waits until no order is in flight; then leases may be released. */
void weight_loop_stop(struct weight_loop *loop);

#endif
