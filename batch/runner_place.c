#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/batch_runner_private.h"
#include "batch/waiting_item.h"

static uint32_t count_waiting(const struct batch_runner *runner)
{
	uint32_t count = 0;

	for (const struct owned_partition *o = runner->owned; o; o = o->next)
		for (const struct active_batch *b = o->batches; b; b = b->next)
			count += b->waiting;
	return count;
}

/* Returns 0 for an item whose route no longer exists. */
static int fill_waiting_item(struct batch_runner *runner,
			     struct active_item *item, struct waiting_item *out)
{
	const struct active_group *group = &item->owner->groups[item->group];

	out->item = item;
	out->service = runner_item_service(runner, item);
	if (!out->service)
		return 0;
	runner_item_need(
		item,
		entry_config_service(runner->config->current, out->service),
		&out->need);
	out->rank.step = item->owner->batch->step;
	out->rank.is_required = group->is_required;
	out->rank.tokens_left = out->need.tokens_left;
	out->rank.group_left = group->left;
	out->rank.group_size = group->size;
	out->rank.number = item->number;
	return 1;
}

static uint32_t collect_batch(struct batch_runner *runner,
			      struct active_batch *batch,
			      struct waiting_item *out)
{
	int64_t now_ns = runner_now_ns(runner);
	uint32_t count = 0;

	if (!batch->is_loaded || runner_awaits_config(runner, batch->batch))
		return 0;
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct active_item *item = &batch->items[i];

		if (item->state == ACTIVE_ITEM_WAITING &&
		    now_ns >= item->not_before_ns)
			count += (uint32_t)fill_waiting_item(runner, item,
							     &out[count]);
	}
	return count;
}

static int compare_waiting(const void *a, const void *b)
{
	return item_order_compare(&((const struct waiting_item *)a)->rank,
				  &((const struct waiting_item *)b)->rank);
}

static void report_start(struct batch_runner *runner,
			 const struct item_attempt *attempt,
			 const struct item_need *need, const char *reason)
{
	const struct active_item *item = attempt->item;
	const struct engine_state *engine = attempt->engine;
	struct record record;

	record_begin(&record, runner->log, "items", "run_started");
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", active_item_id(item));
	record_text(&record, "server", engine->server->entry.id);
	record_int(&record, "run", item->attempt_count);
	record_int(&record, "after_event", item->output.last_event);
	record_int(&record, "min_version",
		   (int64_t)item->owner->batch->min_version);
	record_int(&record, "version",
		   (int64_t)engine_state_version(engine, attempt->model));
	record_int(&record, "own_running", engine->running);
	record_int(&record, "tokens_left", (int64_t)need->tokens_left);
	record_int(&record, "required",
		   item->owner->groups[item->group].is_required);
	record_text(&record, "reason", reason);
	record_end(&record);
}

/* The item must be in the waiting state. */
static void start_attempt(struct batch_runner *runner, struct active_item *item,
			  struct engine_state *engine,
			  const struct item_need *need, const char *reason)
{
	struct item_attempt_start start = {
		.pool = runner->pool,
		.reactor = runner->reactor,
		.model = runner_model(item),
		.team = item->owner->batch->team,
		.priority = -1,
		.memory_tokens = need->memory_tokens,
		.max_text_bytes = batch_record_max_text_bytes(
			runner->store, item->owner->batch->id),
	};
	struct item_attempt *attempt;

	active_item_set_state(item, ACTIVE_ITEM_RUNNING);
	engine->prefix = runner_item_prefix(item);
	attempt = item_attempt_start(&runner->attempt_owner, item, engine,
				     &start);
	counter_add(runner->attempts_started, 1);
	report_start(runner, attempt, need, reason);
}

void runner_move(struct batch_runner *runner, struct item_attempt *attempt,
		 struct engine_state *engine)
{
	struct active_item *item = attempt->item;
	struct item_need need;

	runner_item_need(item, NULL, &need);
	need.memory_tokens = attempt->memory_tokens;
	runner_requeue(runner, attempt, "faster_elsewhere");
	start_attempt(runner, item, engine, &need, "moved");
}

static void report_restart(struct batch_runner *runner,
			   const struct active_item *item)
{
	struct record record;

	record_begin(&record, runner->log, "items", "text_dropped");
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", active_item_id(item));
	record_int(&record, "events", item->output.last_event);
	record_int(&record, "version", (int64_t)item->output.versions[0]);
	record_text(&record, "reason", "version_gone");
	record_end(&record);
}

static void start_item(struct batch_runner *runner, struct waiting_item *w,
		       const struct engine_list *list)
{
	struct place_engine view;
	struct engine_state *engine;

	if (runner_text_version_is_unavailable(runner, w->item, w->service)) {
		report_restart(runner, w->item);
		item_text_reset(&w->item->output);
		runner_item_need(w->item, list->service, &w->need);
	}
	engine = runner_choose_engine(runner, w->item, list, &w->need, NULL,
				      &view);
	if (engine)
		start_attempt(runner, w->item, engine, &w->need, NULL);
}

/* Engine lists of one scheduling round, one for each service and model. */
struct cached_engine_list {
	const char *service;
	const char *model;
	struct engine_list engines;
	struct cached_engine_list *next;
};

static const struct engine_list *get_list(struct batch_runner *runner,
					  struct cached_engine_list **lists,
					  const struct waiting_item *w)
{
	const char *model = runner_model(w->item);
	struct cached_engine_list *list = *lists;

	while (list && (strcmp(list->service, w->service) ||
			strcmp(list->model, model)))
		list = list->next;
	if (list)
		return &list->engines;
	list = xcalloc(1, sizeof(*list));
	list->service = w->service;
	list->model = model;
	list->next = *lists;
	*lists = list;
	runner_list_engines(runner, w->service, model, &list->engines);
	return &list->engines;
}

static void start_items(struct batch_runner *runner,
			struct waiting_item *waiting, uint32_t count)
{
	struct cached_engine_list *lists = NULL;

	for (uint32_t i = 0; i < count && net_pool_find_room(runner->pool); i++)
		start_item(runner, &waiting[i],
			   get_list(runner, &lists, &waiting[i]));
	while (lists) {
		struct cached_engine_list *next = lists->next;

		free(lists);
		lists = next;
	}
}

void runner_place_items(struct batch_runner *runner)
{
	uint32_t max_count = count_waiting(runner);
	struct waiting_item *waiting;
	uint32_t count = 0;

	if (!max_count || !runner->config->current)
		return;
	waiting = xcalloc(max_count, sizeof(*waiting));
	for (struct owned_partition *o = runner->owned; o; o = o->next)
		for (struct active_batch *b = o->batches; b; b = b->next)
			count += collect_batch(runner, b, waiting + count);
	qsort(waiting, count, sizeof(*waiting), compare_waiting);
	runner_interleave_teams(runner, waiting, count);
	start_items(runner, waiting, count);
	free(waiting);
}
