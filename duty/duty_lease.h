#ifndef DUTY_DUTY_LEASE_H
#define DUTY_DUTY_LEASE_H

#include "base/record_log.h"
#include "policy/duty_term.h"
#include "store/keyed_follower.h"

/*
 * The right to call the platform for all daemons: usage reports, orders of
 * servers and of weights. One daemon holds it at a time, by records that are
 * appended only where the writer has read to the end. A holder counts its
 * time from before it sent a claim; a rival counts from after it read the
 * claim, and waits longer. The fencing number is the offset of the claim that
 * began a tenure, so that it only rises. Claims name the hosts that held it
 * before and must not yet again, which a host knows of itself even when its
 * process has been started anew. Whoever hears that it is lost ends its calls.
 */
#define DUTY_LEASE_SENDS 8 /* whose times are remembered */

struct duty_lease;

struct duty_lease_listener {
	void (*gained)(struct duty_lease_listener *listener, uint64_t fence);
	void (*lost)(struct duty_lease_listener *listener);
	struct duty_lease_listener *next;
};

struct duty_lease {
	struct keyed_follower follower;
	struct topic_append append;
	struct strbuf records; /* of the running append */
	struct timer_service *timers;
	struct clock *clock;
	struct timer timer;
	struct timer expiry; /* the end of the holder's time */
	struct record_log *log;
	struct duty_term term;
	char name[DUTY_HOST_BYTES]; /* this host */
	uint64_t incarnation;
	struct duty_lease_listener *listeners;

	int wanted; /* this host may hold it */
	int64_t extra_wait_ns; /* spreads rivals */
	int in_flight;
	int releasing;
	uint64_t sequence; /* of the newest claim that was sent */
	int64_t sent_ns[DUTY_LEASE_SENDS]; /* before each was sent */
	uint64_t sent_fence;

	/* By the log. */
	struct duty_view view;
	uint64_t holder_incarnation;
	uint64_t fence;

	int64_t held_until_ns; /* nothing may be sent after it; 0: not held */
	int is_holder;
	struct counter *claims;
	struct counter *conflicts;
	struct counter *malformed; /* entries of the topic */
};

void duty_lease_init(struct duty_lease *lease, struct topic_log *log,
		     struct timer_service *timers, const char *name,
		     uint64_t incarnation, uint32_t lease_ms,
		     struct record_log *records, struct counter_set *counters);
void duty_lease_finish(struct duty_lease *lease);
void duty_lease_start(struct duty_lease *lease);
void duty_lease_add_listener(struct duty_lease *lease,
			     struct duty_lease_listener *listener);

/* Whether this host may claim it, and how much later than the first rival. */
void duty_lease_set_wanted(struct duty_lease *lease, int wanted,
			   int64_t extra_wait_ns);

/* Gives it up at once, for a graceful stop. */
void duty_lease_release(struct duty_lease *lease);

/* Whether this host may act now; checked right before each send. */
int duty_lease_holds(struct duty_lease *lease);

#endif
