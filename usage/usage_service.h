#ifndef USAGE_USAGE_SERVICE_H
#define USAGE_USAGE_SERVICE_H

#include "base/poll_thread.h"
#include "usage/usage_flush.h"
#include "usage/usage_reporter.h"

/*
 * Usage accounting of one daemon: the meter that request threads add to, the
 * flush to the log on the timer service, and a thread that closes and
 * reports windows. Each data centre is a partition.
 */
struct usage_service_options {
	const char *data_centre;
	uint32_t window_s;
	uint32_t flush_ms;
	uint32_t grace_s; /* 0: derived from the flush interval */
};

struct usage_service {
	struct clock *clock;
	struct timer_service *timers;
	struct timer timer;
	struct usage_meter meter;
	struct usage_flush flush;
	pthread_mutex_t flush_lock;
	struct usage_reporter reporter;
	int has_port;
	struct poll_thread thread;
};

/* If `port` is NULL, this daemon closes and reports no windows. */
void usage_service_init(struct usage_service *service,
			struct log_client *client, struct lease_keeper *keeper,
			struct usage_port *port, struct clock *clock,
			struct timer_service *timers,
			const struct usage_service_options *options,
			struct counter_set *counters,
			const struct log_part *log);
int usage_service_start(struct usage_service *service, struct error *err);

/*
 * Stops the thread and appends the remaining usage, for up to `timeout_ns`.
 * ERROR_TIMEOUT if some was not appended.
 */
int usage_service_stop(struct usage_service *service, int64_t timeout_ns,
		       struct error *err);
void usage_service_finish(struct usage_service *service);

/* Adds the usage of a finished request; see usage_meter_add(). */
int usage_service_add(struct usage_service *service,
		      const struct usage_figure *figure);

#endif
