#ifndef DUTY_USAGE_COUNTER_H
#define DUTY_USAGE_COUNTER_H

#include "base/record_log.h"
#include "forward/forward.h"
#include "store/topic_writer.h"

/*
 * Counts the requests that this daemon started for each team, by window, and
 * appends the sums to the usage topic about once a second. A crash loses the
 * counts not appended yet: at most those of one period or of a store outage.
 */
#define USAGE_TOPIC "usage"

struct usage_pending;

struct usage_counter {
	struct attempt_counter base;
	struct topic_writer writer;
	struct timer_service *timers;
	struct timer timer;
	int timer_pending;
	char host[64];
	uint64_t incarnation;
	uint64_t sequence;
	uint32_t window_s;
	struct usage_pending *pending; /* list; one per window and team */
	uint32_t pending_count;
	struct counter *requests;
};

void usage_counter_init(struct usage_counter *counter, struct topic_log *log,
			struct timer_service *timers, const char *host,
			uint64_t incarnation, const char *writer_name,
			uint32_t window_s, struct counter_set *counters);
void usage_counter_finish(struct usage_counter *counter);

/* Appends all pending counts now; also for a graceful stop. */
void usage_counter_flush(struct usage_counter *counter);

#endif
