#ifndef POLICY_LOAD_PACE_H
#define POLICY_LOAD_PACE_H

#include <stdint.h>

/*
 * How many engines may load weights at once when the usual number lets a step
 * wait too long. Load pattern: several trainers name a version every few
 * seconds, and their steps have little time to spare; items wait for engines
 * with their weights while slots are free. More loads at once help only as long
 * as each does not take longer for it, which depends on where weights come from
 * and is learned from the loads that end: the bound rises level by level while
 * a level loads clearly more engines per second than the one below. If no step
 * is late, the usual number holds. Pure functions.
 */

/* Levels of loads at once, in steps of an eighth of the usual number. */
#define LOAD_PACE_LEVELS 13

struct load_level {
	double loads_per_ns; /* moving averages */
	double load_ns;
	uint32_t count; /* loads seen */
	int64_t last_ns; /* when the last of them ended */
};

struct load_pace {
	uint32_t usual; /* loads at once if no step is late */
	struct load_level levels[LOAD_PACE_LEVELS];
};

/* Loads that one step waits for. */
struct load_due {
	uint32_t loads;
	int64_t left_ns; /* until they have to be done */
};

/* Sets the usual number; what was learned at another one is forgotten. */
void load_pace_set_usual(struct load_pace *pace, uint32_t usual);

/* A load took `took_ns`, in which `at_once` engines loaded on average. */
void load_pace_observe(struct load_pace *pace, double at_once, int64_t took_ns,
		       int64_t now_ns);

/* How long a load takes while `at_once` engines load; 0: not known. */
int64_t load_pace_expected_ns(const struct load_pace *pace, uint32_t at_once);

/* How many engines may load at once now. */
uint32_t load_pace_bound(const struct load_pace *pace,
			 const struct load_due *dues, uint32_t due_count,
			 int64_t now_ns);

#endif
