#ifndef BATCH_BATCH_PARTITION_H
#define BATCH_BATCH_PARTITION_H

#include "base/record_log.h"
#include "batch/batch_record.h"
#include "batch/batch_table.h"
#include "store/topic_follower.h"
#include "store/topic_writer.h"

/*
 * One partition of the batch topic: its batches as far as they were read, and
 * the way to append to it and to the texts that belong to it. All batches of
 * one model share a partition, so that one host runs them.
 */
struct batch_partition {
	struct topic_follower follower;
	struct topic_writer writer;
	struct topic_writer texts;
	struct batch_table table;
	struct clock *clock;
	uint32_t number;
};

/*
 * Records that are appended; freed by whoever added them, once done, or by
 * batch_set_finish().
 */
struct batch_write {
	struct topic_write base;
	struct batch_partition *partition;
	int is_text; /* to the text topic */
	/*
	 * By then the table holds them, if they could be read in order. Of
	 * texts, `base.offset` tells where they stand.
	 */
	void (*done)(struct batch_write *write,
		     enum topic_write_outcome outcome);
	void *arg;
	/* Frees `arg` where done() will not be called; NULL: not needed */
	void (*free_arg)(void *arg);
};

/* A write with no records yet; `is_text` for the text topic. */
struct batch_write *batch_write_new(struct batch_partition *partition,
				    int is_text,
				    void (*done)(struct batch_write *write,
						 enum topic_write_outcome),
				    void *arg);
void batch_write_free(struct batch_write *write);

/* Adds one record to the write. */
void batch_write_add(struct batch_write *write,
		     const Currant__Topic__BatchRecord *record);

void batch_write_start(struct batch_write *write);

/* Returns 0 if it was sent already, so that it may take effect. */
int batch_write_withdraw(struct batch_write *write);

/* Fills what a read of the partition's texts needs, but for done(). */
void batch_text_read_init(const struct batch_partition *partition,
			  struct topic_read *read, uint64_t from,
			  uint32_t max_bytes);

/* All partitions of the topic. */
struct batch_set {
	struct batch_partition *partitions;
	uint32_t count;
};

void batch_set_init(struct batch_set *set, struct topic_log *log,
		    struct timer_service *timers, const char *writer_name,
		    struct counter_set *counters);
void batch_set_finish(struct batch_set *set);

/* Where the batches of a model stand; of a route, if there is no model. */
struct batch_partition *batch_set_place(struct batch_set *set,
					const char *model, const char *path);

/* See batch_table_forget(). */
void batch_set_forget(struct batch_set *set, int64_t ended_before_ms,
		      int64_t done_before_ms);

/* The batch as far as it was read; `*in` is its partition. */
struct batch *batch_set_find(struct batch_set *set, const char *id,
			     struct batch_partition **in);

#endif
