#ifndef POLICY_STEP_PACE_H
#define POLICY_STEP_PACE_H

#include <stdint.h>

/*
 * When the engines of a model's newest step have to be ready, learned from how
 * often the trainer asks for newer weights. Load pattern: a trainer names a
 * version every few seconds and asks for a step that may use weights `lag`
 * versions older, so that `lag` + 1 steps are open at a time and each has as
 * many intervals. Pure functions; a zeroed struct has seen no step.
 */
struct step_pace {
	uint64_t version; /* least one of the newest step; 0: no step yet */
	int64_t began_ns; /* when that step was first reported */
	int64_t interval_ns; /* between two versions; 0: not known yet */
};

/* A need for `min_version` or newer was reported at `at_ns`. */
void step_pace_note(struct step_pace *pace, uint64_t min_version,
		    int64_t at_ns);

/*
 * Time until the loads of `version` have to be done for the newest step, 0 if
 * it has passed; -1: not known, or the step is over. A version that no step has
 * asked for yet is loaded for a step that begins now.
 */
int64_t step_pace_left_ns(const struct step_pace *pace, uint64_t version,
			  uint64_t lag, int64_t now_ns);

#endif
