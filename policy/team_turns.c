#include "policy/team_turns.h"

#include <stdlib.h>

#include "base/alloc.h"

/* No item; also for a team that has none left. */
#define NO_ITEM UINT32_MAX

/* Links the items of each team into a list through `next`, in their order. */
static void link_items(const uint32_t *team_of, uint32_t count, uint32_t *next,
		       uint32_t *first, uint32_t team_count)
{
	for (uint32_t t = 0; t < team_count; t++)
		first[t] = NO_ITEM;
	for (uint32_t i = count; i-- > 0;) {
		next[i] = first[team_of[i]];
		first[team_of[i]] = i;
	}
}

static int is_before(const struct turn_team *a, const struct turn_team *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->running < b->running;
}

static uint32_t next_team(const struct turn_team *teams, uint32_t team_count,
			  const uint32_t *first)
{
	uint32_t best = NO_ITEM;

	for (uint32_t t = 0; t < team_count; t++)
		if (first[t] != NO_ITEM &&
		    (best == NO_ITEM || is_before(&teams[t], &teams[best])))
			best = t;
	return best;
}

void team_turns_order(struct turn_team *teams, uint32_t team_count,
		      const uint32_t *team_of, uint32_t count, uint32_t *order)
{
	uint32_t *next = xcalloc(count + 1, sizeof(*next));
	uint32_t *first = xcalloc(team_count + 1, sizeof(*first));

	link_items(team_of, count, next, first, team_count);
	for (uint32_t i = 0; i < count; i++) {
		uint32_t team = next_team(teams, team_count, first);

		order[i] = first[team];
		first[team] = next[first[team]];
		teams[team].running++;
	}
	free(next);
	free(first);
}
