#include "batch/items_store.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static void write_next(struct items_store *store);

/* Records of consecutive calls mostly follow on one another in the log. */
static void add_run(struct items_position *position, uint64_t offset,
		    uint32_t count)
{
	uint32_t values = position->run_values;

	if (!position->records) {
		position->offset = offset;
		position->records = count;
	} else if (!values && position->offset + position->records == offset) {
		position->records += count;
	} else if (values &&
		   position->runs[values - 2] + position->runs[values - 1] ==
			   offset) {
		position->runs[values - 1] += count;
	} else {
		position->runs = xrealloc(
			position->runs, (values + 2) * sizeof(*position->runs));
		position->runs[values] = offset;
		position->runs[values + 1] = count;
		position->run_values += 2;
	}
}

static void on_written(struct batch_write *write,
		       enum topic_write_outcome outcome)
{
	struct items_store *store = write->arg;
	uint64_t offset = write->base.offset;
	uint32_t count = write->base.record_count;

	batch_write_free(write);
	store->write = NULL;
	if (outcome != TOPIC_WRITE_DONE || store->is_stopped) {
		store->done(store, ITEMS_NOT_STORED);
		return;
	}
	add_run(&store->position, offset, count);
	write_next(store);
}

static void write_next(struct items_store *store)
{
	struct batch_write *write;

	if (store->next_item == store->draft->item_count) {
		store->done(store, ITEMS_STORED);
		return;
	}
	write = batch_write_new(store->partition, 1, on_written, store);
	if (batch_record_add_items(&write->base.records, store->batch,
				   store->draft, store->log, &store->next_item,
				   &write->base.record_count)) {
		batch_write_free(write);
		store->done(store, ITEMS_TOO_LARGE);
		return;
	}
	store->write = write;
	batch_write_start(write);
}

void items_store_start(struct items_store *store,
		       struct batch_partition *partition,
		       const struct topic_log *log, const char *batch,
		       const struct batch_draft *draft,
		       void (*done)(struct items_store *store,
				    enum items_store_outcome),
		       void *arg)
{
	memset(store, 0, sizeof(*store));
	store->partition = partition;
	store->log = log;
	store->batch = batch;
	store->draft = draft;
	store->done = done;
	store->arg = arg;
	write_next(store);
}

int items_store_cancel(struct items_store *store)
{
	store->is_stopped = 1;
	if (!store->write)
		return 1;
	if (!batch_write_cancel(store->write))
		return 0;
	batch_write_free(store->write);
	store->write = NULL;
	return 1;
}

void items_store_finish(struct items_store *store)
{
	free(store->position.runs);
	store->position.runs = NULL;
}
