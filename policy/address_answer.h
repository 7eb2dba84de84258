#ifndef POLICY_ADDRESS_ANSWER_H
#define POLICY_ADDRESS_ANSWER_H

#include <stdint.h>

#include "base/rng.h"

/*
 * Which entry hosts a caller is told to use. Load pattern: each caller picks
 * one of the named hosts at random for each new connection, keeps the answer
 * for seconds and loses a second or more at a dead one. So hosts of the own
 * data centre are named as long as enough of them take calls; else those of
 * the region, then all. Pure.
 */
#define ADDRESS_ANSWER_MAX 64
/* With fewer, the loss of one would leave a caller with too few. */
#define ADDRESS_ANSWER_ENOUGH 2

struct address_candidate {
	const char *data_centre;
	const char *region;
	int takes_calls;
};

/* Writes the indexes of the named hosts; returns how many. */
uint32_t address_answer(const struct address_candidate *candidates,
			uint32_t count, const char *data_centre,
			const char *region, struct rng *rng, uint32_t *out,
			uint32_t max);

#endif
