#include "batch/batch_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* Texts of results that are kept; older ones are read from the log again. */
#define HELD_TEXT_MAX_BYTES (1024 * 1024)
/* Submissions in parts that never became whole. */
#define CANDIDATES_MAX 16

struct batch_candidate {
	uint64_t writer;
	char *batch;
	Currant__Topic__BatchRecord **messages;
	uint32_t count; /* parts that came */
	uint32_t expected;
	struct batch_candidate *next;
};

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

static void free_candidate(struct batch_candidate *candidate)
{
	for (uint32_t i = 0; i < candidate->count; i++)
		currant__topic__batch_record__free_unpacked(
			candidate->messages[i], NULL);
	free(candidate->messages);
	free(candidate->batch);
	free(candidate);
}

static void release_text(struct batch_table *table, struct batch_item *item)
{
	if (!item->result)
		return;
	table->held_text_bytes -= item->result->len;
	batch_result_free(item->result);
	item->result = NULL;
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
	for (uint32_t i = 0; i < batch->item_count; i++)
		release_text(table, &batch->items[i]);
	table->count--;
	batch_free(batch);
}

void batch_table_finish(struct batch_table *table)
{
	struct batch_candidate *candidate = table->candidates;
	struct batch *batch = table->oldest;

	while (candidate) {
		struct batch_candidate *next = candidate->next;

		free_candidate(candidate);
		candidate = next;
	}
	while (batch) {
		struct batch *newer = batch->newer;

		remove_batch(table, batch);
		batch = newer;
	}
}

/* Gives up the oldest texts beyond the bound. */
static void bound_texts(struct batch_table *table)
{
	struct batch *batch = table->oldest;

	for (; batch && table->held_text_bytes > HELD_TEXT_MAX_BYTES;
	     batch = batch->newer)
		for (uint32_t i = 0;
		     i < batch->listed_count &&
		     table->held_text_bytes > HELD_TEXT_MAX_BYTES;
		     i++)
			release_text(table, &batch->items[batch->listed[i]]);
}

static int take_items(struct batch *batch,
		      const Currant__Topic__BatchPart *part)
{
	if (part->first_item > batch->item_count ||
	    part->n_items > batch->item_count - part->first_item)
		return -1;
	for (size_t i = 0; i < part->n_items; i++) {
		struct batch_item *item = &batch->items[part->first_item + i];

		if (item->id)
			return -1;
		item->id = xstrdup(part->items[i]->id);
		item->spec = part->items[i];
	}
	return 0;
}

static int all_items_came(const struct batch *batch)
{
	for (uint32_t i = 0; i < batch->item_count; i++)
		if (!batch->items[i].id)
			return 0;
	return 1;
}

static struct batch *new_batch(const Currant__Topic__BatchPart *part)
{
	struct batch *batch = xcalloc(1, sizeof(*batch));

	batch->id = xstrdup(part->batch);
	batch->team = xstrdup(part->team);
	batch->host = xstrdup(part->host);
	batch->path = xstrdup(part->path);
	batch->model = xstrdup(part->model);
	batch->step = part->step;
	batch->min_version = part->min_version;
	batch->target_groups = part->target_groups;
	batch->accepted_ms = part->accepted_ms;
	batch->due_ms = part->due_ms;
	batch->retention_ms = part->retention_ms;
	batch->max_attempts = part->max_attempts;
	batch->single_version = part->single_version;
	batch->item_count = part->total_items;
	batch->items = xcalloc(batch->item_count + 1, sizeof(*batch->items));
	batch->listed = xcalloc(batch->item_count + 1, sizeof(*batch->listed));
	return batch;
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

/* All parts have come: the batch is accepted. */
static void accept(struct batch_table *table, struct batch_candidate *candidate,
		   uint64_t offset, int64_t now_ns)
{
	struct batch *batch = new_batch(candidate->messages[0]->part);
	int result = 0;

	batch->messages = candidate->messages;
	batch->message_count = candidate->count;
	candidate->messages = NULL;
	candidate->count = 0;
	for (uint32_t i = 0; i < batch->message_count && !result; i++)
		result = take_items(batch, batch->messages[i]->part);
	if (result || !all_items_came(batch)) {
		table->malformed++;
		batch_free(batch);
		return;
	}
	batch->offset = offset;
	batch->applied_ns = now_ns;
	append_batch(table, batch);
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->accepted)
			l->accepted(l, batch);
}

static struct batch_candidate **
find_candidate(struct batch_table *table, const Currant__Topic__BatchPart *part)
{
	struct batch_candidate **at = &table->candidates;

	while (*at && ((*at)->writer != part->writer ||
		       strcmp((*at)->batch, part->batch)))
		at = &(*at)->next;
	return at;
}

/* Forgets the oldest candidates beyond the bound. */
static void bound_candidates(struct batch_table *table)
{
	struct batch_candidate **at = &table->candidates;
	uint32_t count = 0;

	while (*at && count < CANDIDATES_MAX) {
		at = &(*at)->next;
		count++;
	}
	while (*at) {
		struct batch_candidate *candidate = *at;

		*at = candidate->next;
		free_candidate(candidate);
	}
}

static struct batch_candidate *
add_candidate(struct batch_table *table, const Currant__Topic__BatchPart *part)
{
	struct batch_candidate *candidate = xcalloc(1, sizeof(*candidate));

	candidate->writer = part->writer;
	candidate->batch = xstrdup(part->batch);
	candidate->expected = part->count;
	candidate->messages = xcalloc(part->count, sizeof(void *));
	candidate->next = table->candidates;
	table->candidates = candidate;
	bound_candidates(table);
	return candidate;
}

