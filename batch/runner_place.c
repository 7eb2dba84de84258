#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "batch/batch_runner_private.h"
#include "policy/item_order.h"
#include "policy/item_place.h"

/* Engines that one choice looks at. */
#define ENGINES_MAX 128
/* Part of an engine's memory that runs are planned into. */
#define MEMORY_PART 0.95

/* An item that waits, with its place in the order. */
struct waiting {
	struct run_item *item;
	struct item_rank rank;
};

/* The engines of a service as a choice sees them. */
struct engine_list {
	struct engine_state *engines[ENGINES_MAX];
	uint32_t count;
};

static double tokens_done(const struct run_item *item,
			  const struct entry_service *service)
{
	uint32_t per_event = service ? service->tokens_per_event : 1;

	if (item->made.last_event < 0)
		return 0;
	return (double)item->made.last_event * per_event;
}

static const struct entry_service *service_of(const struct batch_runner *runner,
					      const char *name)
{
	return name ? entry_config_service(runner->config->current, name)
		    : NULL;
}

/* The same service for every run of an item while the weights hold. */
static const char *item_service(const struct run_item *item,
				const struct entry_route *route)
{
	uint64_t hash = hash_text(runner_item_id(item), 0);

	return entry_route_service(route, (double)(hash >> 11) /
						  (double)(UINT64_C(1) << 53));
}

static double tokens_left(const struct batch_runner *runner,
			  const struct run_item *item,
			  const struct entry_service *service)
{
	const Currant__Topic__BatchItem *spec = item->spec;
	double done = tokens_done(item, service);

	(void)runner;
	return item_expected_tokens(spec->length_hint, spec->max_output_tokens,
				    done) -
	       done;
}

static void rank_item(struct batch_runner *runner, struct run_item *item,
		      struct item_rank *rank)
{
	const struct run_group *group = &item->owner->groups[item->group];
	const struct entry_route *route = runner_route(runner, item);
	const struct entry_service *service =
		route ? service_of(runner, item_service(item, route)) : NULL;

	rank->step = item->owner->batch->step;
	rank->is_required = group->is_required;
	rank->tokens_left = tokens_left(runner, item, service);
	rank->group_left = group->left;
	rank->group_size = group->size;
	rank->number = item->number;
	rank->due_ns = 0;
}

static uint32_t count_waiting(const struct batch_runner *runner)
{
	uint32_t count = 0;

	for (const struct owned_partition *o = runner->owned; o; o = o->next)
		for (const struct run_batch *b = o->batches; b; b = b->next)
			count += b->waiting;
	return count;
}

static uint32_t collect_batch(struct batch_runner *runner,
			      struct run_batch *batch, struct waiting *out)
{
	int64_t now_ns = runner_now_ns(runner);
	uint32_t count = 0;

	if (!batch->is_loaded)
		return 0;
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct run_item *item = &batch->items[i];

		if (item->state != RUN_ITEM_WAITING ||
		    now_ns < item->not_before_ns)
			continue;
		out[count].item = item;
		rank_item(runner, item, &out[count].rank);
		count++;
	}
	return count;
}

static int compare_waiting(const void *a, const void *b)
{
	return item_order_compare(&((const struct waiting *)a)->rank,
				  &((const struct waiting *)b)->rank);
}

static void list_engines(struct batch_runner *runner, const char *service,
			 struct engine_list *list)
{
	list->count = 0;
	for (struct fleet_server *s = runner->fleet->first;
	     s && list->count < ENGINES_MAX; s = s->next)
		if (!strcmp(s->entry.service, service))
			list->engines[list->count++] =
				engine_state_get(s, &runner->engines);
}

/* Whether the engine's weights may make the item's next events. */
static int version_fits(const struct run_item *item,
			const struct engine_state *engine, const char *model)
{
	const struct batch *batch = item->owner->batch;
	uint64_t version = engine_state_version(engine, model);

	if (!*model)
		return 1;
	if (!version || version < batch->min_version)
		return 0;
	return !batch->single_version || !item->made.version_count ||
	       item->made.versions[0] == version;
}

static uint64_t prefix_of(const struct run_item *item)
{
	const Currant__Topic__BatchItem *spec = item->spec;

	return spec->n_part_ids > 1 ? spec->part_ids[spec->n_part_ids - 2] : 0;
}

static double memory_of(const struct run_item *item, double left, double done)
{
	return item->spec->prompt_tokens + done + left;
}

