#ifndef STATE_LOG_QUEUE_H
#define STATE_LOG_QUEUE_H

#include <stdint.h>

#include "base/error.h"
#include "proto/record.pb-c.h"

/*
 * The records of one daemon that are not yet known to stand in the log, in
 * order of sequence. One append is in flight at a time and holds the oldest
 * of them. A record whose append lost its answer is sent again as it was.
 * Once a later record of this daemon has been applied, an earlier one that
 * was not can never be; it gets a new sequence. The caller excludes other
 * threads.
 */
struct log_result {
	uint64_t position;
	int accepted;
	/*
	 * If it was not accepted. ERROR_UNKNOWN_OUTCOME: the state was taken
	 * from a snapshot that may hold the record; it is not sent again.
	 */
	struct error why;
};

/* Where the result of an awaited record goes. */
struct log_waiter {
	int seen; /* applied, and `result` is filled */
	int urgent;
	struct log_result result;
};

struct log_item {
	Currant__Record *record;
	Currant__Origin origin;
	size_t packed_bytes;
	int urgent;
	int in_flight;
	int maybe_sent; /* an append that held it lost its answer */
	int landed; /* an append that held it was answered */
	int abandoned; /* nobody waits; it is not sent again */
	int seen;
	uint64_t landed_offset;
	struct log_waiter *waiter;
	struct log_item *next;
};

struct log_queue {
	char *writer;
	uint64_t incarnation;
	uint64_t last_sequence;
	struct log_item *first;
	struct log_item **tail; /* where the next one is linked */
	uint32_t count;
	uint32_t max_count;
	size_t bytes;
	size_t max_bytes;
};

void log_queue_init(struct log_queue *queue, const char *writer,
		    uint64_t incarnation, uint32_t max_count, size_t max_bytes);
void log_queue_finish(struct log_queue *queue);

/*
 * Adds a copy of the record under the next sequence. `waiter` may be NULL.
 * Returns NULL with ERROR_FULL if a bound is reached.
 */
struct log_item *log_queue_add(struct log_queue *queue,
			       const Currant__Record *record, int urgent,
			       struct log_waiter *waiter, struct error *err);

/* How many records wait to be sent, and whether one of them is urgent. */
uint32_t log_queue_unsent(const struct log_queue *queue, int *urgent);

/*
 * Packs the oldest unsent records as one entry and marks them as in flight.
 * Returns their number; the caller frees `*data`.
 */
uint32_t log_queue_pack(struct log_queue *queue, uint32_t max_records,
			size_t max_bytes, uint8_t **data, size_t *len);

/* Takes the outcome of the append in flight; ERROR_NONE: it stands. */
void log_queue_append_done(struct log_queue *queue, enum error_code outcome,
			   uint64_t offset);

/* A record of this daemon has been applied. */
void log_queue_seen(struct log_queue *queue, uint64_t sequence,
		    const struct log_result *result);

/*
 * All entries before `next_offset` are applied. What was answered to stand
 * there and was not seen is sent again; returns how many records that is.
 */
uint32_t log_queue_passed(struct log_queue *queue, uint64_t next_offset);

/*
 * A snapshot stands for what was applied up to `sequence` without having
 * been seen: whether these records took effect is unknown. Their waiters
 * get ERROR_UNKNOWN_OUTCOME as the reason.
 */
void log_queue_skipped(struct log_queue *queue, uint64_t sequence);

/* The log lost entries: what was answered may be gone. */
void log_queue_forget_landed(struct log_queue *queue);

/*
 * Its waiter gives up. Returns 1 if the record may yet take effect, 0 if it
 * surely does not.
 */
int log_queue_abandon(struct log_queue *queue, struct log_waiter *waiter);

#endif
