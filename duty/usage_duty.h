#ifndef DUTY_USAGE_DUTY_H
#define DUTY_USAGE_DUTY_H

#include "duty/duty_lease.h"
#include "duty/usage_ledger.h"
#include "port/duty_port.h"
#include "store/topic_follower.h"
#include "store/topic_writer.h"

/*
 * Closes and reports usage windows while this daemon holds the duty lease. A
 * record in the log fixes the counts of a window before they are sent, so a
 * later holder that reports the window again sends the same counts.
 */
struct usage_duty {
	struct topic_follower follower; /* of the usage topic */
	struct duty_lease_listener lease_listener;
	struct topic_refresh refresh;
	struct usage_ledger ledger;
	struct topic_writer writer;
	struct duty_lease *lease;
	struct duty_port *port;
	struct timer_service *timers;
	struct timer timer;
	struct record_log *log;
	const char *holder;
	uint32_t window_s;
	uint32_t late_s; /* from a window's end until its report is due */
	uint64_t first_window; /* in which the lease was first acquired */
	int refreshing;
	int ledger_stale; /* records of other hosts may not be applied yet */
	int ledger_unread; /* not read to the end since the lease was gained */
	int writing; /* a close or reported record */
	int sending;
	int fenced; /* until the lease is acquired again */
	uint64_t fence;
	struct usage_report report;
	struct counter *reports;
	struct counter *failed_reports;
	struct counter *late_requests;
};

/* `reports` is 0 if the platform takes no usage reports: nothing is done. */
void usage_duty_init(struct usage_duty *duty, struct topic_log *log,
		     struct timer_service *timers, struct duty_lease *lease,
		     struct duty_port *port, const char *holder,
		     const char *writer_name, uint32_t window_s,
		     uint32_t late_s, int reports, struct record_log *records,
		     struct counter_set *counters);
void usage_duty_finish(struct usage_duty *duty);

#endif
