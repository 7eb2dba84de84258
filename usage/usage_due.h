#ifndef USAGE_USAGE_DUE_H
#define USAGE_USAGE_DUE_H

#include "state/state.h"

/*
 * Selects the window of a partition that the holder of its lease closes or
 * reports next. Pure: a function of the log's state and the wall clock.
 */
struct usage_schedule {
	uint32_t window_s;
	uint32_t grace_s; /* delay from a window's end to its close */
};

/*
 * Finds the window to close at `wall_s`: the oldest open one if its end and
 * grace period have passed, or, if late sums are pending and no window is open,
 * the newest window whose grace period has passed. Returns 1 and sets its
 * start, or returns 0.
 */
int usage_close_due(const struct state *state, const char *partition,
		    uint64_t wall_s, const struct usage_schedule *schedule,
		    uint64_t *start_s);

/* Returns the oldest closed, unacknowledged window; NULL if none. */
const struct usage_window *usage_report_due(const struct state *state,
					    const char *partition);

#endif
