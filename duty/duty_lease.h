#ifndef DUTY_DUTY_LEASE_H
#define DUTY_DUTY_LEASE_H

#include "base/record_log.h"
#include "policy/duty_term.h"
#include "store/keyed_follower.h"

/*
 * Lease that elects the one daemon that performs the duties: usage reports,
 * server orders and weight orders. A claim is a conditional append to a topic:
 * it succeeds only if the writer has read to the end of the topic. A holder
 * measures its term from before it sent the claim; other hosts measure it from
 * after they read the claim and wait longer. The fencing number is the log
 * offset of the claim that began the tenure, so it only increases. Claims list
 * the former holders that must not hold the lease again yet, so the
 * restriction also applies after a restart of a host's process. A listener
 * must cancel its calls when the lease is lost.
 */
#define DUTY_LEASE_SEND_TIMES 8 /* newest claims whose send time is kept */

struct duty_lease;

struct duty_lease_listener {
	void (*gained)(struct duty_lease_listener *listener, uint64_t fence);
	void (*lost)(struct duty_lease_listener *listener);
	struct duty_lease_listener *next;
};

struct duty_lease {
	struct keyed_follower follower;
	struct topic_append append;
	struct strbuf records; /* payload of the append in flight */
	struct timer_service *timers;
	struct clock *clock;
	struct timer timer;
	struct timer expiry; /* fires at held_until_ns */
	struct record_log *log;
	struct duty_term term;
	char name[DUTY_HOST_BYTES]; /* of this host */
	uint64_t incarnation;
	struct duty_lease_listener *listeners;

	int eligible; /* this host may claim the lease */
	int64_t extra_wait_ns; /* staggers claims of several hosts */
	int in_flight; /* whether an append is in flight */
	int releasing;
	uint64_t sequence; /* of the newest claim sent */
	/* Taken before each claim was sent; indexed by its sequence number. */
	int64_t sent_ns[DUTY_LEASE_SEND_TIMES];
	uint64_t sent_fence; /* fence of the newest claim sent */

	/* State by the newest claim in the log. */
	struct duty_view view;
	uint64_t holder_incarnation;
	uint64_t fence;

	int64_t held_until_ns; /* send no calls after it; 0: not held */
	int is_holder;
	struct counter *claims;
	struct counter *conflicts;
	struct counter *malformed; /* topic entries */
};

void duty_lease_init(struct duty_lease *lease, struct topic_log *log,
		     struct timer_service *timers, const char *name,
		     uint64_t incarnation, uint32_t lease_ms,
		     struct record_log *records, struct counter_set *counters);
void duty_lease_finish(struct duty_lease *lease);
void duty_lease_start(struct duty_lease *lease);
void duty_lease_add_listener(struct duty_lease *lease,
			     struct duty_lease_listener *listener);

/*
 * Sets whether this host may claim the lease, and how much later than the
 * earliest permitted time it claims.
 */
void duty_lease_set_eligible(struct duty_lease *lease, int eligible,
			     int64_t extra_wait_ns);

/* Releases the lease at once, for a graceful stop. */
void duty_lease_release(struct duty_lease *lease);

/* Whether this host holds the lease now; check right before each call. */
int duty_lease_holds(struct duty_lease *lease);

#endif
