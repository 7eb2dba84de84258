#include "policy/partition_owner.h"

#include <math.h>
#include <string.h>

#include "base/hash.h"

/*
 * A host that has just accepted a batch claims its partition even if another
 * host ranks first, unless it has less than this fraction of the largest
 * host's processor. Such a host isn't chosen for a configured model either.
 */
#define CLAIM_CPU_FRACTION 0.5

/* Pseudo-random number in (0, 1), the same on every host. */
static double uniform_hash(const char *name, uint32_t partition)
{
	uint64_t hash =
		hash_bytes(&partition, sizeof(partition), hash_text(name, 0));

	return ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
}

static double score(const struct owner_candidate *candidate, uint32_t partition)
{
	return -(double)(candidate->cpu_milli + 1) /
	       log(uniform_hash(candidate->name, partition));
}

/* Whether `a` precedes `b` by score, or by name if the scores are equal. */
static int ranks_before(const struct owner_candidate *a, double score_a,
			const struct owner_candidate *b, double score_b)
{
	if (score_a != score_b)
		return score_a > score_b;
	return strcmp(a->name, b->name) < 0;
}

int32_t partition_owner_rank(const struct owner_candidate *candidates,
			     uint32_t count, uint32_t partition)
{
	double best_score = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		double own;

		if (!candidates[i].takes_calls)
			continue;
		own = score(&candidates[i], partition);
		if (best >= 0 && !ranks_before(&candidates[i], own,
					       &candidates[best], best_score))
			continue;
		best = (int32_t)i;
		best_score = own;
	}
	return best;
}

uint32_t partition_owner_position(const struct owner_candidate *candidates,
				  uint32_t count, uint32_t partition,
				  const char *name)
{
	const struct owner_candidate *own = NULL;
	double own_score = 0;
	uint32_t before = 0;

	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(candidates[i].name, name))
			own = &candidates[i];
	if (own)
		own_score = score(own, partition);
	for (uint32_t i = 0; i < count; i++)
		if (candidates[i].takes_calls &&
		    (!own || ranks_before(&candidates[i],
					  score(&candidates[i], partition), own,
					  own_score)))
			before++;
	return before;
}

void partition_owner_drop_weak(struct owner_candidate *candidates,
			       uint32_t count)
{
	uint32_t best = 0;

	for (uint32_t i = 0; i < count; i++)
		if (candidates[i].takes_calls && candidates[i].cpu_milli > best)
			best = candidates[i].cpu_milli;
	for (uint32_t i = 0; i < count; i++)
		if (candidates[i].cpu_milli < CLAIM_CPU_FRACTION * best)
			candidates[i].takes_calls = 0;
}

int partition_owner_claims(const struct owner_view *view)
{
	if (!view->is_ready || view->owner_is_self || view->owner_is_alive)
		return 0;
	if (view->is_first)
		return 1;
	return view->has_new_batch &&
	       view->own_cpu_milli >= CLAIM_CPU_FRACTION * view->best_cpu_milli;
}
