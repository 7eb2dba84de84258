#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/batch_runner_private.h"
#include "policy/item_order.h"

struct run_batch *runner_find_batch(struct owned_partition *owned,
				    const struct batch *batch)
{
	struct run_batch *found = owned->batches;

	while (found && found->batch != batch)
		found = found->next;
	return found;
}

/* Index of the group of that name, which is added if it is new. */
static uint32_t find_group(struct run_batch *batch, const char *name)
{
	for (uint32_t i = 0; i < batch->group_count; i++)
		if (!strcmp(batch->groups[i].name, name))
			return i;
	batch->groups[batch->group_count].name = name;
	return batch->group_count++;
}

static void make_groups(struct run_batch *batch)
{
	struct batch *of = batch->batch;

	batch->groups = xcalloc(of->item_count, sizeof(*batch->groups));
	for (uint32_t i = 0; i < of->item_count; i++) {
		struct run_item *item = &batch->items[i];
		struct run_group *group;

		item->group = find_group(batch, of->items[i].spec->group);
		group = &batch->groups[item->group];
		group->size++;
		if (of->items[i].state == BATCH_ITEM_OPEN)
			group->left++;
	}
}

/* What an earlier batch has left of the item, if it may stand in this one. */
static void take_carried(struct batch_runner *runner, struct run_item *item)
{
	const struct batch *batch = item->owner->batch;
	const char *id = batch->items[item->number].id;
	struct item_text made;

	item_text_init(&made);
	if (carried_texts_take(&runner->carried, id, &made)) {
		item->owner->groups[item->group].is_required = 1;
		if (item_text_fits(&made, batch->min_version,
				   batch->single_version)) {
			item_text_copy(&item->made, &made);
			counter_add(runner->reused_texts, 1);
		}
	}
	item_text_finish(&made);
}

/* What an earlier owner of the partition has noted. */
static void take_progress(struct run_item *item)
{
	const struct batch *batch = item->owner->batch;
	const Currant__Topic__BatchRecord *record =
		batch->items[item->number].progress;
	const Currant__Topic__ItemProgress *progress;

	if (!record)
		return;
	progress = record->progress;
	item->failed_runs = progress->failed_runs;
	if (progress->last_event <= item->made.last_event ||
	    progress->n_versions > ITEM_VERSIONS_MAX)
		return;
	item_text_reset(&item->made);
	strbuf_add(&item->made.text, progress->text.data, progress->text.len);
	item->made.last_event = progress->last_event;
	item->made.version_count = (uint32_t)progress->n_versions;
	for (size_t i = 0; i < progress->n_versions; i++)
		item->made.versions[i] = progress->versions[i];
}

static void init_items(struct run_batch *batch)
{
	batch->items = xcalloc(batch->batch->item_count, sizeof(*batch->items));
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct run_item *item = &batch->items[i];

		item->owner = batch;
		item->number = i;
		item_text_init(&item->made);
		if (batch->batch->items[i].state != BATCH_ITEM_OPEN)
			item->state = RUN_ITEM_DONE;
		else
			batch->waiting++;
	}
}

static void start_items(struct batch_runner *runner, struct run_batch *batch)
{
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct run_item *item = &batch->items[i];

		if (item->state != RUN_ITEM_WAITING)
			continue;
		take_carried(runner, item);
		take_progress(item);
		if (item->made.complete)
			runner_store_result(runner, item, BATCH_ITEM_COMPLETE,
					    "carried");
	}
}

static uint64_t expected_tokens(const struct batch *batch)
{
	double tokens = 0;

	for (uint32_t i = 0; i < batch->item_count; i++) {
		const Currant__Topic__BatchItem *spec = batch->items[i].spec;

		tokens += item_expected_tokens(spec->length_hint,
					       spec->max_output_tokens, 0);
	}
	return (uint64_t)tokens;
}

static void tell_need(struct batch_runner *runner, struct run_batch *batch)
{
	const struct entry_route *route =
		runner_route(runner, &batch->items[0]);

	if (runner->needs && route && route->target_count)
		runner->needs->accepted(runner->needs, batch->batch,
					route->targets[0].service,
					expected_tokens(batch->batch));
}

void runner_add_batch(struct owned_partition *owned, struct batch *batch)
{
	struct run_batch *added;

	if (batch_is_done(batch) || runner_find_batch(owned, batch))
		return;
	added = xcalloc(1, sizeof(*added));
	added->batch = batch;
	init_items(added);
	make_groups(added);
	added->next = owned->batches;
	owned->batches = added;
	tell_need(owned->runner, added);
	start_items(owned->runner, added);
	batch_runner_wake(owned->runner);
}

void runner_remove_batch(struct owned_partition *owned, struct run_batch *batch)
{
	struct run_batch **at = &owned->batches;

	while (*at != batch)
		at = &(*at)->next;
	*at = batch->next;
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		if (batch->items[i].run)
			item_run_cancel(batch->items[i].run);
		item_text_finish(&batch->items[i].made);
	}
	free(batch->items);
	free(batch->groups);
	free(batch);
}
