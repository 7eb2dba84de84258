#include "batch/batch_runner_private.h"

static struct owned_partition *owned_of(struct batch_runner *runner,
					const struct run_item *item)
{
	struct owned_partition *owned = runner->owned;

	while (owned && !runner_find_batch(owned, item->owner->batch))
		owned = owned->next;
	return owned;
}

/* The table has told everybody by now, or a refresh will. */
static void on_result_stored(struct batch_write *write,
			     enum topic_write_outcome outcome)
{
	(void)outcome;
	batch_write_free(write);
}

static void report(struct batch_runner *runner, const struct run_item *item,
		   const char *event, const char *reason)
{
	struct record record;

	record_begin(&record, runner->log, "items", event);
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", runner_item(item)->id);
	record_int(&record, "events", item->made.last_event);
	record_int(&record, "versions", item->made.version_count);
	record_int(&record, "version",
		   item->made.version_count ? (int64_t)item->made.versions[0]
					    : -1);
	record_int(&record, "runs", item->runs);
	record_text(&record, "reason", reason);
	record_end(&record);
}

void runner_store_result(struct batch_runner *runner, struct run_item *item,
			 enum batch_item_state state, const char *reason)
{
	struct owned_partition *owned = owned_of(runner, item);
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__ItemResult result = CURRANT__TOPIC__ITEM_RESULT__INIT;
	struct batch_write *write;

	result.batch = item->owner->batch->id;
	result.item = item->number;
	result.state = state == BATCH_ITEM_COMPLETE
			       ? CURRANT__TOPIC__ITEM_STATE__COMPLETE
			       : CURRANT__TOPIC__ITEM_STATE__GIVEN_UP;
	result.text.data = (uint8_t *)item->made.text.buf;
	result.text.len = item->made.text.len;
	result.versions = item->made.versions;
	result.n_versions = item->made.version_count;
	result.reason = (char *)(reason ? reason : "");
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT;
	record.result = &result;
	write = batch_write_new(owned->partition, on_result_stored, NULL);
	write->base.persistent = 1;
	batch_write_add(write, &record);
	if (item->state == RUN_ITEM_WAITING)
		item->owner->waiting--;
	item->state = RUN_ITEM_STORING;
	counter_add(runner->results, 1);
	report(runner, item,
	       state == BATCH_ITEM_COMPLETE ? "complete" : "given_up", reason);
	batch_write_start(write);
}

static void add_progress(struct batch_write *write, const struct run_item *item)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__ItemProgress progress =
		CURRANT__TOPIC__ITEM_PROGRESS__INIT;

	progress.batch = item->owner->batch->id;
	progress.item = item->number;
	progress.last_event = item->made.last_event;
	progress.text.data = (uint8_t *)item->made.text.buf;
	progress.text.len = item->made.text.len;
	progress.versions = (uint64_t *)item->made.versions;
	progress.n_versions = item->made.version_count;
	progress.failed_runs = item->failed_runs;
	record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_PROGRESS;
	record.progress = &progress;
	batch_write_add(write, &record);
}

static void add_batch_progress(struct batch_write *write,
			       const struct run_batch *batch)
{
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		const struct run_item *item = &batch->items[i];

		if (item->state != RUN_ITEM_DONE &&
		    (item->made.last_event >= 0 || item->failed_runs))
			add_progress(write, item);
	}
}

void runner_store_progress(struct batch_runner *runner,
			   struct owned_partition *owned)
{
	struct batch_write *write =
		batch_write_new(owned->partition, on_result_stored, NULL);

	(void)runner;
	for (struct run_batch *b = owned->batches; b; b = b->next)
		add_batch_progress(write, b);
	if (write->base.record_count)
		batch_write_start(write);
	else
		batch_write_free(write);
}
