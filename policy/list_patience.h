#ifndef POLICY_LIST_PATIENCE_H
#define POLICY_LIST_PATIENCE_H

#include <stdint.h>

/*
 * How long a host waits for a page of a list, and before it asks again. Load
 * pattern: one event starts all hosts, and each of them lists thousands of
 * servers at the same store. A page then takes longer than a lone host would
 * need, and what a host gives up on costs the store as much as what it takes,
 * so that limits which stay as they are hold the overload up for ever. Each
 * page that does not come in time lets the next one take twice as long, and the
 * pause before it is random, so that hosts get out of step.
 * Failures that are told at once change nothing. Pure functions; a zeroed
 * struct has given up on nothing.
 */
#define LIST_PATIENCE_MAX_NS (6 * NS_PER_S)

struct list_patience {
	uint32_t given_up; /* pages that did not come in time, in a row */
};

/* The time limit of the next page. */
int64_t list_patience_limit_ns(const struct list_patience *patience,
			       int64_t usual_ns);

/* The pause before it; `random` is in [0, 1). */
int64_t list_patience_pause_ns(const struct list_patience *patience,
			       int64_t usual_ns, double random);

#endif
