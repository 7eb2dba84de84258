#ifndef BATCH_RESULTS_LOAD_H
#define BATCH_RESULTS_LOAD_H

#include "batch/batch_partition.h"

/*
 * Reads the texts of a batch's results from the log, starting at a given
 * position, as many as fit into one answer.
 */
struct result_text {
	uint64_t offset;
	uint32_t bytes; /* 0: the result has no text */
	Currant__Topic__TextRecord *record; /* NULL: not read yet */
};

struct results_load {
	struct batch_partition *partition;
	struct topic_log *log;
	struct topic_read read;
	int running;
	uint32_t read_count; /* reads sent so far */
	struct result_text *texts; /* by position, starting at `after` */
	uint32_t count;
	/* Called from the event loop, never from results_load_start(). */
	void (*done)(struct results_load *load);
	void *arg;
};

/*
 * Returns the number of results that the answer will hold. If there are none,
 * or none of them has a text, done() is not called.
 */
uint32_t results_load_start(struct results_load *load, struct topic_log *log,
			    struct batch_partition *partition,
			    const struct batch *batch, uint32_t after,
			    void (*done)(struct results_load *load), void *arg);

/* Whether a read is in flight, so that done() is still to come. */
int results_load_is_running(const struct results_load *load);

/* Number of leading results whose texts are read or empty. */
uint32_t results_load_ready(const struct results_load *load);

/* Cancels a read in flight and frees the texts. */
void results_load_finish(struct results_load *load);

#endif
