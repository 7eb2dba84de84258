#include "state/log_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/bug.h"

void log_queue_init(struct log_queue *queue, const char *writer,
		    uint64_t incarnation, uint32_t max_count, size_t max_bytes)
{
	memset(queue, 0, sizeof(*queue));
	queue->tail = &queue->first;
	queue->writer = xstrdup(writer);
	queue->incarnation = incarnation;
	queue->max_count = max_count;
	queue->max_bytes = max_bytes;
}

static void free_item(struct log_item *item)
{
	item->record->origin = NULL;
	currant__record__free_unpacked(item->record, NULL);
	free(item);
}

void log_queue_finish(struct log_queue *queue)
{
	while (queue->first) {
		struct log_item *item = queue->first;

		queue->first = item->next;
		free_item(item);
	}
	free(queue->writer);
}

static Currant__Record *copy_record(const Currant__Record *record)
{
	size_t len = currant__record__get_packed_size(record);
	uint8_t *data = xmalloc(len ? len : 1);
	Currant__Record *copy;

	currant__record__pack(record, data);
	copy = currant__record__unpack(NULL, len, data);
	free(data);
	if (!copy)
		BUG("a packed record cannot be read");
	return copy;
}

static void append_item(struct log_queue *queue, struct log_item *item)
{
	item->next = NULL;
	item->origin.sequence = ++queue->last_sequence;
	*queue->tail = item;
	queue->tail = &item->next;
}

struct log_item *log_queue_add(struct log_queue *queue,
			       const Currant__Record *record, int urgent,
			       struct log_waiter *waiter, struct error *err)
{
	struct log_item *item;

	if (queue->count >= queue->max_count ||
	    queue->bytes >= queue->max_bytes) {
		error_set(err, ERROR_FULL,
			  "%u records wait for the log already", queue->count);
		return NULL;
	}
	item = xcalloc(1, sizeof(*item));
	item->record = copy_record(record);
	if (item->record->origin)
		currant__origin__free_unpacked(item->record->origin, NULL);
	currant__origin__init(&item->origin);
	item->origin.writer = queue->writer;
	item->origin.incarnation = queue->incarnation;
	item->record->origin = &item->origin;
	item->urgent = urgent;
	item->waiter = waiter;
	append_item(queue, item);
	item->packed_bytes = currant__record__get_packed_size(item->record);
	queue->count++;
	queue->bytes += item->packed_bytes;
	return item;
}

static void remove_item(struct log_queue *queue, struct log_item *item)
{
	struct log_item **at = &queue->first;

	while (*at != item)
		at = &(*at)->next;
	*at = item->next;
	if (queue->tail == &item->next)
		queue->tail = at;
	queue->count--;
	queue->bytes -= item->packed_bytes;
	free_item(item);
}

uint32_t log_queue_unsent(const struct log_queue *queue, int *urgent)
{
	uint32_t count = 0;

	*urgent = 0;
	for (struct log_item *item = queue->first; item; item = item->next) {
		if (item->landed || item->seen)
			continue;
		count++;
		*urgent |= item->urgent;
	}
	return count;
}

uint32_t log_queue_pack(struct log_queue *queue, uint32_t max_records,
			size_t max_bytes, uint8_t **data, size_t *len)
{
	Currant__RecordBatch batch = CURRANT__RECORD_BATCH__INIT;
	Currant__Record **records = xcalloc(max_records, sizeof(void *));
	size_t bytes = 0;

	for (struct log_item *item = queue->first; item; item = item->next) {
		if (item->landed || item->seen)
			continue;
		if (batch.n_records == max_records ||
		    (bytes && bytes + item->packed_bytes > max_bytes))
			break;
		item->in_flight = 1;
		bytes += item->packed_bytes;
		records[batch.n_records++] = item->record;
	}
	batch.records = records;
	*len = currant__record_batch__get_packed_size(&batch);
	*data = xmalloc(*len ? *len : 1);
	currant__record_batch__pack(&batch, *data);
	free(records);
	return (uint32_t)batch.n_records;
}

void log_queue_append_done(struct log_queue *queue, enum error_code outcome,
			   uint64_t offset)
{
	struct log_item *next;

	for (struct log_item *item = queue->first; item; item = next) {
		next = item->next;
		if (!item->in_flight)
			continue;
		item->in_flight = 0;
		if (outcome == ERROR_NONE) {
			item->landed = 1;
			item->landed_offset = offset;
		} else if (outcome == ERROR_UNKNOWN_OUTCOME) {
			item->maybe_sent = 1;
		}
		if (item->seen || item->abandoned)
			remove_item(queue, item);
	}
}

/* Earlier records than the newest applied one are ignored from now on. */
static void renumber_before(struct log_queue *queue, uint64_t sequence)
{
	while (queue->first && queue->first->origin.sequence < sequence) {
		struct log_item *item = queue->first;

		if (item->seen && item->in_flight)
			return;
		if (item->seen || item->abandoned) {
			remove_item(queue, item);
			continue;
		}
		queue->first = item->next;
		if (!queue->first)
			queue->tail = &queue->first;
		item->in_flight = 0;
		item->maybe_sent = 0;
		item->landed = 0;
		append_item(queue, item);
	}
}

void log_queue_seen(struct log_queue *queue, uint64_t sequence,
		    const struct log_result *result)
{
	struct log_item *item = queue->first;

	while (item && item->origin.sequence != sequence)
		item = item->next;
	if (item) {
		item->seen = 1;
		if (item->waiter) {
			item->waiter->result = *result;
			item->waiter->seen = 1;
			item->waiter = NULL;
		}
		if (!item->in_flight)
			remove_item(queue, item);
	}
	renumber_before(queue, sequence);
}

uint32_t log_queue_passed(struct log_queue *queue, uint64_t next_offset)
{
	uint32_t count = 0;

	for (struct log_item *item = queue->first; item; item = item->next) {
		if (item->landed && item->landed_offset < next_offset) {
			item->landed = 0;
			count++;
		}
	}
	return count;
}

void log_queue_skipped(struct log_queue *queue, uint64_t sequence)
{
	struct log_item *next;

	for (struct log_item *item = queue->first; item; item = next) {
		next = item->next;
		if (item->seen || item->origin.sequence > sequence)
			continue;
		if (item->waiter) {
			struct log_result *result = &item->waiter->result;

			memset(result, 0, sizeof(*result));
			error_set(&result->why, ERROR_UNKNOWN_OUTCOME,
				  "a snapshot may hold the record");
			item->waiter->seen = 1;
			item->waiter = NULL;
		}
		item->abandoned = 1;
		if (!item->in_flight)
			remove_item(queue, item);
	}
}

void log_queue_forget_landed(struct log_queue *queue)
{
	for (struct log_item *item = queue->first; item; item = item->next) {
		item->maybe_sent |= item->landed;
		item->landed = 0;
	}
}

int log_queue_abandon(struct log_queue *queue, struct log_waiter *waiter)
{
	struct log_item *item = queue->first;
	int may_take_effect;

	while (item && item->waiter != waiter)
		item = item->next;
	if (!item)
		BUG("a waiter without a record gives up");
	may_take_effect = item->in_flight || item->maybe_sent || item->landed;
	item->waiter = NULL;
	item->abandoned = 1;
	if (!item->in_flight)
		remove_item(queue, item);
	return may_take_effect;
}
