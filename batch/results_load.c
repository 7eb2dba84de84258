#include "batch/results_load.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "platform/batch_codec.h"

/* Size of a result beyond its text in the log. */
#define RESULT_OVERHEAD_BYTES 256
/*
 * Size of an answer beyond its results, and of each result in it beyond its
 * text, id and versions.
 */
#define ANSWER_OVERHEAD_BYTES 80
#define VERSION_BYTES 21 /* digits of a 64-bit number and a comma */
/* Size of a read if texts of other batches lie between those needed. */
#define MIXED_READ_BYTES (1024 * 1024)
/* After this many reads, the texts found so far are answered. */
#define READS_MAX 4

static size_t answer_bytes(const struct batch *batch,
			   const struct batch_item *item)
{
	return item->answer_bytes + strlen(item->id) + ANSWER_OVERHEAD_BYTES +
	       VERSION_BYTES * batch_item_versions(batch, item)->count;
}

static uint32_t count_results(const struct batch *batch, uint32_t after)
{
	size_t bytes = ANSWER_OVERHEAD_BYTES;
	uint32_t count = 0;

	while (after + count < batch->result_count) {
		const struct batch_item *item =
			&batch->items[batch->result_items[after + count]];

		bytes += answer_bytes(batch, item);
		if (count && bytes > PLATFORM_RESULTS_MAX_BYTES)
			break;
		count++;
	}
	return count;
}

static int is_missing(const struct result_text *text)
{
	return text->bytes && !text->record;
}

/* Range that covers all missing texts; returns 0 if none is missing. */
static int find_range(const struct results_load *load, uint64_t *from,
		      uint32_t *max_bytes)
{
	uint64_t first = UINT64_MAX;
	uint64_t last = 0;
	size_t bytes = 0;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < load->count; i++) {
		const struct result_text *text = &load->texts[i];

		if (!is_missing(text))
			continue;
		missing++;
		bytes += text->bytes + RESULT_OVERHEAD_BYTES;
		if (text->offset < first)
			first = text->offset;
		if (text->offset > last)
			last = text->offset;
	}
	*from = first;
	*max_bytes = last - first + 1 == missing ? (uint32_t)bytes
						 : MIXED_READ_BYTES;
	return missing != 0;
}

static void on_read(struct topic_read *read);

static int read_more(struct results_load *load)
{
	uint32_t max_bytes;
	uint64_t from;

	if (load->read_count == READS_MAX ||
	    !find_range(load, &from, &max_bytes))
		return 0;
	batch_text_read_init(load->partition, &load->read, from, max_bytes);
	load->read.done = on_read;
	load->read.arg = load;
	load->running = 1;
	load->read_count++;
	load->log->vt->read(load->log, &load->read);
	return 1;
}

static struct result_text *find_missing(const struct results_load *load,
					uint64_t offset)
{
	for (uint32_t i = 0; i < load->count; i++)
		if (load->texts[i].offset == offset &&
		    is_missing(&load->texts[i]))
			return &load->texts[i];
	return NULL;
}

/* Adds the missing texts that were read; returns their number. */
static uint32_t add_read_texts(struct results_load *load)
{
	uint64_t offset = load->read.from;
	uint32_t found = 0;
	const uint8_t *data;
	size_t len;
	size_t at = 0;

	for (; topic_next_record(&load->read.records, &at, &data, &len);
	     offset++) {
		struct result_text *text = find_missing(load, offset);

		if (!text)
			continue;
		text->record =
			currant__topic__text_record__unpack(NULL, len, data);
		found += text->record != NULL;
	}
	strbuf_finish(&load->read.records);
	return found;
}

static void on_read(struct topic_read *read)
{
	struct results_load *load = read->arg;

	load->running = 0;
	if (read->outcome == TOPIC_OK && add_read_texts(load) &&
	    read_more(load))
		return;
	load->done(load);
}

uint32_t results_load_start(struct results_load *load, struct topic_log *log,
			    struct batch_partition *partition,
			    const struct batch *batch, uint32_t after,
			    void (*done)(struct results_load *load), void *arg)
{
	memset(load, 0, sizeof(*load));
	load->partition = partition;
	load->log = log;
	load->done = done;
	load->arg = arg;
	strbuf_init(&load->read.records);
	load->count = count_results(batch, after);
	load->texts = xcalloc(load->count + 1, sizeof(*load->texts));
	for (uint32_t i = 0; i < load->count; i++) {
		const struct batch_item *item =
			&batch->items[batch->result_items[after + i]];

		load->texts[i].offset = item->text_offset;
		load->texts[i].bytes = item->text_bytes;
	}
	read_more(load);
	return load->count;
}

int results_load_is_running(const struct results_load *load)
{
	return load->running;
}

uint32_t results_load_ready(const struct results_load *load)
{
	uint32_t ready = 0;

	while (ready < load->count && !is_missing(&load->texts[ready]))
		ready++;
	return ready;
}

void results_load_finish(struct results_load *load)
{
	if (load->running)
		load->log->vt->cancel(load->log, load->read.call);
	load->running = 0;
	strbuf_finish(&load->read.records);
	for (uint32_t i = 0; i < load->count; i++)
		if (load->texts[i].record)
			currant__topic__text_record__free_unpacked(
				load->texts[i].record, NULL);
	free(load->texts);
	load->texts = NULL;
	load->count = 0;
}
