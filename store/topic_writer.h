#ifndef STORE_TOPIC_WRITER_H
#define STORE_TOPIC_WRITER_H

#include "base/counter.h"
#include "base/timer.h"
#include "port/topic_log.h"

/*
 * Appends to one partition, one call at a time: what comes meanwhile goes out
 * together with the next call. Each call carries this process's name, an epoch
 * and a sequence number, so that a call that was not answered is sent again
 * until its outcome is known, and takes effect once, however late the first
 * one is carried out.
 */
struct topic_write;

enum topic_write_outcome {
	TOPIC_WRITE_DONE = 0, /* `offset` is set */
	TOPIC_WRITE_DONE_SOMEWHERE, /* done; the offset is not known */
	TOPIC_WRITE_REFUSED, /* it was not and will not be done */
};

struct topic_write {
	/*
	 * Filled by the caller; freed with the write by its owner, in done()
	 * or dropped(), or after it was withdrawn.
	 */
	struct strbuf records; /* as topic_add_record() writes them */
	uint32_t record_count;
	int persistent; /* a refusal is tried again until it is done */
	/*
	 * Called when the outcome is known, from the loop, never from within
	 * topic_writer_add(); the write may be freed then.
	 */
	void (*done)(struct topic_write *write,
		     enum topic_write_outcome outcome);
	/* The writer is finished before the outcome is known. */
	void (*dropped)(struct topic_write *write);
	void *arg;

	uint64_t offset; /* of its first record */
	struct topic_write *next;
};

/*
 * A write that is allocated by itself, without records; topic_write_free()
 * frees it in done(), and where it is dropped.
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
	struct topic_write *sent; /* those in the call, in order */
	struct topic_write *waiting;
	struct topic_write **waiting_tail;
	uint64_t waiting_bytes;
	int in_flight; /* a call is running */
	int may_be_done; /* a call of this sequence number got no answer */
	uint32_t failures; /* in a row */
	struct timer retry;
	int retry_pending;
	struct counter *appends;
	struct counter *lost_answers;
	struct counter *refusals;
};

/*
 * `name` must not have been used by any process before. `counters` may be
 * NULL.
 */
void topic_writer_init(struct topic_writer *writer, struct topic_log *log,
		       struct timer_service *timers, const char *topic,
		       uint32_t partition, const char *name,
		       struct counter_set *counters);

/* Calls dropped() of each write whose done() was not called. */
void topic_writer_finish(struct topic_writer *writer);

void topic_writer_add(struct topic_writer *writer, struct topic_write *write);

/*
 * Takes a write back that was not sent yet; its done() is not called. Returns
 * 0 if it was sent: then it may take effect, and its done() will be called.
 */
int topic_writer_withdraw(struct topic_writer *writer,
			  struct topic_write *write);

/* Whether nothing waits and no call is running. */
int topic_writer_is_idle(const struct topic_writer *writer);

#endif
