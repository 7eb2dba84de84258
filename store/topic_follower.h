#ifndef STORE_TOPIC_FOLLOWER_H
#define STORE_TOPIC_FOLLOWER_H

#include "base/counter.h"
#include "base/timer.h"
#include "port/topic_log.h"

/*
 * Applies the records of one partition in order, from the oldest one in the
 * log. It reads up to the current end on request (refresh), or watches the
 * partition and applies new records as they are appended.
 */
struct topic_follower;

struct topic_follower_vtable {
	void (*apply)(struct topic_follower *follower, uint64_t offset,
		      const uint8_t *data, size_t len);
	/* All records of one read have been applied; may be NULL. */
	void (*applied)(struct topic_follower *follower);
	/*
	 * The log has dropped the records from `from` to `to` before they were
	 * read; may be NULL.
	 */
	void (*skipped)(struct topic_follower *follower, uint64_t from,
			uint64_t to);
};

/* A request to apply all records that the partition has at that time. */
struct topic_refresh {
	/* `ok` is 0 if several reads in a row failed or brought no progress. */
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
	uint32_t watch_refs; /* number of users that need the watch */
	uint64_t next; /* offset to apply next */
	uint64_t known_end; /* the highest end in any answer */
	uint32_t catch_up_failures; /* consecutive */
	uint32_t watch_failures; /* consecutive */
	struct timer retry; /* of the watch */
	struct topic_refresh *current_refreshes; /* of the running catch-up */
	struct topic_refresh *next_refreshes; /* of the next catch-up */
	struct counter *reads;
	struct counter *failed_reads;
};

void topic_follower_init(struct topic_follower *follower,
			 const struct topic_follower_vtable *vt,
			 struct topic_log *log, struct timer_service *timers,
			 const char *topic, uint32_t partition,
			 struct counter_set *counters);

/* Pending refreshes are dropped; their done() is not called. */
void topic_follower_finish(struct topic_follower *follower);

/*
 * Reads up to the end of the partition. done() is called from the event loop,
 * never from within this function. apply() may have been called before for
 * records that this process appended.
 */
void topic_follower_refresh(struct topic_follower *follower,
			    struct topic_refresh *refresh);

/* Cancels a refresh; its done() is not called. */
void topic_follower_cancel_refresh(struct topic_follower *follower,
				   struct topic_refresh *refresh);

/* Reference count of the watch: it runs while there is at least one user. */
void topic_follower_watch_ref(struct topic_follower *follower);
void topic_follower_watch_unref(struct topic_follower *follower);

/*
 * To be called when this process has appended `records` at `offset`. Applies
 * them at once if all previous records are applied, else reads the missing
 * ones.
 */
void topic_follower_apply_own(struct topic_follower *follower, uint64_t offset,
			      const struct strbuf *records);

#endif
