#include "batch/items_load.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* One answer of the store holds about this much. */
#define READ_BYTES (1024 * 1024)

static void on_read(struct topic_read *read);

static void read_more(struct items_load *load)
{
	batch_text_read_init(load->partition, &load->read,
			     load->offset + load->message_count, READ_BYTES);
	load->read.done = on_read;
	load->read.arg = load;
	load->running = 1;
	load->log->vt->read(load->log, &load->read);
}

/* Takes one record; -1 if it is none of the batch's items. */
static int take_record(struct items_load *load, const uint8_t *data, size_t len)
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

/* Returns -1 if what was read cannot be the batch's. */
static int take_answer(struct items_load *load)
{
	const uint8_t *data;
	size_t len;
	size_t at = 0;
	int result = 0;

	while (!result && load->message_count < load->records &&
	       topic_next_record(&load->read.records, &at, &data, &len))
		result = take_record(load, data, len);
	strbuf_finish(&load->read.records);
	return result;
}

static int is_whole(const struct items_load *load)
{
	for (uint32_t i = 0; i < load->item_count; i++)
		if (!load->items[i])
			return 0;
	return 1;
}

static void on_read(struct topic_read *read)
{
	struct items_load *load = read->arg;
	uint32_t before = load->message_count;
	int result = -1;

	load->running = 0;
	if (read->outcome == TOPIC_OK)
		result = take_answer(load);
	if (result || load->message_count == before)
		load->done(load, 0);
	else if (load->message_count < load->records)
		read_more(load);
	else
		load->done(load, is_whole(load));
}

void items_load_start(struct items_load *load, struct topic_log *log,
		      struct batch_partition *partition,
		      const struct batch *batch,
		      void (*done)(struct items_load *load, int ok), void *arg)
{
	memset(load, 0, sizeof(*load));
	load->partition = partition;
	load->log = log;
	load->offset = batch->items_offset;
	load->records = batch->items_records;
	load->item_count = batch->item_count;
	load->items = xcalloc(load->item_count + 1, sizeof(void *));
	load->messages = xcalloc(load->records + 1, sizeof(void *));
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
