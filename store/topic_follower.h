#ifndef STORE_TOPIC_FOLLOWER_H
#define STORE_TOPIC_FOLLOWER_H

#include "base/counter.h"
#include "base/timer.h"
#include "port/topic_log.h"

/*
 * Applies the records of one partition in order, from the oldest that is
 * kept. It reads on demand, up to the end that the partition has by then, or
 * follows it, so that new records come by themselves.
 */
struct topic_follower;

struct topic_follower_vtable {
	void (*apply)(struct topic_follower *follower, uint64_t offset,
		      const uint8_t *data, size_t len);
	/* All that was read by one call has been applied; may be NULL. */
	void (*applied)(struct topic_follower *follower);
};

/* Waits for the follower to have read all that stood when it was asked. */
struct topic_refresh {
	/* `ok` is 0 if the log could not be read in time. */
	void (*done)(struct topic_refresh *refresh, int ok);
	void *arg;
	struct topic_refresh *next;
};

struct topic_follower {
	const struct topic_follower_vtable *vt;
	struct topic_log *log;
	struct timer_service *timers;
	struct topic_read catch_up; /* reads without waiting */
	struct topic_read watch; /* waits for new records */
	int catching_up;
	int watching;
	uint32_t wanted; /* how many want it followed */
	uint64_t next; /* offset that is applied next */
	uint64_t known_end; /* the highest end that an answer showed */
	uint32_t catch_up_failures; /* in a row */
	uint32_t watch_failures; /* in a row */
	struct timer retry; /* of the watch */
	struct topic_refresh *served; /* by the running catch-up */
	struct topic_refresh *waiting; /* asked since it began */
	struct counter *reads;
	struct counter *failed_reads;
};

void topic_follower_init(struct topic_follower *follower,
			 const struct topic_follower_vtable *vt,
			 struct topic_log *log, struct timer_service *timers,
			 const char *topic, uint32_t partition,
			 struct counter_set *counters);

/* Waiting refreshes are dropped without a call. */
void topic_follower_finish(struct topic_follower *follower);

/*
 * Reads up to the end. done() comes from the loop, never from within; for
 * records that this process appended, apply() may have come before.
 */
void topic_follower_refresh(struct topic_follower *follower,
			    struct topic_refresh *refresh);

/* Gives up a wait; its done() is not called. */
void topic_follower_drop_refresh(struct topic_follower *follower,
				 struct topic_refresh *refresh);

/* Follows the partition for as long as anybody wants it. */
void topic_follower_want(struct topic_follower *follower);
void topic_follower_unwant(struct topic_follower *follower);

/*
 * This process has appended `records` at `offset`: applies them at once if
 * all before them was applied, else reads what is missing.
 */
void topic_follower_note_own(struct topic_follower *follower, uint64_t offset,
			     const struct strbuf *records);

#endif
