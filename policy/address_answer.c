#include "policy/address_answer.h"

#include <string.h>

enum scope { SCOPE_DATA_CENTRE = 0, SCOPE_REGION, SCOPE_ALL, SCOPE_COUNT };

static int is_in_scope(const struct address_candidate *candidate,
		       enum scope scope, const char *data_centre,
		       const char *region)
{
	if (!candidate->takes_calls)
		return 0;
	if (scope == SCOPE_DATA_CENTRE)
		return !strcmp(candidate->data_centre, data_centre);
	if (scope == SCOPE_REGION)
		return !strcmp(candidate->region, region);
	return 1;
}

/*
 * Selects up to `max` of the candidates in the given scope, uniformly at random
 * (reservoir sampling).
 */
static uint32_t sample_scope(const struct address_candidate *candidates,
			     uint32_t count, enum scope scope,
			     const char *data_centre, const char *region,
			     struct rng *rng, uint32_t *out, uint32_t max)
{
	uint32_t seen = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t at = seen;

		if (!is_in_scope(&candidates[i], scope, data_centre, region))
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
	uint32_t selected = 0;

	for (int scope = 0; scope < SCOPE_COUNT; scope++) {
		selected = sample_scope(candidates, count, (enum scope)scope,
					data_centre, region, rng, out, max);
		if (selected >= ADDRESS_ANSWER_MIN)
			break;
	}
	return selected;
}
