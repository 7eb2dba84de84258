#include "batch/items_load.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Approximate size of one read from the store. */
#define READ_BYTES (1024 * 1024)

static void on_read(struct topic_read *read);

/* Goes on to the next run of records if the current one was read. */
static void next_run(struct items_load *load)
{
	const struct items_position *position = load->position;

	while (!load->run_left && load->run_value + 1 < position->run_values) {
		load->offset = position->runs[load->run_value];
		load->run_left = (uint32_t)position->runs[load->run_value + 1];
		load->run_value += 2;
	}
}

static void read_more(struct items_load *load)
{
	batch_text_read_init(load->partition, &load->read, load->offset,
			     READ_BYTES);
	load->read.done = on_read;
	load->read.arg = load;
	load->running = 1;
	load->log->vt->read(load->log, &load->read);
}

/* Decodes one record; -1 if it holds no items or numbers out of range. */
static int add_record(struct items_load *load, const uint8_t *data, size_t len)
{
	Currant__Topic__TextRecord *record =
		currant__topic__text_record__unpack(NULL, len, data);
	const Currant__Topic__BatchItems *items;

	if (!record)
		return -1;
	load->messages[load->message_count++] = record;
	if (record->kind_case != CURRANT__TOPIC__TEXT_RECORD__KIND_ITEMS)
		return -1;
	items = record->items;
	if (items->first_item > load->item_count ||
	    items->n_items > load->item_count - items->first_item)
		return -1;
	for (size_t i = 0; i < items->n_items; i++)
		load->items[items->first_item + i] = items->items[i];
	return 0;
}

/* Adds the records of a read; -1 if one is not valid for this batch. */
static int add_read_records(struct items_load *load)
{
	const uint8_t *data;
	size_t len;
	size_t at = 0;
	int result = 0;

	while (!result && load->run_left &&
	       load->message_count < load->record_count &&
	       topic_next_record(&load->read.records, &at, &data, &len)) {
		result = add_record(load, data, len);
		load->offset++;
		load->run_left--;
	}
	next_run(load);
	strbuf_finish(&load->read.records);
	return result;
}

static int is_complete(const struct items_load *load)
{
	for (uint32_t i = 0; i < load->item_count; i++)
		if (!load->items[i])
			return 0;
	return 1;
}

static void on_read(struct topic_read *read)
{
	struct items_load *load = read->arg;
	uint32_t old_count = load->message_count;
	int result = -1;

	load->running = 0;
	if (read->outcome == TOPIC_OK)
		result = add_read_records(load);
	if (result || load->message_count == old_count)
		load->done(load, 0);
	else if (load->run_left && load->message_count < load->record_count)
		read_more(load);
	else
		load->done(load, is_complete(load));
}

/* Each record holds an item at least. */
static uint32_t count_records(const struct items_load *load)
{
	const struct items_position *position = load->position;
	uint64_t count = position->records;

	for (uint32_t i = 1; i < position->run_values; i += 2)
		count += (uint32_t)position->runs[i];
	return count < load->item_count ? (uint32_t)count : load->item_count;
}

void items_load_start(struct items_load *load, struct topic_log *log,
		      struct batch_partition *partition,
		      const struct batch *batch,
		      void (*done)(struct items_load *load, int ok), void *arg)
{
	memset(load, 0, sizeof(*load));
	load->partition = partition;
	load->log = log;
	load->position = &batch->items_position;
	load->offset = load->position->offset;
	load->run_left = load->position->records;
	load->item_count = batch->item_count;
	load->record_count = count_records(load);
	next_run(load);
	load->items = xcalloc(load->item_count + 1, sizeof(void *));
	load->messages = xcalloc(load->record_count + 1, sizeof(void *));
	load->done = done;
	load->arg = arg;
	read_more(load);
}

void items_load_finish(struct items_load *load)
{
	if (load->running)
		load->log->vt->cancel(load->log, load->read.call);
	load->running = 0;
	strbuf_finish(&load->read.records);
	for (uint32_t i = 0; i < load->message_count; i++)
		currant__topic__text_record__free_unpacked(load->messages[i],
							   NULL);
	free(load->messages);
	free(load->items);
	load->messages = NULL;
	load->items = NULL;
	load->message_count = 0;
}
