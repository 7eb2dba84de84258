#include "policy/address_answer.h"

#include <string.h>

enum reach { REACH_DATA_CENTRE = 0, REACH_REGION, REACH_ALL, REACH_COUNT };

static int is_within(const struct address_candidate *candidate,
		     enum reach reach, const char *data_centre,
		     const char *region)
{
	if (!candidate->takes_calls)
		return 0;
	if (reach == REACH_DATA_CENTRE)
		return !strcmp(candidate->data_centre, data_centre);
	if (reach == REACH_REGION)
		return !strcmp(candidate->region, region);
	return 1;
}

/* Takes `max` of those within reach at random (reservoir sampling). */
static uint32_t take(const struct address_candidate *candidates, uint32_t count,
		     enum reach reach, const char *data_centre,
		     const char *region, struct rng *rng, uint32_t *out,
		     uint32_t max)
{
	uint32_t seen = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t at = seen;

		if (!is_within(&candidates[i], reach, data_centre, region))
			continue;
		seen++;
		if (seen > max)
			at = rng_below(rng, seen);
		if (at < max)
			out[at] = i;
	}
	return seen < max ? seen : max;
}

uint32_t address_answer(const struct address_candidate *candidates,
			uint32_t count, const char *data_centre,
			const char *region, struct rng *rng, uint32_t *out,
			uint32_t max)
{
	uint32_t taken = 0;

	for (int reach = 0; reach < REACH_COUNT; reach++) {
		taken = take(candidates, count, (enum reach)reach, data_centre,
			     region, rng, out, max);
		if (taken >= ADDRESS_ANSWER_ENOUGH)
			break;
	}
	return taken;
}