/* Takes the message if it belongs to a batch; returns 0 if it does not. */
static int apply_part(struct batch_table *table,
		      Currant__Topic__BatchRecord *record, uint64_t offset,
		      int64_t now_ns)
{
	const Currant__Topic__BatchPart *part = record->part;
	struct batch_candidate **at = find_candidate(table, part);
	struct batch_candidate *candidate = *at;

	if (batch_table_find(table, part->batch))
		return 0;
	if (!candidate && part->index == 0 && part->count)
		candidate = add_candidate(table, part);
	if (!candidate || part->index != candidate->count ||
	    part->count != candidate->expected)
		return 0;
	candidate->messages[candidate->count++] = record;
	if (candidate->count < candidate->expected)
		return 1;
	accept(table, candidate, offset, now_ns);
	at = &table->candidates;
	while (*at != candidate)
		at = &(*at)->next;
	*at = candidate->next;
	free_candidate(candidate);
	return 1;
}

static struct batch_result *
new_result(const Currant__Topic__ItemResult *message)
{
	struct batch_result *result = xcalloc(1, sizeof(*result));

	result->len = message->text.len;
	result->text = xmalloc(result->len + 1);
	memcpy(result->text, message->text.data, result->len);
	result->text[result->len] = '\0';
	result->version_count = (uint32_t)message->n_versions;
	result->versions =
		xcalloc(message->n_versions + 1, sizeof(*result->versions));
	memcpy(result->versions, message->versions,
	       message->n_versions * sizeof(*result->versions));
	return result;
}

static void apply_result(struct batch_table *table,
			 const Currant__Topic__ItemResult *message,
			 uint64_t offset)
{
	struct batch *batch = batch_table_find(table, message->batch);
	struct batch_item *item;

	if (!batch || batch->ended || message->item >= batch->item_count)
		return;
	item = &batch->items[message->item];
	if (item->state != BATCH_ITEM_OPEN)
		return;
	item->state = message->state == CURRANT__TOPIC__ITEM_STATE__COMPLETE
			      ? BATCH_ITEM_COMPLETE
			      : BATCH_ITEM_GIVEN_UP;
	item->position = batch->listed_count;
	item->result_offset = offset;
	item->result = new_result(message);
	batch_item_note_progress(item, NULL);
	table->held_text_bytes += item->result->len;
	batch->listed[batch->listed_count++] = message->item;
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->listed)
			l->listed(l, batch, item);
	bound_texts(table);
	if (batch_is_done(batch))
		batch_drop_specs(batch);
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
	batch_drop_specs(batch);
}

static void apply_claim(struct batch_table *table,
			const Currant__Topic__PartitionClaim *claim,
			uint64_t offset)
{
	int is_owners = !strcmp(table->owner, claim->host) &&
			table->owner_incarnation == claim->incarnation;

	if (claim->release && !is_owners)
		return;
	if (copy_text(table->owner, sizeof(table->owner),
		      claim->release ? "" : claim->host))
		table->malformed++;
	table->owner_incarnation = claim->incarnation;
	table->claim_offset = offset;
	for (struct batch_table_listener *l = table->listeners; l; l = l->next)
		if (l->claimed)
			l->claimed(l);
}

/* Returns whether the message was kept. */
static int apply_progress(struct batch_table *table,
			  Currant__Topic__BatchRecord *record)
{
	const Currant__Topic__ItemProgress *progress = record->progress;
	struct batch *batch = batch_table_find(table, progress->batch);
	struct batch_item *item;

	if (!batch || batch_is_done(batch) ||
	    progress->item >= batch->item_count)
		return 0;
	item = &batch->items[progress->item];
	if (item->state != BATCH_ITEM_OPEN)
		return 0;
	batch_item_note_progress(item, record);
	return 1;
}

/* Returns whether the message was kept. */
static int apply_record(struct batch_table *table,
			Currant__Topic__BatchRecord *record, uint64_t offset,
			int64_t now_ns)
{
	switch (record->kind_case) {
	case CURRANT__TOPIC__BATCH_RECORD__KIND_PART:
		return apply_part(table, record, offset, now_ns);
	case CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT:
		apply_result(table, record->result, offset);
		return 0;
	case CURRANT__TOPIC__BATCH_RECORD__KIND_END:
		apply_end(table, record->end);
		return 0;
	case CURRANT__TOPIC__BATCH_RECORD__KIND_CLAIM:
		apply_claim(table, record->claim, offset);
		return 0;
	case CURRANT__TOPIC__BATCH_RECORD__KIND_PROGRESS:
		return apply_progress(table, record);
	default:
		/* A kind of a newer program. */
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

void batch_table_restore(struct batch_table *table, struct batch *batch,
			 uint64_t offset, const uint8_t *data, size_t len)
{
	Currant__Topic__BatchRecord *record =
		currant__topic__batch_record__unpack(NULL, len, data);
	const Currant__Topic__ItemResult *message;
	struct batch_item *item;

	if (record &&
	    record->kind_case == CURRANT__TOPIC__BATCH_RECORD__KIND_RESULT) {
		message = record->result;
		item = message->item < batch->item_count
			       ? &batch->items[message->item]
			       : NULL;
		if (item && !strcmp(message->batch, batch->id) &&
		    item->state != BATCH_ITEM_OPEN && !item->result &&
		    item->result_offset == offset) {
			item->result = new_result(message);
			table->held_text_bytes += item->result->len;
		}
	}
	if (record)
		currant__topic__batch_record__free_unpacked(record, NULL);
}

void batch_table_forget(struct batch_table *table, int64_t before_ms)
{
	struct batch *batch = table->oldest;

	while (batch) {
		struct batch *newer = batch->newer;

		if (batch->accepted_ms < before_ms && batch_is_done(batch))
			remove_batch(table, batch);
		batch = newer;
	}
}
