#ifndef DUTY_USAGE_DUTY_H
#define DUTY_USAGE_DUTY_H

#include "duty/duty_lease.h"
#include "duty/usage_ledger.h"
#include "port/duty_port.h"
#include "store/topic_follower.h"
#include "store/topic_writer.h"

/*
 * Closes and reports usage windows while this daemon holds the duty. The
 * figures of a window are fixed by a record in the log before they are sent,
 * so that whoever reports it later sends the same.
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
	uint32_t late_s;
	uint64_t since; /* first window that this daemon would close */
	int refreshing;
	int unread; /* the ledger may lack what others wrote */
	int writing; /* a close or an acknowledgement */
	int sending;
	int fenced; /* until the duty is gained anew */
	uint64_t fence;
	struct usage_report report;
	struct counter *reports;
	struct counter *failed_reports;
	struct counter *late_requests;
};

/* Without `reports` it does nothing: nobody asks for usage here. */
void usage_duty_init(struct usage_duty *duty, struct topic_log *log,
		     struct timer_service *timers, struct duty_lease *lease,
		     struct duty_port *port, const char *holder,
		     const char *writer_name, uint32_t window_s,
		     uint32_t late_s, int reports, struct record_log *records,
		     struct counter_set *counters);
void usage_duty_finish(struct usage_duty *duty);

#endif
