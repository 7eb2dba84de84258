#ifndef BATCH_RESULTS_LOAD_H
#define BATCH_RESULTS_LOAD_H

#include "batch/batch_partition.h"

/*
 * Reads the texts of results from the log, from one position on, as many as
 * fit into one answer.
 */
struct wanted_text {
	uint64_t offset;
	uint32_t bytes; /* 0: the result has no text */
	Currant__Topic__TextRecord *record; /* NULL: not read yet */
};

struct results_load {
	struct batch_partition *partition;
	struct topic_log *log;
	struct topic_read read;
	int running;
	uint32_t reads; /* that were made */
	struct wanted_text *wanted; /* by position, from `after` on */
	uint32_t count;
	/* Called from the loop, never from within results_load_start(). */
	void (*done)(struct results_load *load);
	void *arg;
};

/*
 * Returns how many results there are to read; if there are none, or none of
 * them has a text, done() is not called.
 */
uint32_t results_load_start(struct results_load *load, struct topic_log *log,
			    struct batch_partition *partition,
			    const struct batch *batch, uint32_t after,
			    void (*done)(struct results_load *load), void *arg);

/* Whether reads are still to be made. */
int results_load_is_running(const struct results_load *load);

/* How many results, from the first on, have all that belongs to them. */
uint32_t results_load_ready(const struct results_load *load);

/* Ends a running read and frees what was read. */
void results_load_finish(struct results_load *load);

#endif
