#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/batch_runner_private.h"
#include "platform/batch_codec.h"

/* The store of today takes some 5 ms; a reader asks twice a second. */
#define STORED_LATE_NS (500 * NS_PER_MS)
/* What an answer holds beside a score: its name, quotes and a comma. */
#define SCORE_OVERHEAD_BYTES 16

/* A result or a note of progress on its way: first its text, then its record.
 */
struct outgoing {
	struct batch_runner *runner;
	struct batch_partition *partition;
	char *batch;
	char *item_id;
	uint32_t item;
	int64_t made_ns; /* when it was handed to the store */
	int is_progress;
	enum batch_item_state state;
	const char *reason; /* a constant; NULL: none */
	int64_t last_event;
	uint32_t failed_runs;
	int is_whole; /* the text; its score is owed */
	uint32_t failed_rewards;
	uint64_t versions[ITEM_VERSIONS_MAX];
	uint32_t version_count;
	uint32_t text_bytes;
	uint32_t answer_bytes; /* of the text */
	uint64_t text_offset;
};

static void free_outgoing(void *arg)
{
	struct outgoing *out = arg;

	free(out->batch);
	free(out->item_id);
	free(out);
}

/* Why a result that was there came late to its reader. */
static void report_stored_late(const struct outgoing *out, int64_t waited_ns)
{
	struct record record;

	record_begin(&record, out->runner->log, "items", "stored_late");
	record_text(&record, "batch", out->batch);
	record_text(&record, "item", out->item_id);
	record_ms(&record, "waited_ms", waited_ns);
	record_end(&record);
}

/* The table has told everybody by now, or a refresh will. */
static void on_record_stored(struct batch_write *write,
			     enum topic_write_outcome outcome)
{
	struct outgoing *out = write->arg;
	int64_t waited_ns = runner_now_ns(out->runner) - out->made_ns;

	(void)outcome;
	if (!out->is_progress && waited_ns > STORED_LATE_NS)
		report_stored_late(out, waited_ns);
	free_outgoing(out);
	batch_write_free(write);
}

static void fill_result(const struct outgoing *out,
			Currant__Topic__ItemResult *result)
{
	currant__topic__item_result__init(result);
	result->batch = out->batch;
	result->item = out->item;
	result->state = out->state == BATCH_ITEM_COMPLETE
				? CURRANT__TOPIC__ITEM_STATE__COMPLETE
				: CURRANT__TOPIC__ITEM_STATE__GIVEN_UP;
	result->versions = (uint64_t *)out->versions;
	result->n_versions = out->version_count;
	result->reason = (char *)(out->reason ? out->reason : "");
	result->text_offset = out->text_offset;
	result->text_bytes = out->text_bytes;
	result->answer_bytes = out->answer_bytes;
}

static void fill_progress(const struct outgoing *out,
			  Currant__Topic__ItemProgress *progress)
{
	currant__topic__item_progress__init(progress);
	progress->batch = out->batch;
	progress->item = out->item;
	progress->last_event = out->last_event;
	progress->failed_runs = out->failed_runs;
	progress->versions = (uint64_t *)out->versions;
	progress->n_versions = out->version_count;
	progress->text_offset = out->text_offset;
	progress->text_bytes = out->text_bytes;
	progress->whole = out->is_whole;
	progress->failed_rewards = out->failed_rewards;
}

static void write_record(struct outgoing *out)
{
	Currant__Topic__BatchRecord record = CURRANT__TOPIC__BATCH_RECORD__INIT;
	Currant__Topic__ItemResult result;
	Currant__Topic__ItemProgress progress;
	struct batch_write *write =
		batch_write_new(out->partition, 0, on_record_stored, out);

	if (out->is_progress) {
		fill_progress(out, &progress);
		record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_PROGRESS;
		record.progress = &progress;
	} else {
		fill_result(out, &result);
		record.kind_case = CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT;
		record.result = &result;
	}
	write->free_arg = free_outgoing;
	write->base.persistent = 1;
	batch_write_add(write, &record);
	batch_write_start(write);
}

