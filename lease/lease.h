#ifndef LEASE_LEASE_H
#define LEASE_LEASE_H

#include "base/clock.h"
#include "state/state.h"

/*
 * Decides for one daemon when to claim and renew one lease, and until when
 * the daemon holds it. Pure: the time is passed as an argument and is
 * CLOCK_BOOTTIME of this host; clocks of two hosts are never compared.
 *
 * The holder measures the duration from just before it sent the claim. A
 * rival measures from just after it read that claim in the log, and waits for
 * the duration, plus the maximum clock drift during it, plus the longest time
 * that an order sent by the holder can take to arrive.
 */
struct lease_timing {
	int64_t duration_ns;
	int64_t drift_ppm; /* maximum, of one clock against true time */
	int64_t longest_order_ns; /* from send to receipt */
	int64_t margin_ns; /* from expiry until sends are sure to fail */
	int64_t retry_ns; /* minimum interval between two claims */
};

struct lease_claimant {
	char holder[NAME_BYTES]; /* this daemon */
	uint64_t incarnation;
	struct lease_timing timing;
	int64_t extra_wait_ns; /* added to a rival's wait, as a stagger */
	int has_observed;
	struct lease observed;
	int64_t observed_ns; /* just after the first read of that position */
	int attempting; /* a claim or renewal is in flight */
	uint64_t base; /* position on which the claims in flight are based */
	int has_earliest;
	int64_t earliest_ns; /* first send that may take effect */
	int64_t attempt_ns; /* just before the newest send */
	int has_attempted;
	int holds; /* the observed record is a claim of this daemon */
	int log_rewound; /* the log lost claims that had been observed */
	int64_t deadline_ns; /* no order may be sent from then on */
};

enum lease_action { LEASE_WAIT = 0, LEASE_CLAIM };

void lease_timing_init(struct lease_timing *timing, int64_t duration_ns);

void lease_claimant_init(struct lease_claimant *claimant, const char *holder,
			 uint64_t incarnation,
			 const struct lease_timing *timing);

/*
 * Records the lease as read from the log; `lease` is NULL if the log
 * has no claim of it. `now_ns` must be sampled after the log was read.
 */
void lease_claimant_observe(struct lease_claimant *claimant,
			    const struct lease *lease, int64_t now_ns);

/* Returns whether to send a claim or renewal now. */
enum lease_action lease_claimant_decide(const struct lease_claimant *claimant,
					int64_t now_ns);

/*
 * Records that a claim is about to be sent; `now_ns` must be sampled before
 * the send. Returns the position on which the claim must be based.
 */
uint64_t lease_claimant_send(struct lease_claimant *claimant, int64_t now_ns);

/*
 * Records that the log applied the claim, whether it accepted it or not. Call
 * lease_claimant_observe() next.
 */
void lease_claimant_applied(struct lease_claimant *claimant);

/*
 * Stops waiting for the claim in flight. `may_take_effect` is 0 only if it is
 * certain that the claim will never be applied.
 */
void lease_claimant_abandon(struct lease_claimant *claimant,
			    int may_take_effect);

/*
 * Stops holding the lease. A release based on the returned position may be
 * sent next; it counts as a claim in flight until it is applied or abandoned.
 */
uint64_t lease_claimant_release(struct lease_claimant *claimant,
				int64_t now_ns);

/* Returns whether this daemon may act under the lease at `now_ns`. */
int lease_claimant_holds(const struct lease_claimant *claimant, int64_t now_ns);

/* Returns how long a rival waits after reading a claim of this duration. */
int64_t lease_rival_wait_ns(const struct lease_timing *timing,
			    int64_t duration_ns);

#endif
