#ifndef BATCH_ITEMS_LOAD_H
#define BATCH_ITEMS_LOAD_H

#include "batch/batch_partition.h"

/*
 * Reads from the log what a batch was submitted with. The batch must live
 * until the load is done or finished.
 */
struct items_load {
	struct batch_partition *partition;
	struct topic_log *log;
	struct topic_read read;
	int running;
	uint64_t offset; /* of the batch's first record */
	uint32_t records; /* that it has */
	uint32_t item_count;
	/* By number; NULL where it was not read. They point into `messages`. */
	const Currant__Topic__BatchItem **items;
	Currant__Topic__TextRecord **messages;
	uint32_t message_count;
	/* `ok` is 0 if the log could not be read, or does not hold them. */
	void (*done)(struct items_load *load, int ok);
	void *arg;
};

void items_load_start(struct items_load *load, struct topic_log *log,
		      struct batch_partition *partition,
		      const struct batch *batch,
		      void (*done)(struct items_load *load, int ok), void *arg);

/* Ends a running read and frees what was read. */
void items_load_finish(struct items_load *load);

#endif
