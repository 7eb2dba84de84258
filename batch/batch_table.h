#ifndef BATCH_BATCH_TABLE_H
#define BATCH_BATCH_TABLE_H

#include <stddef.h>

#include "batch/batch.h"

/*
 * The batches of one partition, built by applying its records in log order.
 * Does no I/O and reads no clock: the reader of the partition passes in each
 * record and the time.
 */
#define BATCH_TABLE_BUCKETS 256
#define BATCH_HOST_BYTES 64

struct batch_table;

/* Callbacks for the changes that a record makes; each may be NULL. */
struct batch_table_listener {
	void (*accepted)(struct batch_table_listener *listener,
			 struct batch *batch);
	/* An item got its result and its position. */
	void (*result_added)(struct batch_table_listener *listener,
			     struct batch *batch, uint32_t item);
	void (*ended)(struct batch_table_listener *listener,
		      struct batch *batch);
	/* The owner changed: another host runs the items, or none does. */
	void (*claimed)(struct batch_table_listener *listener);
	/* The batch is about to be freed. */
	void (*dropped)(struct batch_table_listener *listener,
			struct batch *batch);
	struct batch_table_listener *next;
};

/* An ended batch that was evicted while the log may still hold a repeat. */
struct evicted_batch {
	uint64_t id_hash;
	int64_t accepted_ms; /* wall clock */
	struct evicted_batch *next;
};

struct batch_table {
	struct batch *buckets[BATCH_TABLE_BUCKETS];
	struct batch *oldest;
	struct batch *newest;
	uint32_t count;
	struct evicted_batch *evicted;
	struct batch_table_listener *listeners;
	/* Host that runs the items; "": none. */
	char owner[BATCH_HOST_BYTES];
	uint64_t owner_incarnation;
	uint64_t claim; /* offset of the claim in effect plus 1; 0: none */
	int64_t claimed_ms; /* wall clock of the claiming host */
	int64_t claim_read_ns; /* when this daemon applied the claim */
	uint64_t malformed; /* records that could not be decoded in full */
};

void batch_table_init(struct batch_table *table);
void batch_table_finish(struct batch_table *table);
void batch_table_add_listener(struct batch_table *table,
			      struct batch_table_listener *listener);
void batch_table_remove_listener(struct batch_table *table,
				 struct batch_table_listener *listener);

void batch_table_apply(struct batch_table *table, uint64_t offset,
		       const uint8_t *data, size_t len, int64_t now_ns);

struct batch *batch_table_find(const struct batch_table *table, const char *id);

/*
 * Evicts ended batches that were accepted before `ended_before_ms`, and done
 * batches (see batch_is_done()) that were accepted before `done_before_ms`.
 * Both times are wall clock. The id of an ended batch is not accepted again
 * before the second time, as the log may hold a repeated acceptance behind its
 * end.
 */
void batch_table_evict(struct batch_table *table, int64_t ended_before_ms,
		       int64_t done_before_ms);

#endif
