#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/waiting_item.h"
#include "policy/team_turns.h"

/* Teams that take turns apart; further ones share one of them. */
#define TEAMS_MAX 128

/* The teams whose items wait. */
struct turns {
	const struct batch_runner *runner;
	const char *names[TEAMS_MAX];
	struct turn_team teams[TEAMS_MAX];
	uint32_t count;
};

static uint32_t priority_of(const struct batch_runner *runner,
			    const struct run_item *item)
{
	const struct entry_route *route = runner_route(runner, item);
	const struct entry_team *team = entry_config_team_named(
		runner->config->current, item->owner->batch->team);

	if (team && team->has_priority)
		return team->priority;
	return route ? route->priority : 0;
}

/* Index of the team; `count` if it is not there. */
static uint32_t find_team(const struct turns *turns, const char *name)
{
	uint32_t i = 0;

	while (i < turns->count && strcmp(turns->names[i], name))
		i++;
	return i;
}

static uint32_t get_team(struct turns *turns, const struct run_item *item)
{
	const char *name = item->owner->batch->team;
	uint32_t index = find_team(turns, name);

	if (index < turns->count)
		return index;
	if (turns->count == TEAMS_MAX)
		return TEAMS_MAX - 1;
	turns->names[index] = name;
	turns->teams[index].priority = priority_of(turns->runner, item);
	turns->count++;
	return index;
}

static void count_running(struct turns *turns)
{
	for (const struct item_run *r = turns->runner->run_owner.runs; r;
	     r = r->next) {
		uint32_t index = find_team(turns, r->item->owner->batch->team);

		if (index < turns->count)
			turns->teams[index].running++;
	}
}

static void reorder(struct turns *turns, struct waiting_item *waiting,
		    const uint32_t *team_of, uint32_t count)
{
	struct waiting_item *before = xcalloc(count, sizeof(*before));
	uint32_t *order = xcalloc(count, sizeof(*order));

	memcpy(before, waiting, count * sizeof(*before));
	team_turns_order(turns->teams, turns->count, team_of, count, order);
	for (uint32_t i = 0; i < count; i++)
		waiting[i] = before[order[i]];
	free(order);
	free(before);
}

void runner_take_turns(const struct batch_runner *runner,
		       struct waiting_item *waiting, uint32_t count)
{
	struct turns turns = { .runner = runner };
	uint32_t *team_of = xcalloc(count + 1, sizeof(*team_of));

	for (uint32_t i = 0; i < count; i++)
		team_of[i] = get_team(&turns, waiting[i].item);
	if (turns.count > 1) {
		count_running(&turns);
		reorder(&turns, waiting, team_of, count);
	}
	free(team_of);
}
