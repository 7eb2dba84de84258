#include "batch/batch_runner_private.h"
#include "platform/batch_codec.h"

/* The texts of one handover are close together in the log. */
#define READ_BYTES (1024 * 1024)

/* Finds the lowest log offset of the stored texts; 0 if there are none. */
static int find_first_text(const struct batch *batch, uint64_t *from)
{
	int found = 0;

	for (const struct batch_progress *p = batch->progress; p; p = p->next) {
		const Currant__Topic__ItemProgress *progress =
			p->record->progress;

		if (!progress->text_bytes ||
		    (found && progress->text_offset >= *from))
			continue;
		*from = progress->text_offset;
		found = 1;
	}
	return found;
}

/* The text of an older daemon, which did not check it. */
static void log_invalid_text(const struct active_item *item)
{
	struct record record;

	record_begin(&record, item->owner->owned->runner->log, "items",
		     "text_dropped");
	record_text(&record, "batch", item->owner->batch->id);
	record_text(&record, "item", active_item_id(item));
	record_text(&record, "reason", "not_utf8");
	record_end(&record);
}

/*
 * Continues from a stored text, whose weight versions the batch allows, if it
 * is longer than the item's own.
 */
static void restore_text(struct active_item *item,
			 const Currant__Topic__ItemProgress *progress,
			 const Currant__Topic__ItemText *text)
{
	struct item_text *output = &item->output;

	if (item->state != ACTIVE_ITEM_WAITING ||
	    progress->last_event <= output->last_event ||
	    progress->n_versions > ITEM_VERSIONS_MAX)
		return;
	if (!platform_batch_text_is_valid((const char *)text->text.data,
					  text->text.len)) {
		log_invalid_text(item);
		return;
	}
	item_text_reset(output);
	strbuf_add(&output->text, text->text.data, text->text.len);
	output->last_event = progress->last_event;
	output->version_count = (uint32_t)progress->n_versions;
	for (size_t i = 0; i < progress->n_versions; i++)
		output->versions[i] = progress->versions[i];
	output->complete = progress->whole;
}

static void apply_text_record(struct active_batch *batch, uint64_t offset,
			      const uint8_t *data, size_t len)
{
	Currant__Topic__TextRecord *record =
		currant__topic__text_record__unpack(NULL, len, data);
	const Currant__Topic__ItemProgress *progress;

	if (!record)
		return;
	if (record->kind_case == CURRANT__TOPIC__TEXT_RECORD__KIND_TEXT &&
	    record->text->item < batch->batch->item_count) {
		progress =
			batch_find_progress(batch->batch, record->text->item);
		if (progress && progress->text_bytes &&
		    progress->text_offset == offset)
			restore_text(&batch->items[record->text->item],
				     progress, record->text);
	}
	currant__topic__text_record__free_unpacked(record, NULL);
}

/* If the texts cannot be read, their items start from the beginning. */
static void on_read(struct topic_read *read)
{
	struct active_batch *batch = read->arg;
	uint64_t offset = read->from;
	const uint8_t *data;
	size_t len;
	size_t at = 0;

	batch->reading_progress = 0;
	if (read->outcome == TOPIC_OK)
		while (topic_next_record(&read->records, &at, &data, &len))
			apply_text_record(batch, offset++, data, len);
	strbuf_finish(&read->records);
	runner_start_batch(batch);
}

int runner_load_progress(struct active_batch *batch)
{
	struct owned_partition *owned = batch->owned;
	struct topic_log *store = owned->runner->store;
	uint64_t from = 0;

	if (!find_first_text(batch->batch, &from))
		return 0;
	batch_text_read_init(owned->partition, &batch->progress, from,
			     READ_BYTES);
	batch->progress.done = on_read;
	batch->progress.arg = batch;
	batch->reading_progress = 1;
	store->vt->read(store, &batch->progress);
	return 1;
}
