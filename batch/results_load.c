#include "batch/results_load.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "platform/batch_codec.h"

/* What a result takes beside its text, in the log and in an answer. */
#define RESULT_OVERHEAD_BYTES 256
#define ANSWER_OVERHEAD_BYTES 80
#define VERSION_BYTES 21 /* the digits of 64 bits and a comma */
/* Where texts of other batches stand between, a read takes what it gets. */
#define MIXED_READ_BYTES (1024 * 1024)
/* Then the answer holds what was found so far. */
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

	while (after + count < batch->listed_count) {
		const struct batch_item *item =
			&batch->items[batch->listed[after + count]];

		bytes += answer_bytes(batch, item);
		if (count && bytes > PLATFORM_ANSWER_MAX_BYTES)
			break;
		count++;
	}
	return count;
}

static int is_missing(const struct wanted_text *wanted)
{
	return wanted->bytes && !wanted->record;
}

/* What to read next; 0 if nothing is missing. */
static int find_range(const struct results_load *load, uint64_t *from,
		      uint32_t *max_bytes)
{
	uint64_t first = UINT64_MAX;
	uint64_t last = 0;
	size_t bytes = 0;
	uint32_t missing = 0;

	for (uint32_t i = 0; i < load->count; i++) {
		const struct wanted_text *wanted = &load->wanted[i];

		if (!is_missing(wanted))
			continue;
		missing++;
		bytes += wanted->bytes + RESULT_OVERHEAD_BYTES;
		if (wanted->offset < first)
			first = wanted->offset;
		if (wanted->offset > last)
			last = wanted->offset;
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

	if (load->reads == READS_MAX || !find_range(load, &from, &max_bytes))
		return 0;
	batch_text_read_init(load->partition, &load->read, from, max_bytes);
	load->read.done = on_read;
	load->read.arg = load;
	load->running = 1;
	load->reads++;
	load->log->vt->read(load->log, &load->read);
	return 1;
}

static struct wanted_text *find_wanted(const struct results_load *load,
				       uint64_t offset)
{
	for (uint32_t i = 0; i < load->count; i++)
		if (load->wanted[i].offset == offset &&
		    is_missing(&load->wanted[i]))
			return &load->wanted[i];
	return NULL;
}

/* Returns how many texts were found. */
static uint32_t take_answer(struct results_load *load)
{
	uint64_t offset = load->read.from;
	uint32_t found = 0;
	const uint8_t *data;
	size_t len;
	size_t at = 0;

	for (; topic_next_record(&load->read.records, &at, &data, &len);
	     offset++) {
		struct wanted_text *wanted = find_wanted(load, offset);

		if (!wanted)
			continue;
		wanted->record =
			currant__topic__text_record__unpack(NULL, len, data);
		found += wanted->record != NULL;
	}
	strbuf_finish(&load->read.records);
	return found;
}

static void on_read(struct topic_read *read)
{
	struct results_load *load = read->arg;

	load->running = 0;
	if (read->outcome == TOPIC_OK && take_answer(load) && read_more(load))
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
	load->wanted = xcalloc(load->count + 1, sizeof(*load->wanted));
	for (uint32_t i = 0; i < load->count; i++) {
		const struct batch_item *item =
			&batch->items[batch->listed[after + i]];

		load->wanted[i].offset = item->text_offset;
		load->wanted[i].bytes = item->text_bytes;
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

	while (ready < load->count && !is_missing(&load->wanted[ready]))
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
		if (load->wanted[i].record)
			currant__topic__text_record__free_unpacked(
				load->wanted[i].record, NULL);
	free(load->wanted);
	load->wanted = NULL;
	load->count = 0;
}
