#ifndef USAGE_USAGE_REPORTER_H
#define USAGE_USAGE_REPORTER_H

#include "lease/lease_keeper.h"
#include "port/usage_port.h"
#include "usage/usage_due.h"

/*
 * Closes and reports the windows of the partitions whose lease this daemon
 * holds. A record in the log closes a window; the current lease holder then
 * retries the report of its figures until the receiver has acknowledged them
 * and the acknowledgement is in the log. The leases of all partitions in the
 * log are claimed, those of other data centres after a longer wait, so that
 * the windows of a lost data centre are reported, too.
 */
#define USAGE_REPORTER_PARTITIONS 64

struct usage_partition {
	char name[NAME_BYTES];
	char lease[2 * NAME_BYTES];
	int is_requested; /* its lease was requested */
	int in_flight; /* a close or acknowledgement record */
	struct log_waiter waiter;
	int64_t begun_ns; /* when that record was submitted */
	int64_t retry_ns; /* earliest time of the next report */
	uint32_t failures; /* consecutive failed reports */
};

struct usage_reporter {
	struct log_client *client;
	struct lease_keeper *keeper;
	struct usage_port *port;
	struct clock *clock;
	struct usage_schedule schedule;
	struct log_part log;
	char own_partition[NAME_BYTES];
	struct usage_partition partitions[USAGE_REPORTER_PARTITIONS];
	uint32_t count;
	struct counter *reports;
	struct counter *failed_reports;
	struct counter *conflicts;
};

void usage_reporter_init(struct usage_reporter *reporter,
			 struct log_client *client, struct lease_keeper *keeper,
			 struct usage_port *port, struct clock *clock,
			 const char *own_partition,
			 const struct usage_schedule *schedule,
			 struct counter_set *counters,
			 const struct log_part *log);
void usage_reporter_finish(struct usage_reporter *reporter);

/*
 * Runs one round over all partitions; must not be called concurrently. Blocks
 * as long as the port does for each window that is reported.
 */
void usage_reporter_step(struct usage_reporter *reporter, uint64_t wall_s);

#endif