static void view_engine(struct batch_runner *runner,
			const struct run_item *item, const char *model,
			const struct entry_service *service,
			const struct engine_state *engine,
			struct place_engine *view)
{
	const struct fleet_server *server = engine->server;
	int64_t now_ns = runner_now_ns(runner);
	uint64_t prefix = prefix_of(item);

	view->slots = server->entry.slots;
	view->running = engine->running;
	view->waiting = 0;
	view->usable = fleet_server_usable(server, now_ns) &&
		       now_ns >= engine->suspect_until_ns &&
		       engine->running < server->entry.slots &&
		       version_fits(item, engine, model) &&
		       !engine_state_is_blocked(engine, model, now_ns);
	view->memory_tokens = service && service->memory_tokens
				      ? service->memory_tokens * MEMORY_PART -
						engine->memory_tokens
				      : 1e18;
	/* An engine that runs nothing takes what fits into it at all. */
	if (!engine->running)
		view->memory_tokens = 1e18;
	view->speed = 1;
	view->same_data_centre =
		!strcmp(server->entry.data_centre, runner->data_centre);
	view->holds_prefix = prefix && engine->prefix == prefix;
	view->cheap = server->entry.cheap;
}

static struct engine_state *choose_engine(struct batch_runner *runner,
					  const struct run_item *item,
					  const struct entry_service *service,
					  const struct engine_list *list,
					  double memory_tokens, double left)
{
	struct place_engine views[ENGINES_MAX];
	struct place_item place = { .tokens_left = left,
				    .memory_tokens = memory_tokens };
	int32_t chosen;

	for (uint32_t i = 0; i < list->count; i++)
		view_engine(runner, item, runner_model(item), service,
			    list->engines[i], &views[i]);
	chosen = item_place(views, list->count, &place);
	return chosen < 0 ? NULL : list->engines[chosen];
}

static void report_start(struct batch_runner *runner,
			 const struct item_run *run, double left)
{
	const struct run_item *item = run->item;
	const struct engine_state *engine = run->engine;
	struct record record;

	record_begin(&record, runner->log, "items", "run_started");
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", runner_item_id(item));
	record_text(&record, "server", engine->server->entry.id);
	record_int(&record, "run", item->runs);
	record_int(&record, "after_event", item->made.last_event);
	record_int(&record, "min_version",
		   (int64_t)item->owner->batch->min_version);
	record_int(&record, "version",
		   (int64_t)engine_state_version(engine, run->model));
	record_int(&record, "own_running", engine->running);
	record_int(&record, "tokens_left", (int64_t)left);
	record_int(&record, "required",
		   item->owner->groups[item->group].is_required);
	record_end(&record);
}

/* Returns 0 if no engine has room for the item. */
static int start_item(struct batch_runner *runner, struct run_item *item)
{
	const struct entry_route *route = runner_route(runner, item);
	const char *name = route ? item_service(item, route) : NULL;
	const struct entry_service *service = service_of(runner, name);
	double left = tokens_left(runner, item, service);
	double done = tokens_done(item, service);
	struct item_run_start start = {
		.pool = runner->pool,
		.reactor = runner->reactor,
		.model = runner_model(item),
		.team = item->owner->batch->team,
		.priority = -1,
		.memory_tokens = memory_of(item, left, done),
	};
	struct engine_state *engine;
	struct engine_list list;
	struct item_run *run;

	if (!name)
		return 0;
	list_engines(runner, name, &list);
	engine = choose_engine(runner, item, service, &list,
			       start.memory_tokens, left);
	if (!engine)
		return 0;
	item->state = RUN_ITEM_RUNNING;
	item->owner->waiting--;
	engine->prefix = prefix_of(item);
	run = item_run_start(&runner->run_owner, item, engine, &start);
	counter_add(runner->runs_started, 1);
	report_start(runner, run, left);
	return 1;
}

void runner_place_items(struct batch_runner *runner)
{
	uint32_t room = count_waiting(runner);
	struct waiting *waiting;
	uint32_t count = 0;

	if (!room || !runner->config->current)
		return;
	waiting = xcalloc(room, sizeof(*waiting));
	for (struct owned_partition *o = runner->owned; o; o = o->next)
		for (struct run_batch *b = o->batches; b; b = b->next)
			count += collect_batch(runner, b, waiting + count);
	qsort(waiting, count, sizeof(*waiting), compare_waiting);
	for (uint32_t i = 0; i < count; i++)
		start_item(runner, waiting[i].item);
	free(waiting);
}