static void on_text_stored(struct batch_write *write,
			   enum topic_write_outcome outcome)
{
	struct outgoing *out = write->arg;

	if (outcome != TOPIC_WRITE_DONE) {
		/* It stands, but nobody knows where: once more. */
		batch_write_start(write);
		return;
	}
	out->text_offset = write->base.offset;
	batch_write_free(write);
	write_record(out);
}

static void write_text(struct outgoing *out, const struct item_text *made,
		       const char *score)
{
	struct batch_write *write;

	if (!out->text_bytes) {
		write_record(out);
		return;
	}
	write = batch_write_new(out->partition, 1, on_text_stored, out);
	write->free_arg = free_outgoing;
	write->base.persistent = 1;
	write->base.record_count = 1;
	batch_record_add_text(&write->base.records, out->batch, out->item,
			      made->text.buf, made->text.len, score);
	batch_write_start(write);
}

static struct outgoing *new_outgoing(struct batch_runner *runner,
				     const struct run_item *item)
{
	struct outgoing *out = xcalloc(1, sizeof(*out));

	out->runner = runner;
	out->partition = item->owner->owned->partition;
	out->batch = xstrdup(item->owner->batch->id);
	out->item_id = xstrdup(run_item_id(item));
	out->made_ns = runner_now_ns(runner);
	out->item = item->number;
	out->last_event = item->made.last_event;
	out->failed_runs = item->failed_runs;
	out->is_whole = item->made.complete;
	out->failed_rewards = item->failed_rewards;
	out->version_count = item->made.version_count;
	for (uint32_t i = 0; i < out->version_count; i++)
		out->versions[i] = item->made.versions[i];
	out->text_bytes = (uint32_t)item->made.text.len;
	out->answer_bytes = (uint32_t)platform_batch_text_bytes(
		item->made.text.buf, item->made.text.len);
	if (item->score)
		out->answer_bytes += SCORE_OVERHEAD_BYTES +
				     (uint32_t)platform_batch_text_bytes(
					     item->score, strlen(item->score));
	return out;
}

static void report(struct batch_runner *runner, const struct run_item *item,
		   const char *event, const char *reason)
{
	struct record record;

	record_begin(&record, runner->log, "items", event);
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", run_item_id(item));
	record_int(&record, "events", item->made.last_event);
	record_int(&record, "versions", item->made.version_count);
	record_int(&record, "version",
		   item->made.version_count ? (int64_t)item->made.versions[0]
					    : -1);
	record_int(&record, "runs", item->runs);
	record_int(&record, "reward_calls", item->reward_calls);
	record_text(&record, "reason", reason);
	record_end(&record);
}

void runner_store_result(struct batch_runner *runner, struct run_item *item,
			 enum batch_item_state state, const char *reason)
{
	struct outgoing *out = new_outgoing(runner, item);

	out->state = state;
	out->reason = reason;
	run_item_set_state(item, RUN_ITEM_STORING);
	counter_add(runner->results, 1);
	report(runner, item,
	       state == BATCH_ITEM_COMPLETE ? "complete" : "given_up", reason);
	write_text(out, &item->made, item->score ? item->score : "");
}

void runner_note_text(struct batch_runner *runner, const struct run_item *item)
{
	struct outgoing *out = new_outgoing(runner, item);

	out->is_progress = 1;
	write_text(out, &item->made, "");
}

static int has_progress(const struct run_item *item)
{
	switch (item->state) {
	case RUN_ITEM_WAITING:
	case RUN_ITEM_RUNNING:
		return item->made.last_event >= 0 || item->failed_runs;
	case RUN_ITEM_SCORING:
		return 1;
	case RUN_ITEM_STORING:
	case RUN_ITEM_DONE:
		break;
	}
	return 0;
}

static void store_batch_progress(struct batch_runner *runner,
				 const struct run_batch *batch)
{
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		const struct run_item *item = &batch->items[i];

		if (has_progress(item))
			runner_note_text(runner, item);
	}
}

void runner_store_progress(struct batch_runner *runner,
			   struct owned_partition *owned)
{
	for (struct run_batch *b = owned->batches; b; b = b->next)
		store_batch_progress(runner, b);
}
