#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/waiting_item.h"
#include "policy/team_turns.h"

/* Teams of a model that take turns apart; further ones share one of them. */
#define TEAMS_MAX 128

/* The waiting items of one model, and the teams whose items they are. */
struct turns {
	const struct batch_runner *runner;
	const char *model;
	uint32_t *places; /* of the items, among all that wait */
	uint32_t *team_of;
	uint32_t item_count;
	const char *names[TEAMS_MAX];
	struct turn_team teams[TEAMS_MAX];
	uint32_t team_count;
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

/* Index of the team; `team_count` if it is not there. */
static uint32_t find_team(const struct turns *turns, const char *name)
{
	uint32_t i = 0;

	while (i < turns->team_count && strcmp(turns->names[i], name))
		i++;
	return i;
}

static uint32_t get_team(struct turns *turns, const struct run_item *item)
{
	const char *name = item->owner->batch->team;
	uint32_t index = find_team(turns, name);

	if (index < turns->team_count)
		return index;
	if (turns->team_count == TEAMS_MAX)
		return TEAMS_MAX - 1;
	turns->names[index] = name;
	turns->teams[index].priority = priority_of(turns->runner, item);
	turns->teams[index].running = 0;
	turns->team_count++;
	return index;
}

/* Takes the model of the item at `from`, and all items of it from there on. */
static void collect(struct turns *turns, const struct waiting_item *waiting,
		    uint32_t from, uint32_t count)
{
	turns->model = runner_model(waiting[from].item);
	turns->item_count = 0;
	turns->team_count = 0;
	for (uint32_t i = from; i < count; i++) {
		if (strcmp(runner_model(waiting[i].item), turns->model))
			continue;
		turns->team_of[turns->item_count] =
			get_team(turns, waiting[i].item);
		turns->places[turns->item_count++] = i;
	}
}

static void count_running(struct turns *turns)
{
	for (const struct item_run *r = turns->runner->run_owner.runs; r;
	     r = r->next) {
		uint32_t index = find_team(turns, r->item->owner->batch->team);

		if (index < turns->team_count &&
		    !strcmp(r->model, turns->model))
			turns->teams[index].running++;
	}
}

/* The items of the model change places among themselves alone. */
static void reorder(struct turns *turns, struct waiting_item *waiting)
{
	uint32_t count = turns->item_count;
	struct waiting_item *before = xcalloc(count, sizeof(*before));
	uint32_t *order = xcalloc(count, sizeof(*order));

	for (uint32_t i = 0; i < count; i++)
		before[i] = waiting[turns->places[i]];
	team_turns_order(turns->teams, turns->team_count, turns->team_of, count,
			 order);
	for (uint32_t i = 0; i < count; i++)
		waiting[turns->places[i]] = before[order[i]];
	free(order);
	free(before);
}

/* Whether the model of the item at `index` has one before it. */
static int was_seen(const struct waiting_item *waiting, uint32_t index)
{
	const char *model = runner_model(waiting[index].item);

	for (uint32_t i = 0; i < index; i++)
		if (!strcmp(runner_model(waiting[i].item), model))
			return 1;
	return 0;
}

void runner_take_turns(const struct batch_runner *runner,
		       struct waiting_item *waiting, uint32_t count)
{
	struct turns turns = { .runner = runner };

	turns.places = xcalloc(count + 1, sizeof(*turns.places));
	turns.team_of = xcalloc(count + 1, sizeof(*turns.team_of));
	for (uint32_t i = 0; i < count; i++) {
		if (was_seen(waiting, i))
			continue;
		collect(&turns, waiting, i, count);
		if (turns.team_count < 2)
			continue;
		count_running(&turns);
		reorder(&turns, waiting);
	}
	free(turns.team_of);
	free(turns.places);
}
