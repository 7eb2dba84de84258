#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/waiting_item.h"
#include "policy/team_turns.h"

/*
 * Teams of a model that are tracked separately; further ones share the last
 * entry.
 */
#define TEAMS_MAX 128

/* The waiting items of one model, and the teams that own them. */
struct model_items {
	const struct batch_runner *runner;
	const char *model;
	uint32_t *places; /* of the items, in the array of all waiting items */
	uint32_t *team_of;
	uint32_t item_count;
	const char *names[TEAMS_MAX];
	struct turn_team teams[TEAMS_MAX];
	uint32_t team_count;
};

static uint32_t priority_of(const struct batch_runner *runner,
			    const struct active_item *item)
{
	const struct entry_route *route = runner_route(runner, item);
	const struct entry_team *team = entry_config_team_named(
		runner->config->current, item->owner->batch->team);

	if (team && team->has_priority)
		return team->priority;
	return route ? route->priority : 0;
}

/* Returns the index of the team, or `team_count` if it is not listed. */
static uint32_t find_team(const struct model_items *items, const char *name)
{
	uint32_t i = 0;

	while (i < items->team_count && strcmp(items->names[i], name))
		i++;
	return i;
}

static uint32_t find_or_add_team(struct model_items *items,
				 const struct active_item *item)
{
	const char *name = item->owner->batch->team;
	uint32_t index = find_team(items, name);

	if (index < items->team_count)
		return index;
	if (items->team_count == TEAMS_MAX)
		return TEAMS_MAX - 1;
	items->names[index] = name;
	items->teams[index].priority = priority_of(items->runner, item);
	items->teams[index].running = 0;
	items->team_count++;
	return index;
}

/*
 * Collects the waiting items, from `from` on, that have the same model as the
 * item there.
 */
static void collect(struct model_items *items,
		    const struct waiting_item *waiting, uint32_t from,
		    uint32_t count)
{
	items->model = runner_model(waiting[from].item);
	items->item_count = 0;
	items->team_count = 0;
	for (uint32_t i = from; i < count; i++) {
		if (strcmp(runner_model(waiting[i].item), items->model))
			continue;
		items->team_of[items->item_count] =
			find_or_add_team(items, waiting[i].item);
		items->places[items->item_count++] = i;
	}
}

static void count_running(struct model_items *items)
{
	for (const struct item_attempt *r =
		     items->runner->attempt_owner.attempts;
	     r; r = r->next) {
		uint32_t index = find_team(items, r->item->owner->batch->team);

		if (index < items->team_count &&
		    !strcmp(r->model, items->model))
			items->teams[index].running++;
	}
}

/* Reorders the items of the model among the positions that they occupy. */
static void reorder(struct model_items *items, struct waiting_item *waiting)
{
	uint32_t count = items->item_count;
	struct waiting_item *before = xcalloc(count, sizeof(*before));
	uint32_t *order = xcalloc(count, sizeof(*order));

	for (uint32_t i = 0; i < count; i++)
		before[i] = waiting[items->places[i]];
	team_turns_order(items->teams, items->team_count, items->team_of, count,
			 order);
	for (uint32_t i = 0; i < count; i++)
		waiting[items->places[i]] = before[order[i]];
	free(order);
	free(before);
}

/* Whether an item before `index` has the same model. */
static int model_was_handled(const struct waiting_item *waiting, uint32_t index)
{
	const char *model = runner_model(waiting[index].item);

	for (uint32_t i = 0; i < index; i++)
		if (!strcmp(runner_model(waiting[i].item), model))
			return 1;
	return 0;
}

void runner_interleave_teams(const struct batch_runner *runner,
			     struct waiting_item *waiting, uint32_t count)
{
	struct model_items items = { .runner = runner };

	items.places = xcalloc(count + 1, sizeof(*items.places));
	items.team_of = xcalloc(count + 1, sizeof(*items.team_of));
	for (uint32_t i = 0; i < count; i++) {
		if (model_was_handled(waiting, i))
			continue;
		collect(&items, waiting, i, count);
		if (items.team_count < 2)
			continue;
		count_running(&items);
		reorder(&items, waiting);
	}
	free(items.team_of);
	free(items.places);
}
