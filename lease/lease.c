#include "lease/lease.h"

#include <string.h>

#include "base/alloc.h"

#define PPM INT64_C(1000000)

/* The holder renews after duration / RENEW_DIVISOR. */
#define RENEW_DIVISOR 3

void lease_timing_init(struct lease_timing *timing, int64_t duration_ns)
{
	timing->duration_ns = duration_ns;
	timing->drift_ppm = 1000;
	timing->longest_order_ns = 2 * NS_PER_S;
	timing->margin_ns = 100 * NS_PER_MS;
	timing->retry_ns = duration_ns / 10;
}

void lease_claimant_init(struct lease_claimant *claimant, const char *holder,
			 uint64_t incarnation,
			 const struct lease_timing *timing)
{
	memset(claimant, 0, sizeof(*claimant));
	copy_text(claimant->holder, sizeof(claimant->holder), holder);
	claimant->incarnation = incarnation;
	claimant->timing = *timing;
}

static int is_own(const struct lease_claimant *claimant,
		  const struct lease *lease)
{
	return lease->holder_incarnation == claimant->incarnation &&
	       !strcmp(lease->holder, claimant->holder);
}

/*
 * An accepted claim of this daemon is based on the previously observed
 * position, since the log accepts no other. If it was sent several times, it
 * is unknown which send took effect, so the lease is counted from the first.
 */
static void adopt_own_claim(struct lease_claimant *claimant)
{
	claimant->holds = claimant->has_earliest;
	claimant->deadline_ns =
		claimant->earliest_ns +
		(int64_t)claimant->observed.duration_ms * NS_PER_MS;
}

void lease_claimant_observe(struct lease_claimant *claimant,
			    const struct lease *lease, int64_t now_ns)
{
	uint64_t position = lease ? lease->position : 0;

	if (claimant->has_observed && position == claimant->observed.position)
		return;
	claimant->log_rewound = claimant->has_observed &&
				position < claimant->observed.position;
	claimant->has_observed = 1;
	claimant->observed_ns = now_ns;
	if (lease)
		claimant->observed = *lease;
	else
		memset(&claimant->observed, 0, sizeof(claimant->observed));
	claimant->holds = 0;
	if (lease && is_own(claimant, lease))
		adopt_own_claim(claimant);
	claimant->has_earliest = 0;
	claimant->has_attempted = 0;
}

static int64_t divide_up(int64_t value, int64_t by)
{
	return (value + by - 1) / by;
}

int64_t lease_rival_wait_ns(const struct lease_timing *timing,
			    int64_t duration_ns)
{
	/* Worst case: the holder's clock is slow and the rival's is fast. */
	int64_t slow_ppm = PPM - timing->drift_ppm;
	int64_t fast_ppm = PPM + timing->drift_ppm;

	return divide_up(duration_ns * fast_ppm, slow_ppm) +
	       divide_up(timing->longest_order_ns * fast_ppm, PPM) +
	       timing->margin_ns;
}

/* Returns the time from which a claim or renewal may be sent. */
static int64_t claim_from_ns(const struct lease_claimant *claimant)
{
	const struct lease *lease = &claimant->observed;
	int64_t duration_ns = (int64_t)lease->duration_ms * NS_PER_MS;

	if (is_own(claimant, lease))
		return claimant->holds ? claimant->deadline_ns - duration_ns +
						 duration_ns / RENEW_DIVISOR
				       : claimant->observed_ns;
	if (claimant->log_rewound && duration_ns < claimant->timing.duration_ns)
		duration_ns = claimant->timing.duration_ns;
	else if (!lease->holder[0])
		return claimant->observed_ns + claimant->extra_wait_ns;
	return claimant->observed_ns +
	       lease_rival_wait_ns(&claimant->timing, duration_ns) +
	       claimant->extra_wait_ns;
}

enum lease_action lease_claimant_decide(const struct lease_claimant *claimant,
					int64_t now_ns)
{
	if (!claimant->has_observed || claimant->attempting)
		return LEASE_WAIT;
	if (claimant->has_attempted &&
	    now_ns < claimant->attempt_ns + claimant->timing.retry_ns)
		return LEASE_WAIT;
	return now_ns >= claim_from_ns(claimant) ? LEASE_CLAIM : LEASE_WAIT;
}

uint64_t lease_claimant_send(struct lease_claimant *claimant, int64_t now_ns)
{
	claimant->base = claimant->observed.position;
	claimant->attempting = 1;
	claimant->has_attempted = 1;
	claimant->attempt_ns = now_ns;
	if (!claimant->has_earliest) {
		claimant->has_earliest = 1;
		claimant->earliest_ns = now_ns;
	}
	return claimant->base;
}

void lease_claimant_applied(struct lease_claimant *claimant)
{
	claimant->attempting = 0;
}

void lease_claimant_abandon(struct lease_claimant *claimant,
			    int may_take_effect)
{
	claimant->attempting = 0;
	if (!may_take_effect && claimant->base == claimant->observed.position &&
	    claimant->earliest_ns == claimant->attempt_ns)
		claimant->has_earliest = 0;
}

uint64_t lease_claimant_release(struct lease_claimant *claimant, int64_t now_ns)
{
	claimant->holds = 0;
	return lease_claimant_send(claimant, now_ns);
}

int lease_claimant_holds(const struct lease_claimant *claimant, int64_t now_ns)
{
	return claimant->holds && now_ns < claimant->deadline_ns;
}
