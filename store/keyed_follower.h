#ifndef STORE_KEYED_FOLLOWER_H
#define STORE_KEYED_FOLLOWER_H

#include "base/counter.h"
#include "base/timer.h"
#include "port/topic_log.h"

/*
 * Follows a keyed topic: first lists the newest record of each key, then
 * reads what is written from there on; lists anew where history was dropped.
 */
#define KEYED_KEY_BYTES 256

struct keyed_follower;

struct keyed_follower_vtable {
	/* A record of the key; one that was told before may come again. */
	void (*put)(struct keyed_follower *follower, const char *key,
		    const void *value, size_t len, uint64_t offset);
	void (*drop)(struct keyed_follower *follower, const char *key,
		     uint64_t offset);
	/*
	 * All keys were listed as of `offset`: one with an older record that
	 * was not told since listing() is gone. Both may be NULL.
	 */
	void (*listing)(struct keyed_follower *follower);
	void (*listed)(struct keyed_follower *follower, uint64_t offset);
	/* All that stood at `as_of_ns` was told. */
	void (*caught_up)(struct keyed_follower *follower, int64_t as_of_ns);
	/* Reads that failed work again, the last good one is so old. */
	void (*gap)(struct keyed_follower *follower, int64_t away_ns);
	/* The same, told once it lasts. All of these may be NULL. */
	void (*lost)(struct keyed_follower *follower,
		     enum topic_outcome outcome);
	void (*regained)(struct keyed_follower *follower, int64_t away_ns);
};

struct keyed_follower_settings {
	const char *topic;
	int64_t pause_ns; /* between an answer with news and the next read */
	int64_t watch_ns; /* how long a read waits for news */
	int64_t timeout_ns; /* beyond that */
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
	int running; /* a call is in flight */
	int listing; /* else reading */
	int is_listed; /* was, at least once */
	uint64_t listing_end; /* of the first page */
	int64_t listing_began_ns; /* the call for that page did */
	int has_listing_end;
	uint64_t next;
	uint32_t failures; /* in a row */
	int is_lost;
	int64_t answered_ns; /* the last call that worked began then */
	int64_t began_ns; /* the running one */
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
