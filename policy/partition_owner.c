#include "policy/partition_owner.h"

#include <math.h>
#include <string.h>

#include "base/hash.h"

/*
 * A host that has just accepted a batch runs it without asking around, unless
 * it has less than this part of the largest host's processor.
 */
#define STRONG_PART 0.5

/* Uniform in (0, 1), the same on every host. */
static double draw(const char *name, uint32_t partition)
{
	uint64_t hash =
		hash_bytes(&partition, sizeof(partition), hash_text(name, 0));

	return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
}

int32_t partition_owner_rank(const struct owner_candidate *candidates,
			     uint32_t count, uint32_t partition)
{
	double best_score = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		double score;

		if (!candidates[i].takes_calls)
			continue;
		score = -(double)(candidates[i].cpu_milli + 1) /
			log(draw(candidates[i].name, partition));
		if (best >= 0 &&
		    (score < best_score ||
		     (score == best_score &&
		      strcmp(candidates[i].name, candidates[best].name) > 0)))
			continue;
		best = (int32_t)i;
		best_score = score;
	}
	return best;
}

int partition_owner_claims(const struct owner_view *view)
{
	if (!view->is_ready || view->owner_is_self || view->owner_is_alive)
		return 0;
	if (view->is_first)
		return 1;
	return view->has_new_batch &&
	       view->own_cpu_milli >= STRONG_PART * view->best_cpu_milli;
}
