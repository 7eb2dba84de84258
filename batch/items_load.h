#ifndef BATCH_ITEMS_LOAD_H
#define BATCH_ITEMS_LOAD_H

#include "batch/batch_partition.h"

/*
 * Reads the submitted items of a batch from the log. The batch must not be
 * freed until done() was called or the load was finished.
 */
struct items_load {
	struct batch_partition *partition;
	struct topic_log *log;
	struct topic_read read;
	int running;
	const struct items_position *position;
	uint32_t record_count; /* of all runs */
	uint64_t offset; /* of the next items record */
	uint32_t run_left; /* records from there on that follow on */
	uint32_t run_value; /* of the next run in the position */
	uint32_t item_count;
	/* By item number; NULL: not read yet. They point into `messages`. */
	const Currant__Topic__BatchItem **items;
	Currant__Topic__TextRecord **messages;
	uint32_t message_count;
	/* `ok` is 0 if the log cannot be read or does not hold all items. */
	void (*done)(struct items_load *load, int ok);
	void *arg;
};

void items_load_start(struct items_load *load, struct topic_log *log,
		      struct batch_partition *partition,
		      const struct batch *batch,
		      void (*done)(struct items_load *load, int ok), void *arg);

/* Cancels a read in flight and frees the items. */
void items_load_finish(struct items_load *load);

#endif
