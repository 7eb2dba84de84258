#ifndef STORE_TOPIC_WRITER_H
#define STORE_TOPIC_WRITER_H

#include "base/counter.h"
#include "base/timer.h"
#include "port/topic_log.h"

/*
 * Appends to one partition, with one call in flight: writes added meanwhile are
 * sent together in the next call. Calls are idempotent: each carries the name
 * of this process, an epoch and a sequence number. An unanswered call is thus
 * retried until its outcome is known and takes effect once, however late the
 * first attempt is executed.
 */
struct topic_write;

enum topic_write_outcome {
	TOPIC_WRITE_DONE = 0, /* `offset` is set */
	TOPIC_WRITE_DONE_OFFSET_UNKNOWN, /* done; the offset is unknown */
	TOPIC_WRITE_REFUSED, /* has not taken effect and never will */
};

struct topic_write {
	/*
	 * Filled by the caller, who frees them with the write in done() or
	 * dropped(), or after withdrawing it.
	 */
	struct strbuf records; /* as topic_add_record() writes them */
	uint32_t record_count;
	int retry_until_done; /* retried after a rejection until it is done */
	/*
	 * Called when the outcome is known, from the event loop, never from
	 * within topic_writer_add(). May free the write.
	 */
	void (*done)(struct topic_write *write,
		     enum topic_write_outcome outcome);
	/* Called if the writer is finished before the outcome is known. */
	void (*dropped)(struct topic_write *write);
	void *arg;

	uint64_t offset; /* of the first record */
	struct topic_write *next;
};

/*
 * Allocates a write without records. The caller frees it by topic_write_free()
 * in done(); dropped() is set to topic_write_free().
 */
struct topic_write *topic_write_new(void (*done)(struct topic_write *write,
						 enum topic_write_outcome),
				    void *arg);
void topic_write_free(struct topic_write *write);

struct topic_writer {
	struct topic_log *log;
	struct timer_service *timers;
	uint32_t partition;
	struct topic_append append;
	struct strbuf group; /* records of the call in flight */
	struct topic_write *sent; /* writes in that call, in order */
	struct topic_write *waiting;
	struct topic_write **waiting_tail;
	uint64_t waiting_bytes;
	int in_flight; /* a call is in flight */
	int has_unanswered_call; /* with the current sequence number */
	uint32_t failures; /* consecutive */
	struct timer retry;
	int retry_pending;
	struct counter *appends;
	struct counter *lost_answers;
	struct counter *refusals;
};

/*
 * `name` must never have been used by another process. `counters` may be NULL.
 */
void topic_writer_init(struct topic_writer *writer, struct topic_log *log,
		       struct timer_service *timers, const char *topic,
		       uint32_t partition, const char *name,
		       struct counter_set *counters);

/* Calls dropped() of each write whose done() was not called. */
void topic_writer_finish(struct topic_writer *writer);

void topic_writer_add(struct topic_writer *writer, struct topic_write *write);

/*
 * Removes a write that is not sent yet and returns 1; its done() is not called.
 * Returns 0 if it is already sent: then it may take effect, and its done() will
 * be called.
 */
int topic_writer_withdraw(struct topic_writer *writer,
			  struct topic_write *write);

/* Whether no write is waiting or in flight. */
int topic_writer_is_idle(const struct topic_writer *writer);

#endif
