#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/batch_runner_private.h"
#include "platform/batch_codec.h"

/* Appends take about 5 ms; a reader polls twice a second. */
#define STORED_LATE_NS (500 * NS_PER_MS)
/* Size of an answer's JSON around a score: its key, quotes and a comma. */
#define SCORE_OVERHEAD_BYTES 16

/*
 * A result or progress record being appended: first its text, then the record.
 */
struct pending_write {
	struct batch_runner *runner;
	struct batch_partition *partition;
	char *batch;
	char *item_id;
	uint32_t item;
	int64_t requested_ns; /* when the append was requested */
	int is_progress;
	enum batch_item_state state;
	const char *reason; /* a constant; NULL: none */
	int64_t last_event;
	uint32_t failed_runs;
	int is_complete; /* the text is complete and has no score yet */
	uint32_t failed_rewards;
	uint64_t versions[ITEM_VERSIONS_MAX];
	uint32_t version_count;
	uint32_t text_bytes; /* of the text and its score; 0: no record */
	uint32_t answer_bytes; /* size of the text in an answer */
	uint64_t text_offset;
};

static void free_pending_write(void *arg)
{
	struct pending_write *pending = arg;

	free(pending->batch);
	free(pending->item_id);
	free(pending);
}

/* Explains why a finished result reached its reader late. */
static void report_stored_late(const struct pending_write *pending,
			       int64_t waited_ns)
{
	struct record record;

	record_begin(&record, pending->runner->log, "items", "stored_late");
	record_text(&record, "batch", pending->batch);
	record_text(&record, "item", pending->item_id);
	record_ms(&record, "waited_ms", waited_ns);
	record_end(&record);
}

/* Listeners are notified by the batch table, now or at its next refresh. */
static void on_record_stored(struct batch_write *write,
			     enum topic_write_outcome outcome)
{
	struct pending_write *pending = write->arg;
	int64_t waited_ns =
		runner_now_ns(pending->runner) - pending->requested_ns;

	(void)outcome;
	if (!pending->is_progress && waited_ns > STORED_LATE_NS)
		report_stored_late(pending, waited_ns);
	free_pending_write(pending);
	batch_write_free(write);
}

static void fill_result(const struct pending_write *pending,
			Currant__Topic__ItemResult *result)
{
	currant__topic__item_result__init(result);
	result->batch = pending->batch;
	result->item = pending->item;
	result->state = pending->state == BATCH_ITEM_COMPLETE
				? CURRANT__TOPIC__ITEM_STATE__COMPLETE
				: CURRANT__TOPIC__ITEM_STATE__GIVEN_UP;
	result->versions = (uint64_t *)pending->versions;
	result->n_versions = pending->version_count;
	result->reason = (char *)(pending->reason ? pending->reason : "");
	result->text_offset = pending->text_offset;
	result->text_bytes = pending->text_bytes;
	result->answer_bytes = pending->answer_bytes;
}

static void fill_progress(const struct pending_write *pending,
			  Currant__Topic__ItemProgress *progress)
{
	currant__topic__item_progress__init(progress);
	progress->batch = pending->batch;
	progress->item = pending->item;
	progress->last_event = pending->last_event;
	progress->failed_runs = pending->failed_runs;
	progress->versions = (uint64_t *)pending->versions;
	progress->n_versions = pending->version_count;
	progress->text_offset = pending->text_offset;
	progress->text_bytes = pending->text_bytes;
	progress->whole = pending->is_complete;
	progress->failed_rewards = pending->failed_rewards;
}

static void write_record(struct pending_write *pending)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__ItemResult result;
	Currant__Topic__ItemProgress progress;
	struct batch_write *write = batch_write_new(pending->partition, 0,
						    on_record_stored, pending);

	if (pending->is_progress) {
		fill_progress(pending, &progress);
		record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_PROGRESS;
		record.progress = &progress;
	} else {
		fill_result(pending, &result);
		record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT;
		record.result = &result;
	}
	write->free_arg = free_pending_write;
	write->base.retry_until_done = 1;
	batch_write_add(write, &record);
	batch_write_start(write);
}

static void on_text_stored(struct batch_write *write,
			   enum topic_write_outcome outcome)
{
	struct pending_write *pending = write->arg;

	if (outcome != TOPIC_WRITE_DONE) {
		/* Stored at an unknown offset: append it again. */
		batch_write_start(write);
		return;
	}
	pending->text_offset = write->base.offset;
	batch_write_free(write);
	write_record(pending);
}

/*
 * The text is left out, as the log would reject the record for ever, and all
 * later ones of the partition with it. An older daemon, or one with another
 * limit, may have stored a text of this size.
 */
static void drop_text(struct pending_write *pending, size_t record_bytes)
{
	struct record record;

	record_begin(&record, pending->runner->log, "items", "text_dropped");
	record_text(&record, "batch", pending->batch);
	record_text(&record, "item", pending->item_id);
	record_int(&record, "record_bytes", (int64_t)record_bytes);
	record_int(&record, "max_record_bytes",
		   pending->runner->store->max_record_bytes);
	record_text(&record, "reason", "too_large");
	record_end(&record);
	if (pending->is_progress) {
		free_pending_write(pending);
		return;
	}
	pending->text_bytes = pending->answer_bytes = 0;
	pending->state = BATCH_ITEM_GIVEN_UP;
	pending->reason = "text_too_large";
	write_record(pending);
}

