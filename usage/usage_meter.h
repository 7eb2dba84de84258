#ifndef USAGE_USAGE_METER_H
#define USAGE_USAGE_METER_H

#include <pthread.h>

#include "base/counter.h"
#include "state/state.h"

/*
 * Accumulates the usage of this daemon's requests by window, team, route, data
 * centre and class, until it is appended to the log. Request threads add to
 * one of several shards, each with its own lock.
 */
#define USAGE_SHARDS 16
#define USAGE_SHARD_MAX 256 /* entries per shard */

struct usage_entry {
	uint64_t window_start_s;
	struct usage_figure figure;
};

struct usage_shard {
	pthread_mutex_t lock;
	struct usage_entry *entries;
	uint32_t count;
};

struct usage_meter {
	uint32_t window_s;
	struct usage_shard shards[USAGE_SHARDS];
	struct counter *lost; /* requests dropped because a shard was full */
};

/* Windows are `window_s` seconds long. `counters` may be NULL. */
void usage_meter_init(struct usage_meter *meter, uint32_t window_s,
		      struct counter_set *counters);
void usage_meter_finish(struct usage_meter *meter);

/*
 * Adds to the window that contains `wall_s`. If the shard is full, the amounts
 * are added to an entry of the same key in any window, so that memory stays
 * bounded during a long outage of the log; if there is none, the requests are
 * counted as lost and -1 is returned.
 */
int usage_meter_add(struct usage_meter *meter, uint64_t wall_s,
		    const struct usage_figure *figure);

/* Puts back entries that could not be appended. */
void usage_meter_put_back(struct usage_meter *meter,
			  const struct usage_entry *entries, uint32_t count);

/* Removes up to `max` entries of the oldest window; returns how many. */
uint32_t usage_meter_take(struct usage_meter *meter,
			  struct usage_entry *entries, uint32_t max);

/* Returns the number of requests in entries that were not removed yet. */
uint64_t usage_meter_requests(struct usage_meter *meter);

#endif
