#ifndef BATCH_ITEMS_STORE_H
#define BATCH_ITEMS_STORE_H

#include "batch/batch_partition.h"

/*
 * Appends the items of a submission to the text topic, in as many calls as the
 * log's limits need. Records of others may come between those of two calls.
 */
enum items_store_outcome {
	ITEMS_STORED = 0,
	ITEMS_NOT_STORED,
	ITEMS_TOO_LARGE, /* an item is larger than the log takes */
};

struct items_store {
	struct batch_partition *partition;
	const struct topic_log *log;
	const char *batch;
	const struct batch_draft *draft;
	uint32_t next_item; /* the first one without a write */
	struct batch_write *write; /* NULL: none in flight */
	int is_stopped;
	struct items_position position;
	/* Called once, possibly from within items_store_start(). */
	void (*done)(struct items_store *store, enum items_store_outcome);
	void *arg;
};

/* `batch` and `draft` must live until the store is finished. */
void items_store_start(struct items_store *store,
		       struct batch_partition *partition,
		       const struct topic_log *log, const char *batch,
		       const struct batch_draft *draft,
		       void (*done)(struct items_store *store,
				    enum items_store_outcome),
		       void *arg);

/*
 * Stops after the call in flight. Returns 0 if there is one: then done() will
 * be called.
 */
int items_store_cancel(struct items_store *store);

void items_store_finish(struct items_store *store);

#endif
