#ifndef USAGE_USAGE_FLUSH_H
#define USAGE_USAGE_FLUSH_H

#include "state/log_client.h"
#include "usage/usage_meter.h"

/*
 * Appends the metered usage to the log every `interval_ns`, one partial (sums
 * of one window) at a time. A partial that the state rejects because it is full
 * is put back. Usage that was not appended when a daemon crashes is lost and
 * never billed: that of one interval at one daemon, or of the whole outage if
 * the log is down.
 */
#define USAGE_FLUSH_MAX 512 /* sums in a partial */

struct usage_flush {
	struct log_client *client;
	struct usage_meter *meter;
	char partition[NAME_BYTES];
	int64_t interval_ns;
	int64_t due_ns; /* time of the next partial */
	int in_flight;
	struct log_waiter waiter;
	struct usage_entry entries[USAGE_FLUSH_MAX];
	uint32_t entry_count;
	struct counter *refused;
};

void usage_flush_init(struct usage_flush *flush, struct log_client *client,
		      struct usage_meter *meter, const char *partition,
		      int64_t interval_ns, struct counter_set *counters);

/* Drops a partial in flight; usage_service_stop() waits for it. */
void usage_flush_finish(struct usage_flush *flush);

/* Runs one step without blocking; must not be called concurrently. */
void usage_flush_step(struct usage_flush *flush, int64_t now_ns);

/* Makes the next step append without waiting for the interval. */
void usage_flush_now(struct usage_flush *flush);

/* Returns whether no usage is pending in the meter or in flight. */
int usage_flush_is_empty(struct usage_flush *flush);

#endif
