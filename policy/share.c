#include <math.h>
#include <stdlib.h>

#include "policy/share.h"

#include "base/alloc.h"
#include "base/bug.h"

/*
 * Tolerance for rounding errors: a sum just below a whole number counts as that
 * number.
 */
#define ROUNDING_TOLERANCE 1e-6

static double limited_demand(const struct share_team *team)
{
	if (team->max_slots && team->demand_slots > team->max_slots)
		return team->max_slots;
	return team->demand_slots;
}

void share_fair_slots(struct share_team *teams, uint32_t count,
		      double capacity_slots)
{
	double left = capacity_slots;
	int settled = 1;

	for (uint32_t i = 0; i < count; i++)
		teams[i].slots = -1;
	/* Each round settles the teams that need less than their share. */
	while (settled) {
		double weights = 0;
		double round_left = left;

		settled = 0;
		for (uint32_t i = 0; i < count; i++)
			if (teams[i].slots < 0)
				weights += teams[i].weight;
		for (uint32_t i = 0; i < count; i++) {
			double demand = limited_demand(&teams[i]);

			if (teams[i].slots >= 0 ||
			    demand * weights > round_left * teams[i].weight)
				continue;
			teams[i].slots = demand;
			left -= demand;
			settled = 1;
		}
		if (settled)
			continue;
		for (uint32_t i = 0; i < count; i++)
			if (teams[i].slots < 0)
				teams[i].slots =
					left * teams[i].weight / weights;
	}
}

static int is_silent(const struct share_party *party, int64_t silent_after_ns,
		     int64_t now_ns)
{
	return !party->own && now_ns - party->received_ns > silent_after_ns;
}

struct share_level {
	uint32_t slots;
	double equal_slots; /* of each daemon, out of all slots */
	int64_t silent_after_ns;
	int64_t now_ns;
};

/* Writes the fair shares of the parties that are not silent to `shares`. */
static void compute_fair_shares(const struct share_level *level,
				const struct share_party *parties,
				uint32_t count, struct share_team *shares)
{
	double reporting_members = 0;
	double available = level->slots;
	double wanted = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct share_party *party = &parties[i];

		if (is_silent(party, level->silent_after_ns, level->now_ns)) {
			available -= share_reserved_slots(
				party, level->equal_slots, level->now_ns);
			continue;
		}
		shares[i].weight = party->members;
		shares[i].demand_slots = party->demand_slots;
		reporting_members += party->members;
		wanted += party->demand_slots;
	}
	if (available < 0)
		available = 0;
	share_fair_slots(shares, count, available);
	if (wanted >= available)
		return;
	/* Spare slots for requests that arrive before the next summaries. */
	for (uint32_t i = 0; i < count; i++)
		shares[i].slots += (available - wanted) * shares[i].weight /
				   reporting_members;
}

/*
 * Writes the whole slots of each party to `parts`. Rounding is cumulative, so
 * that they add up to the total.
 */
static void compute_parts(const struct share_level *level,
			  const struct share_party *parties, uint32_t count,
			  uint32_t *parts)
{
	struct share_team *shares = xcalloc(count, sizeof(*shares));
	double before = 0;

	compute_fair_shares(level, parties, count, shares);
	for (uint32_t i = 0; i < count; i++) {
		double end = before + shares[i].slots;

		parts[i] = (uint32_t)(floor(end + ROUNDING_TOLERANCE) -
				      floor(before + ROUNDING_TOLERANCE));
		before = end;
	}
	free(shares);
}

double share_reserved_slots(const struct share_party *party, double equal_slots,
			    int64_t now_ns)
{
	double equal = equal_slots * party->members;

	if (now_ns - party->received_ns > SHARE_HOLD_NS ||
	    party->used_slots < equal)
		return equal;
	return party->used_slots;
}

/* Adds the party to the sum of its data centre. */
static void add_to_sum(const struct share_level *level, struct share_party *sum,
		       const struct share_party *party)
{
	sum->own = 1;
	sum->members += party->members;
	if (is_silent(party, level->silent_after_ns, level->now_ns)) {
		double reserved = share_reserved_slots(
			party, level->equal_slots, level->now_ns);

		sum->demand_slots += reserved;
		sum->used_slots += reserved;
		return;
	}
	sum->demand_slots += party->demand_slots;
	sum->used_slots += party->used_slots;
}

/* Whole slots that are neither in use nor reserved for a silent party. */
static double find_unused(const struct share_level *level,
			  const struct share_party *parties, uint32_t count)
{
	double unused = level->slots;

	for (uint32_t i = 0; i < count; i++) {
		const struct share_party *party = &parties[i];

		if (is_silent(party, level->silent_after_ns, level->now_ns))
			unused -= share_reserved_slots(
				party, level->equal_slots, level->now_ns);
		else
			unused -= party->used_slots;
	}
	return unused > 0 ? floor(unused + ROUNDING_TOLERANCE) : 0;
}

/* Slots of its part that a party does not use yet. */
static double missing_slots(const struct share_party *party, uint32_t part)
{
	return part > party->used_slots ? part - party->used_slots : 0;
}

/*
 * Slots that party `own` may take of the unused ones. If these do not suffice,
 * they are divided in proportion to what each party lacks, also with cumulative
 * rounding.
 */
static double find_increase(const struct share_party *parties,
			    const uint32_t *parts, uint32_t count, uint32_t own,
			    double unused)
{
	double missing = missing_slots(&parties[own], parts[own]);
	double before = 0;
	double sum = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (i == own)
			before = sum;
		sum += missing_slots(&parties[i], parts[i]);
	}
	if (sum <= unused)
		return missing;
	return floor((before + missing) * unused / sum + ROUNDING_TOLERANCE) -
	       floor(before * unused / sum + ROUNDING_TOLERANCE);
}

uint32_t share_own_part(uint32_t slots, const struct share_party *parties,
			uint32_t count, int64_t silent_after_ns, int64_t now_ns)
{
	struct share_level level = { slots, 0, silent_after_ns, now_ns };
	struct share_party *upper = xcalloc(count, sizeof(*upper));
	struct share_party *local = xcalloc(count, sizeof(*local));
	uint32_t *parts = xcalloc(count, sizeof(*parts));
	uint32_t upper_count = 0;
	uint32_t local_count = 0;
	double members = 0;
	int64_t sum_at = -1;
	int64_t own_at = -1;
	double most;
	uint32_t part;

	for (uint32_t i = 0; i < count; i++)
		members += parties[i].members;
	level.equal_slots = slots / members;
	for (uint32_t i = 0; i < count; i++) {
		if (!parties[i].local) {
			upper[upper_count++] = parties[i];
			continue;
		}
		if (sum_at < 0)
			sum_at = upper_count++;
		if (parties[i].own)
			own_at = local_count;
		add_to_sum(&level, &upper[sum_at], &parties[i]);
		local[local_count++] = parties[i];
	}
	if (own_at < 0)
		BUG("the asking daemon is not among the local parties");
	compute_parts(&level, upper, upper_count, parts);
	most = find_increase(upper, parts, upper_count, (uint32_t)sum_at,
			     find_unused(&level, upper, upper_count));
	level.slots = parts[sum_at];
	compute_parts(&level, local, local_count, parts);
	most = local[own_at].used_slots +
	       find_increase(local, parts, local_count, (uint32_t)own_at, most);
	part = parts[own_at] < most ? parts[own_at] : (uint32_t)most;
	free(parts);
	free(upper);
	free(local);
	return part;
}
