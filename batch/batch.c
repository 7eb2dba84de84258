#include "batch/batch.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static void copy_settings(struct batch *batch,
			  const Currant__Topic__BatchAccepted *accepted)
{
	batch->id = accepted->batch;
	batch->team = accepted->team;
	batch->host = accepted->host;
	batch->path = accepted->path;
	batch->model = accepted->model;
	batch->step = accepted->step;
	batch->min_version = accepted->min_version;
	batch->target_groups = accepted->target_groups;
	batch->accepted_ms = accepted->accepted_ms;
	batch->due_ms = accepted->due_ms;
	batch->retention_ms = accepted->retention_ms;
	batch->max_attempts = accepted->max_attempts;
	batch->single_version = accepted->single_version;
	batch->config_version = accepted->config_version;
	batch->items_position.offset = accepted->items_offset;
	batch->items_position.records = accepted->items_records;
	batch->items_position.runs = accepted->items_runs;
	batch->items_position.run_values = (uint32_t)accepted->n_items_runs;
}

struct batch *batch_new(Currant__Topic__BatchRecord *message, int64_t now_ns)
{
	const Currant__Topic__BatchAccepted *accepted = message->accepted;
	struct batch *batch = xcalloc(1, sizeof(*batch));

	batch->message = message;
	batch->applied_ns = now_ns;
	copy_settings(batch, accepted);
	batch->item_count = (uint32_t)accepted->n_items;
	batch->items = xcalloc(batch->item_count + 1, sizeof(*batch->items));
	batch->result_items =
		xcalloc(batch->item_count + 1, sizeof(*batch->result_items));
	for (uint32_t i = 0; i < batch->item_count; i++)
		batch->items[i].id = accepted->items[i];
	return batch;
}

void batch_free_progress(struct batch *batch)
{
	struct batch_progress *progress = batch->progress;

	while (progress) {
		struct batch_progress *next = progress->next;

		currant__topic__batch_record__free_unpacked(progress->record,
							    NULL);
		free(progress);
		progress = next;
	}
	batch->progress = NULL;
}

void batch_free(struct batch *batch)
{
	batch_free_progress(batch);
	for (uint32_t i = 0; i < batch->version_set_count; i++)
		free(batch->version_sets[i].versions);
	free(batch->version_sets);
	free(batch->items);
	free(batch->result_items);
	currant__topic__batch_record__free_unpacked(batch->message, NULL);
	free(batch);
}

int batch_is_done(const struct batch *batch)
{
	return batch->ended || batch->result_count == batch->item_count;
}

const struct batch_item *batch_find_item(const struct batch *batch,
					 const char *id)
{
	for (uint32_t i = 0; i < batch->item_count; i++)
		if (!strcmp(batch->items[i].id, id))
			return &batch->items[i];
	return NULL;
}

static int has_same_versions(const struct version_set *set,
			     const Currant__Topic__ItemResult *result)
{
	return set->count == result->n_versions &&
	       (!set->count || !memcmp(set->versions, result->versions,
				       set->count * sizeof(uint64_t)));
}

/*
 * Returns the index of the result's set of versions, which is added if it is
 * new; -1 if there is no room for another set.
 */
static int find_version_set(struct batch *batch,
			    const Currant__Topic__ItemResult *result)
{
	struct version_set *set;

	for (uint32_t i = 0; i < batch->version_set_count; i++)
		if (has_same_versions(&batch->version_sets[i], result))
			return (int)i;
	if (batch->version_set_count == BATCH_VERSION_SETS_MAX)
		return -1;
	batch->version_sets =
		xrealloc(batch->version_sets,
			 (batch->version_set_count + 1) * sizeof(*set));
	set = &batch->version_sets[batch->version_set_count];
	set->count = (uint32_t)result->n_versions;
	set->versions = xcalloc(set->count + 1, sizeof(uint64_t));
	for (uint32_t i = 0; i < set->count; i++)
		set->versions[i] = result->versions[i];
	return (int)batch->version_set_count++;
}

int batch_add_result(struct batch *batch,
		     const Currant__Topic__ItemResult *result)
{
	struct batch_item *item;
	int set;

	if (batch->ended || result->item >= batch->item_count)
		return 0;
	item = &batch->items[result->item];
	if (item->state != BATCH_ITEM_OPEN)
		return 0;
	set = find_version_set(batch, result);
	if (set < 0)
		return 0;
	item->state = result->state == CURRANT__TOPIC__ITEM_STATE__COMPLETE
			      ? BATCH_ITEM_COMPLETE
			      : BATCH_ITEM_GIVEN_UP;
	item->version_set = (uint8_t)set;
	item->position = batch->result_count;
	item->text_offset = result->text_offset;
	item->text_bytes = result->text_bytes;
	item->answer_bytes = result->answer_bytes;
	batch->result_items[batch->result_count++] = result->item;
	return 1;
}

const struct version_set *batch_item_versions(const struct batch *batch,
					      const struct batch_item *item)
{
	return &batch->version_sets[item->version_set];
}

void batch_store_progress(struct batch *batch,
			  Currant__Topic__BatchRecord *record)
{
	uint32_t item = record->progress->item;
	struct batch_progress *progress = batch->progress;

	while (progress && progress->item != item)
		progress = progress->next;
	if (progress) {
		currant__topic__batch_record__free_unpacked(progress->record,
							    NULL);
	} else {
		progress = xcalloc(1, sizeof(*progress));
		progress->item = item;
		progress->next = batch->progress;
		batch->progress = progress;
	}
	progress->record = record;
}

const Currant__Topic__ItemProgress *
batch_find_progress(const struct batch *batch, uint32_t item)
{
	const struct batch_progress *progress = batch->progress;

	while (progress && progress->item != item)
		progress = progress->next;
	return progress ? progress->record->progress : NULL;
}
