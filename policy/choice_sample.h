#ifndef POLICY_CHOICE_SAMPLE_H
#define POLICY_CHOICE_SAMPLE_H

#include <stdint.h>

/*
 * Selects which candidates a host considers when there are too many to consider
 * all. Load pattern: a service with hundreds or thousands of servers. Always
 * considering the first ones would leave the others idle on all hosts, and
 * would find none when those are down; considering random ones would open
 * connections to all. Each host therefore has its own subset, selected by a
 * hash, and keeps its members as long as they can be chosen; over all hosts
 * each candidate is selected equally often. If there are no more candidates
 * than the limit, all are considered. Pure functions.
 */
#define CHOICE_SAMPLE_MAX 128

struct choice_sample {
	uint32_t limit;
	uint32_t count; /* slots in use */
	uint32_t highest; /* the slot with the highest rank */
	uint64_t ranks[CHOICE_SAMPLE_MAX]; /* by slot */
};

/* `limit` is at most CHOICE_SAMPLE_MAX. */
void choice_sample_begin(struct choice_sample *sample, uint32_t limit);

/*
 * Offers the next candidate; returns the slot, below `limit`, in which it
 * replaces any earlier candidate, or -1 if it is not selected. `rank` is a hash
 * of the host and the candidate.
 */
int32_t choice_sample_offer(struct choice_sample *sample, uint64_t rank);

#endif
