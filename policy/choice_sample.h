#ifndef POLICY_CHOICE_SAMPLE_H
#define POLICY_CHOICE_SAMPLE_H

#include <stdint.h>

/*
 * Which candidates a choice looks at where there are too many to look at all.
 * Load pattern: a service with hundreds or thousands of servers. A choice
 * that always looks at the first ones leaves the others idle on all hosts,
 * and finds nothing when those are gone; one that looks at random ones opens
 * connections to all. So each host has its own, by a hash, and keeps them as
 * long as they can be chosen; the hosts together have all alike. Where there
 * is room all candidates are looked at. Pure.
 */
#define CHOICE_SAMPLE_MAX 128

struct choice_sample {
	uint32_t limit;
	uint32_t count; /* places taken */
	uint32_t last; /* the place with the highest rank */
	uint64_t ranks[CHOICE_SAMPLE_MAX]; /* by place */
};

/* `limit` is at most CHOICE_SAMPLE_MAX. */
void choice_sample_begin(struct choice_sample *sample, uint32_t limit);

/*
 * The place of the next candidate, below `limit`, instead of the one that had
 * it; -1: it is left out. `rank` is a hash of the host and the candidate.
 */
int32_t choice_sample_place(struct choice_sample *sample, uint64_t rank);

#endif
