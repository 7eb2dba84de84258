#ifndef POLICY_ADDRESS_ANSWER_H
#define POLICY_ADDRESS_ANSWER_H

#include <stdint.h>

#include "base/rng.h"

/*
 * Selects the entry hosts whose addresses a caller receives. Load pattern: each
 * caller picks one of the returned hosts at random for each new connection,
 * caches the answer for seconds, and loses a second or more on a host that is
 * down. The answer therefore contains hosts of the caller's own data centre as
 * long as enough of them accept calls; otherwise hosts of the region, and then
 * all hosts. Pure functions.
 */
#define ADDRESS_ANSWER_MAX 64
/* With fewer hosts, the loss of one would leave a caller with too few. */
#define ADDRESS_ANSWER_MIN 2

struct address_candidate {
	const char *data_centre;
	const char *region;
	int takes_calls;
};

/* Writes the indexes of the selected hosts to `out`; returns their number. */
uint32_t address_answer(const struct address_candidate *candidates,
			uint32_t count, const char *data_centre,
			const char *region, struct rng *rng, uint32_t *out,
			uint32_t max);

#endif
