#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/batch_runner_private.h"

/* Delay before the items of a batch are read again after a failure. */
#define LOAD_RETRY_NS (200 * NS_PER_MS)

struct active_batch *runner_find_batch(struct owned_partition *owned,
				       const struct batch *batch)
{
	struct active_batch *found = owned->batches;

	while (found && found->batch != batch)
		found = found->next;
	return found;
}

/* Returns the index of the group of this name, which is added if missing. */
static uint32_t find_group(struct active_batch *batch, const char *name)
{
	for (uint32_t i = 0; i < batch->group_count; i++)
		if (!strcmp(batch->groups[i].name, name))
			return i;
	batch->groups[batch->group_count].name = name;
	return batch->group_count++;
}

static void make_groups(struct active_batch *batch)
{
	const struct batch *of = batch->batch;

	batch->groups = xcalloc(of->item_count, sizeof(*batch->groups));
	for (uint32_t i = 0; i < of->item_count; i++) {
		struct active_item *item = &batch->items[i];
		struct active_group *group;

		item->group = find_group(batch, item->spec->group);
		group = &batch->groups[item->group];
		group->size++;
		if (of->items[i].state == BATCH_ITEM_OPEN)
			group->left++;
	}
}

/*
 * Reuses the item's text from an earlier batch if it is longer than the present
 * one and this batch allows its weight versions.
 */
static void reuse_cached_text(struct batch_runner *runner,
			      struct active_item *item)
{
	const struct batch *batch = item->owner->batch;
	struct item_text_key key = runner_text_key(item);
	struct item_text output;

	item_text_init(&output);
	if (item_text_cache_take(&runner->text_cache, &key, &output)) {
		item->owner->groups[item->group].is_required = 1;
		if (output.last_event > item->output.last_event &&
		    item_text_versions_allowed(&output, batch->min_version,
					       batch->single_version)) {
			item_text_copy(&item->output, &output);
			counter_add(runner->reused_texts, 1);
		}
	}
	item_text_finish(&output);
}

/* Failed attempts count regardless of which host ran them. */
static void restore_failure_counts(struct active_item *item)
{
	const Currant__Topic__ItemProgress *progress =
		batch_find_progress(item->owner->batch, item->number);

	if (!progress)
		return;
	item->failed_runs = progress->failed_runs;
	item->failed_rewards = progress->failed_rewards;
}

static void init_items(struct active_batch *batch)
{
	batch->items = xcalloc(batch->batch->item_count, sizeof(*batch->items));
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct active_item *item = &batch->items[i];

		item->owner = batch;
		item->number = i;
		item_text_init(&item->output);
		restore_failure_counts(item);
		if (batch->batch->items[i].state != BATCH_ITEM_OPEN)
			item->state = ACTIVE_ITEM_DONE;
		else
			batch->waiting++;
	}
}

static void start_items(struct batch_runner *runner, struct active_batch *batch)
{
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct active_item *item = &batch->items[i];

		if (item->state != ACTIVE_ITEM_WAITING)
			continue;
		reuse_cached_text(runner, item);
		if (item->output.complete)
			runner_complete_text(runner, item, "carried");
	}
}

static void report_load(struct batch_runner *runner,
			const struct active_batch *batch, int ok)
{
	struct record record;

	record_begin(&record, runner->log, "items",
		     ok ? "batch_taken" : "batch_not_read");
	record_text(&record, "batch", batch->batch->id);
	record_text(&record, "team", batch->batch->team);
	record_text(&record, "model", batch->batch->model);
	record_int(&record, "step", (int64_t)batch->batch->step);
	record_int(&record, "items", batch->batch->item_count);
	record_int(&record, "listed", batch->batch->result_count);
	record_int(&record, "min_version", (int64_t)batch->batch->min_version);
	record_ms(&record, "age_ms",
		  runner_now_ns(runner) - batch->batch->applied_ns);
	record_end(&record);
}

static void on_loaded(struct items_load *load, int ok)
{
	struct active_batch *batch = load->arg;
	struct batch_runner *runner = batch->owned->runner;

	report_load(runner, batch, ok);
	if (!ok) {
		items_load_finish(load);
		batch->load_at_ns = runner_now_ns(runner) + LOAD_RETRY_NS;
		return;
	}
	for (uint32_t i = 0; i < batch->batch->item_count; i++)
		batch->items[i].spec = load->items[i];
	if (!runner_load_progress(batch))
		runner_start_batch(batch);
}

void runner_start_batch(struct active_batch *batch)
{
	struct batch_runner *runner = batch->owned->runner;
	struct batch_demand_listener *listener = runner->demand_listener;

	batch->is_loaded = 1;
	make_groups(batch);
	if (listener)
		batch->named_version = listener->vt->named_version(
			listener, batch->batch->model);
	runner_watch_config(runner, batch);
	runner_publish_demand(runner, batch->owned, batch->batch->model);
	start_items(runner, batch);
	batch_runner_wake(runner);
}

void runner_load_batch(struct active_batch *batch)
{
	struct owned_partition *owned = batch->owned;

	batch->load_at_ns = 0;
	items_load_start(&batch->load, owned->runner->store, owned->partition,
			 batch->batch, on_loaded, batch);
}

void runner_add_batch(struct owned_partition *owned, struct batch *batch)
{
	struct active_batch *added;

	if (batch_is_done(batch) || runner_find_batch(owned, batch))
		return;
	added = xcalloc(1, sizeof(*added));
	added->batch = batch;
	added->owned = owned;
	strbuf_init(&added->progress.records);
	init_items(added);
	added->next = owned->batches;
	owned->batches = added;
	runner_load_batch(added);
}

void runner_remove_batch(struct owned_partition *owned,
			 struct active_batch *batch)
{
	struct active_batch **at = &owned->batches;

	while (*at != batch)
		at = &(*at)->next;
	*at = batch->next;
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		if (batch->items[i].attempt)
			item_attempt_cancel(batch->items[i].attempt);
		if (batch->items[i].reward)
			reward_call_cancel(batch->items[i].reward);
		free(batch->items[i].score);
		item_text_finish(&batch->items[i].output);
	}
	if (batch->reading_progress)
		owned->runner->store->vt->cancel(owned->runner->store,
						 batch->progress.call);
	strbuf_finish(&batch->progress.records);
	items_load_finish(&batch->load);
	free(batch->items);
	free(batch->groups);
	free(batch);
}
