#include "batch/batch_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

void batch_table_init(struct batch_table *table)
{
	memset(table, 0, sizeof(*table));
}

void batch_table_add_listener(struct batch_table *table,
			      struct batch_table_listener *listener)
{
	listener->next = table->listeners;
	table->listeners = listener;
}

void batch_table_remove_listener(struct batch_table *table,
				 struct batch_table_listener *listener)
{
	struct batch_table_listener **at = &table->listeners;

	while (*at != listener)
		at = &(*at)->next;
	*at = listener->next;
}

static struct batch **bucket(struct batch_table *table, const char *id)
{
	return &table->buckets[hash_text(id, 0) % BATCH_TABLE_BUCKETS];
}

struct batch *batch_table_find(const struct batch_table *table, const char *id)
{
	struct batch *batch =
		table->buckets[hash_text(id, 0) % BATCH_TABLE_BUCKETS];

	while (batch && strcmp(batch->id, id))
		batch = batch->next;
	return batch;
}

static void remove_batch(struct batch_table *table, struct batch *batch)
{
	struct batch **at = bucket(table, batch->id);

	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->dropped)
			l->dropped(l, batch);
	while (*at != batch)
		at = &(*at)->next;
	*at = batch->next;
	if (batch->older)
		batch->older->newer = batch->newer;
	else
		table->oldest = batch->newer;
	if (batch->newer)
		batch->newer->older = batch->older;
	else
		table->newest = batch->older;
	table->count--;
	batch_free(batch);
}

/* Forgets the evicted batches that were accepted before this time. */
static void drop_evicted(struct batch_table *table, int64_t before_ms)
{
	struct evicted_batch **at = &table->evicted;

	while (*at) {
		struct evicted_batch *evicted = *at;

		if (evicted->accepted_ms >= before_ms) {
			at = &evicted->next;
			continue;
		}
		*at = evicted->next;
		free(evicted);
	}
}

static void add_evicted(struct batch_table *table, const struct batch *batch)
{
	struct evicted_batch *evicted = xcalloc(1, sizeof(*evicted));

	evicted->id_hash = hash_text(batch->id, 0);
	evicted->accepted_ms = batch->accepted_ms;
	evicted->next = table->evicted;
	table->evicted = evicted;
}

static int was_evicted(const struct batch_table *table, const char *id)
{
	uint64_t id_hash = hash_text(id, 0);
	const struct evicted_batch *evicted = table->evicted;

	while (evicted && evicted->id_hash != id_hash)
		evicted = evicted->next;
	return evicted != NULL;
}

void batch_table_finish(struct batch_table *table)
{
	struct batch *batch = table->oldest;

	drop_evicted(table, INT64_MAX);
	while (batch) {
		struct batch *newer = batch->newer;

		remove_batch(table, batch);
		batch = newer;
	}
}

static void append_batch(struct batch_table *table, struct batch *batch)
{
	struct batch **at = bucket(table, batch->id);

	batch->next = *at;
	*at = batch;
	batch->older = table->newest;
	if (batch->older)
		batch->older->newer = batch;
	else
		table->oldest = batch;
	table->newest = batch;
	table->count++;
}

/*
 * Takes ownership of the record and returns 1, unless the batch is empty or
 * its id was accepted before, also by a batch that has ended and was evicted.
 */
static int apply_accepted(struct batch_table *table,
			  Currant__Topic__BatchRecord *record, int64_t now_ns)
{
	struct batch *batch;

	if (!record->accepted->n_items ||
	    batch_table_find(table, record->accepted->batch) ||
	    was_evicted(table, record->accepted->batch))
		return 0;
	batch = batch_new(record, now_ns);
	append_batch(table, batch);
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->accepted)
			l->accepted(l, batch);
	return 1;
}

static void apply_result(struct batch_table *table,
			 const Currant__Topic__ItemResult *result)
{
	struct batch *batch = batch_table_find(table, result->batch);

	if (!batch || !batch_add_result(batch, result))
		return;
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->result_added)
			l->result_added(l, batch, result->item);
	if (batch_is_done(batch))
		batch_free_progress(batch);
}

static void apply_end(struct batch_table *table,
		      const Currant__Topic__BatchEnd *end)
{
	struct batch *batch = batch_table_find(table, end->batch);

	if (!batch || batch->ended)
		return;
	batch->ended = 1;
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->ended)
			l->ended(l, batch);
	batch_free_progress(batch);
}

/* Of claims that replace the same one, the first in the log wins. */
static void apply_claim(struct batch_table *table,
			const Currant__Topic__PartitionClaim *claim,
			uint64_t offset, int64_t now_ns)
{
	if (claim->replaces != table->claim)
		return;
	if (copy_text(table->owner, sizeof(table->owner),
		      claim->release ? "" : claim->host))
		table->malformed++;
	table->owner_incarnation = claim->incarnation;
	table->claim = offset + 1;
	table->claimed_ms = claim->claimed_ms;
	table->claim_read_ns = now_ns;
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->claimed)
			l->claimed(l);
}

/* Takes ownership of the record and returns 1 if its item is open. */
static int apply_progress(struct batch_table *table,
			  Currant__Topic__BatchRecord *record)
{
	const Currant__Topic__ItemProgress *progress = record->progress;
	struct batch *batch = batch_table_find(table, progress->batch);

	if (!batch || batch_is_done(batch) ||
	    progress->item >= batch->item_count ||
	    batch->items[progress->item].state != BATCH_ITEM_OPEN)
		return 0;
	batch_store_progress(batch, record);
	return 1;
}

/* Returns whether ownership of the record was taken. */
static int apply_record(struct batch_table *table,
			Currant__Topic__BatchRecord *record, uint64_t offset,
			int64_t now_ns)
{
	switch (record->kind_case) {
	case CURRANT__TOPIC__BATCH_RECORD__KIND_ACCEPTED:
		return apply_accepted(table, record, now_ns);
	case CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT:
		apply_result(table, record->result);
		return 0;
	case CURRANT__TOPIC__BATCH_RECORD__KIND_END:
		apply_end(table, record->end);
		return 0;
	case CURRANT__TOPIC__BATCH_RECORD__KIND_CLAIM:
		apply_claim(table, record->claim, offset, now_ns);
		return 0;
	case CURRANT__TOPIC__BATCH_RECORD__KIND_PROGRESS:
		return apply_progress(table, record);
	default:
		/* A record kind of a newer version; ignored. */
		return 0;
	}
}

void batch_table_apply(struct batch_table *table, uint64_t offset,
		       const uint8_t *data, size_t len, int64_t now_ns)
{
	Currant__Topic__BatchRecord *record =
		currant__topic__batch_record__unpack(NULL, len, data);

	if (!record) {
		table->malformed++;
		return;
	}
	if (!apply_record(table, record, offset, now_ns))
		currant__topic__batch_record__free_unpacked(record, NULL);
}

void batch_table_evict(struct batch_table *table, int64_t ended_before_ms,
		       int64_t done_before_ms)
{
	struct batch *batch = table->oldest;

	drop_evicted(table, done_before_ms);
	while (batch) {
		struct batch *newer = batch->newer;
		int is_old = batch->accepted_ms < done_before_ms;

		if (batch->ended && batch->accepted_ms < ended_before_ms) {
			if (!is_old)
				add_evicted(table, batch);
			remove_batch(table, batch);
		} else if (batch_is_done(batch) && is_old) {
			remove_batch(table, batch);
		}
		batch = newer;
	}
}
