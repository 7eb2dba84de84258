#ifndef POLICY_CHOICE_SAMPLE_H
#define POLICY_CHOICE_SAMPLE_H

#include "base/rng.h"

/*
 * Which candidates a choice looks at where there are too many to look at all.
 * Load pattern: a service with hundreds or thousands of servers; a choice
 * that always looks at the same first ones leaves the others idle and finds
 * nothing when those are gone. Each candidate is as likely as any other to be
 * looked at, and all are as long as there is room. Pure but for the
 * generator.
 */
struct choice_sample {
	uint32_t limit; /* room */
	uint32_t count; /* places taken */
	uint64_t offered;
};

void choice_sample_begin(struct choice_sample *sample, uint32_t limit);

/*
 * The place of the next candidate, below `limit`, instead of the one that had
 * it; -1: it is left out.
 */
int32_t choice_sample_place(struct choice_sample *sample, struct rng *rng);

#endif