static void write_text(struct pending_write *pending,
		       const struct item_text *output, const char *score)
{
	struct batch_write *write;

	if (!pending->text_bytes) {
		write_record(pending);
		return;
	}
	write = batch_write_new(pending->partition, 1, on_text_stored, pending);
	write->free_arg = free_pending_write;
	write->base.retry_until_done = 1;
	write->base.record_count = 1;
	batch_record_add_text(&write->base.records, pending->batch,
			      pending->item, output->text.buf, output->text.len,
			      score);
	if (write->base.records.len >
	    pending->runner->store->max_record_bytes + TOPIC_LENGTH_BYTES) {
		size_t bytes = write->base.records.len;

		batch_write_free(write);
		drop_text(pending, bytes);
		return;
	}
	batch_write_start(write);
}

static struct pending_write *new_pending_write(struct batch_runner *runner,
					       const struct active_item *item)
{
	struct pending_write *pending = xcalloc(1, sizeof(*pending));

	pending->runner = runner;
	pending->partition = item->owner->owned->partition;
	pending->batch = xstrdup(item->owner->batch->id);
	pending->item_id = xstrdup(active_item_id(item));
	pending->requested_ns = runner_now_ns(runner);
	pending->item = item->number;
	pending->last_event = item->output.last_event;
	pending->failed_runs = item->failed_runs;
	pending->is_complete = item->output.complete;
	pending->failed_rewards = item->failed_rewards;
	pending->version_count = item->output.version_count;
	for (uint32_t i = 0; i < pending->version_count; i++)
		pending->versions[i] = item->output.versions[i];
	pending->text_bytes = (uint32_t)item->output.text.len;
	pending->answer_bytes = (uint32_t)platform_batch_text_bytes(
		item->output.text.buf, item->output.text.len);
	if (!item->score)
		return pending;
	pending->text_bytes += (uint32_t)strlen(item->score);
	pending->answer_bytes += SCORE_OVERHEAD_BYTES +
				 (uint32_t)platform_batch_text_bytes(
					 item->score, strlen(item->score));
	return pending;
}

/* How old what the item was judged by is: the configuration and the batch. */
static void put_ages(struct record *record, const struct batch_runner *runner,
		     const struct batch *batch)
{
	record_ms(record, "config_age_ms",
		  runner_now_ns(runner) - runner->config->trust.confirmed_ns);
	record_ms(record, "batch_age_ms",
		  runner_now_ns(runner) - batch->applied_ns);
}

static void report_result(struct batch_runner *runner,
			  const struct active_item *item,
			  enum batch_item_state state, const char *reason)
{
	struct record record;

	record_begin(&record, runner->log, "items",
		     state == BATCH_ITEM_COMPLETE ? "complete" : "given_up");
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", active_item_id(item));
	record_int(&record, "events", item->output.last_event);
	record_int(&record, "versions", item->output.version_count);
	record_int(&record, "version",
		   item->output.version_count
			   ? (int64_t)item->output.versions[0]
			   : -1);
	record_int(&record, "runs", item->attempt_count);
	record_int(&record, "reward_calls", item->reward_calls);
	record_text(&record, "reason", reason);
	if (state == BATCH_ITEM_GIVEN_UP) {
		runner_record_configs(&record, runner, item->owner->batch);
		put_ages(&record, runner, item->owner->batch);
	}
	record_end(&record);
}

void runner_store_result(struct batch_runner *runner, struct active_item *item,
			 enum batch_item_state state, const char *reason)
{
	struct pending_write *pending = new_pending_write(runner, item);

	pending->state = state;
	pending->reason = reason;
	active_item_set_state(item, ACTIVE_ITEM_STORING);
	counter_add(runner->results, 1);
	report_result(runner, item, state, reason);
	write_text(pending, &item->output, item->score ? item->score : "");
}

void runner_store_item_progress(struct batch_runner *runner,
				const struct active_item *item)
{
	struct pending_write *pending = new_pending_write(runner, item);

	pending->is_progress = 1;
	write_text(pending, &item->output, "");
}

static int has_progress(const struct active_item *item)
{
	switch (item->state) {
	case ACTIVE_ITEM_WAITING:
	case ACTIVE_ITEM_RUNNING:
		return item->output.last_event >= 0 || item->failed_runs;
	case ACTIVE_ITEM_SCORING:
		return 1;
	case ACTIVE_ITEM_STORING:
	case ACTIVE_ITEM_DONE:
		break;
	}
	return 0;
}

static void store_batch_progress(struct batch_runner *runner,
				 const struct active_batch *batch)
{
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		const struct active_item *item = &batch->items[i];

		if (has_progress(item))
			runner_store_item_progress(runner, item);
	}
}

void runner_store_progress(struct batch_runner *runner,
			   struct owned_partition *owned)
{
	for (struct active_batch *b = owned->batches; b; b = b->next)
		store_batch_progress(runner, b);
}
