#ifndef STORE_KEYED_FOLLOWER_H
#define STORE_KEYED_FOLLOWER_H

#include "base/counter.h"
#include "base/rng.h"
#include "base/timer.h"
#include "policy/list_patience.h"
#include "port/topic_log.h"

/*
 * Follows a keyed topic: first lists the newest record of each key, page after
 * page, then reads the records appended after the first page. Lists again if
 * records that it has yet to read were dropped from the log.
 */
#define KEYED_KEY_BYTES 256

struct keyed_follower;

struct keyed_follower_vtable {
	/* A record of the key; the same record may be passed more than once. */
	void (*put)(struct keyed_follower *follower, const char *key,
		    const void *value, size_t len, uint64_t offset);
	/* The key was deleted by the record at `offset`. */
	void (*drop)(struct keyed_follower *follower, const char *key,
		     uint64_t offset);
	/*
	 * A listing starts, and has passed all keys as of `offset`. A key with
	 * an older record that was not passed to put() in between no longer
	 * exists. Both may be NULL.
	 */
	void (*listing)(struct keyed_follower *follower);
	void (*listed)(struct keyed_follower *follower, uint64_t offset);
	/* All records that existed at `as_of_ns` were passed. */
	void (*caught_up)(struct keyed_follower *follower, int64_t as_of_ns);
	/*
	 * Reads succeed again after failures; `outage_ns` have passed since the
	 * last success.
	 */
	void (*gap)(struct keyed_follower *follower, int64_t outage_ns);
	/*
	 * Reads have failed for a second, and succeed again after that. All
	 * callbacks from caught_up() on may be NULL.
	 */
	void (*lost)(struct keyed_follower *follower,
		     enum topic_outcome outcome);
	void (*regained)(struct keyed_follower *follower, int64_t outage_ns);
};

struct keyed_follower_settings {
	const char *topic;
	int64_t pause_ns; /* between an answer with records and the next read */
	int64_t watch_ns; /* how long a read waits for new records */
	/* Beyond that wait; of a page, while pages come in time. */
	int64_t timeout_ns;
};

struct keyed_follower {
	const struct keyed_follower_vtable *vt;
	struct topic_log *log;
	struct timer_service *timers;
	struct clock *clock;
	int64_t pause_ns;
	struct topic_newest newest;
	struct topic_read read;
	struct timer timer;
	int64_t page_limit_ns; /* while pages come in time */
	struct list_patience patience;
	struct rng rng;
	int running; /* a call is in flight */
	int listing; /* 1: listing keys, 0: reading records */
	int is_listed; /* a listing was completed at least once */
	uint64_t listing_end; /* end of the log as of the first page */
	int64_t listing_start_ns; /* start of the call for that page */
	int has_listing_end;
	uint64_t next; /* offset to read next */
	uint32_t failures; /* consecutive */
	int is_lost; /* reads have failed for a second */
	int64_t last_success_ns; /* start of the last call that succeeded */
	int64_t call_start_ns; /* start of the call in flight */
	struct counter *reads;
	struct counter *failed_reads;
};

void keyed_follower_init(struct keyed_follower *follower,
			 const struct keyed_follower_vtable *vt,
			 struct topic_log *log, struct timer_service *timers,
			 const struct keyed_follower_settings *settings,
			 struct counter_set *counters);
void keyed_follower_finish(struct keyed_follower *follower);

void keyed_follower_start(struct keyed_follower *follower);

#endif
