#include "usage/usage_due.h"

#include <string.h>

static const struct usage_window *oldest(const struct state *state,
					 const char *partition, int closed)
{
	const struct usage_window *windows;
	uint32_t count = state_usage_windows(state, &windows);
	const struct usage_window *found = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct usage_window *window = &windows[i];

		if (window->closed != closed || window->acknowledged ||
		    strcmp(window->partition, partition))
			continue;
		if (!found || window->start_s < found->start_s)
			found = window;
	}
	return found;
}

static const struct usage_carry *carry_of(const struct state *state,
					  const char *partition)
{
	const struct usage_carry *carries;
	uint32_t count = state_usage_carries(state, &carries);

	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(carries[i].partition, partition))
			return &carries[i];
	return NULL;
}

int usage_close_due(const struct state *state, const char *partition,
		    uint64_t wall_s, const struct usage_schedule *schedule,
		    uint64_t *start_s)
{
	const struct usage_window *open = oldest(state, partition, 0);
	const struct usage_carry *carry = carry_of(state, partition);
	uint64_t ended_s;

	if (wall_s < schedule->window_s + schedule->grace_s)
		return 0;
	/* Start of the newest window whose grace period has passed. */
	ended_s = wall_s - schedule->grace_s - schedule->window_s;
	ended_s -= ended_s % schedule->window_s;
	if (open) {
		*start_s = open->start_s;
		return open->start_s <= ended_s;
	}
	*start_s = ended_s;
	return carry && carry->figure_count && carry->newest_closed_s < ended_s;
}

const struct usage_window *usage_report_due(const struct state *state,
					    const char *partition)
{
	return oldest(state, partition, 1);
}
