#ifndef POLICY_SHARE_H
#define POLICY_SHARE_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Computes team limits and fair shares over many daemons from demand summaries
 * alone. Each daemon has its own demand, that of each daemon in its data
 * centre, and one sum for every other data centre; from the same summaries all
 * daemons compute parts that add up to the total. Idle shares are lent by
 * demand and are returned as soon as the summaries show demand of their owner.
 */

/* One team's demand in one pool. */
struct share_team {
	double weight;
	double demand_slots; /* running and waiting, over all daemons */
	uint32_t max_slots; /* the team's limit; 0: none */
	double slots; /* out: its max-min fair share */
};

/*
 * Shares `capacity_slots` among the teams: no team gets more than its demand,
 * and what it does not need is divided among the others by weight.
 */
void share_fair_slots(struct share_team *teams, uint32_t count,
		      double capacity_slots);

/* One daemon, or all daemons of another data centre. */
struct share_party {
	uint32_t members; /* daemons, by the host list */
	double demand_slots; /* of the team in question, in use or not */
	double used_slots; /* in use or granted, whichever is larger */
	int64_t received_ns; /* time of that summary */
	int own; /* the daemon that computes its part */
	int local; /* that daemon, or one of its data centre */
};

/*
 * How many of `slots` the daemon marked `own` may use now. The slots are
 * divided among the data centres by their sums, then within the own one, so
 * that all daemons get consistent results. The parties are in an order that is
 * the same on all daemons, by data centre and name. For a party that has been
 * silent for longer than `silent_after_ns`, share_reserved_slots() are set
 * aside: that party does the same for this side, so that both sides of a
 * network partition stay within the total.
 *
 * A daemon whose part increases takes only its share of the slots that are free
 * according to the summaries, in proportion to what each one lacks, so that no
 * slot is used twice while others return theirs. The result is valid until the
 * next division; the time between two divisions must be longer than a summary
 * takes to reach all daemons, and all parties, including the own one, are
 * passed as in that summary.
 */
uint32_t share_own_part(uint32_t slots, const struct share_party *parties,
			uint32_t count, int64_t silent_after_ns,
			int64_t now_ns);

/* A silent party may still run what it used according to its last summary. */
#define SHARE_HOLD_NS (20 * NS_PER_S)

/*
 * Slots set aside for a silent party, where each daemon's equal part is
 * `equal_slots`: as many as it used in its last summary, for SHARE_HOLD_NS;
 * then its equal part, which it may use for as long as it is listed.
 */
double share_reserved_slots(const struct share_party *party, double equal_slots,
			    int64_t now_ns);

#endif
