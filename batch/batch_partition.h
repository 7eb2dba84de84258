#ifndef BATCH_BATCH_PARTITION_H
#define BATCH_BATCH_PARTITION_H

#include "base/record_log.h"
#include "batch/batch_record.h"
#include "batch/batch_table.h"
#include "store/topic_follower.h"
#include "store/topic_writer.h"

/*
 * One partition of the batch topic: the batches that were read from it, and
 * writers for it and for the partition of the text topic with the same number.
 * All batches of one model share a partition, so that one host runs them.
 */
struct batch_partition {
	struct topic_follower follower;
	struct topic_writer writer;
	struct topic_writer text_writer;
	struct batch_table table;
	struct clock *clock;
	uint32_t number;
};

/*
 * A write of records to a partition. The caller that started it frees it once
 * done() was called; batch_set_finish() frees the writes that are left.
 */
struct batch_write {
	struct topic_write base;
	struct batch_partition *partition;
	int is_text; /* appends to the text topic */
	/*
	 * Called after the records were applied to the table, if all earlier
	 * ones had been applied. For texts, `base.offset` is the offset of the
	 * first record.
	 */
	void (*done)(struct batch_write *write,
		     enum topic_write_outcome outcome);
	void *arg;
	/* Frees `arg` if done() will not be called; NULL: not needed. */
	void (*free_arg)(void *arg);
};

/* Allocates a write without records; `is_text` selects the text topic. */
struct batch_write *batch_write_new(struct batch_partition *partition,
				    int is_text,
				    void (*done)(struct batch_write *write,
						 enum topic_write_outcome),
				    void *arg);
void batch_write_free(struct batch_write *write);

void batch_write_add(struct batch_write *write,
		     const Currant__Topic__BatchRecord *record);

void batch_write_start(struct batch_write *write);

/*
 * Returns 0 if the write was sent already, so that it may still take effect
 * and done() will be called.
 */
int batch_write_cancel(struct batch_write *write);

/* Prepares a read of the partition's texts; the caller sets done(). */
void batch_text_read_init(const struct batch_partition *partition,
			  struct topic_read *read, uint64_t from,
			  uint32_t max_bytes);

/* All partitions of the batch topic. */
struct batch_set {
	struct batch_partition *partitions;
	uint32_t count;
};

void batch_set_init(struct batch_set *set, struct topic_log *log,
		    struct timer_service *timers, const char *writer_name,
		    struct counter_set *counters);
void batch_set_finish(struct batch_set *set);

/*
 * The partition for batches of a model; for the batch of this id if `model` is
 * "". A repeated submission is recognised within its partition only, so the
 * choice may depend on nothing but the submission: not on the configuration,
 * which differs between daemons and over time.
 */
struct batch_partition *batch_set_choose_partition(struct batch_set *set,
						   const char *model,
						   const char *id);

/* See batch_table_evict(). */
void batch_set_evict(struct batch_set *set, int64_t ended_before_ms,
		     int64_t done_before_ms);

/*
 * Finds a batch that was read from the log and sets `*partition`; returns NULL
 * and leaves `*partition` alone if there is none.
 */
struct batch *batch_set_find(struct batch_set *set, const char *id,
			     struct batch_partition **partition);

#endif
