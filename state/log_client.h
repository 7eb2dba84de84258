#ifndef STATE_LOG_CLIENT_H
#define STATE_LOG_CLIENT_H

#include <pthread.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/logger.h"
#include "base/published.h"
#include "base/rng.h"
#include "port/log_port.h"
#include "state/entry_ring.h"
#include "state/log_queue.h"
#include "state/snapshot.h"
#include "state/state.h"

/*
 * One daemon's way to the log: it owns the derived state, follows the log
 * with one thread and appends with another, many records to an entry. The
 * configuration is published, so that request paths read it without a lock.
 */
struct log_client_options {
	uint32_t flush_ms; /* ordinary records wait so long for company */
	uint32_t read_gap_ms; /* pause between two reads */
	uint32_t read_wait_ms; /* long poll */
	uint32_t append_timeout_ms;
	uint32_t retry_min_ms; /* after a failed call, doubled each time */
	uint32_t retry_max_ms;
	uint32_t reach_ms; /* silence after which the log is unreachable */
	uint32_t max_queued; /* records */
	uint32_t max_queued_bytes;
	uint32_t max_entry_records;
	uint32_t max_entry_bytes;
	uint32_t ring_entries; /* kept to serve peers */
	uint32_t ring_bytes;
	uint32_t snapshot_entries; /* applied since the last snapshot */
	uint32_t snapshot_age_ms; /* since the last snapshot was seen */
	uint32_t snapshot_part_bytes;
};

struct publish_listener {
	/*
	 * Readers of the configuration see all that the observer was told of.
	 * The call must be short, and must not read or feed the client.
	 */
	void (*on_published)(struct publish_listener *listener);
};

struct log_client {
	struct log_port *port;
	struct clock *clock;
	struct log_client_options options;
	struct log_part log;
	struct state_observer own_observer;
	struct state_observer *observer;
	struct publish_listener *listener; /* may be NULL */
	pthread_mutex_t publish_lock; /* taken before `lock` */
	struct published config;
	pthread_mutex_t lock; /* guards all that follows */
	pthread_cond_t work; /* for the appender */
	pthread_cond_t applied; /* for waiters and the follower's pauses */
	struct state *state;
	struct log_queue queue;
	struct entry_ring ring;
	struct snapshot_watch snapshots;
	uint64_t snapshot_seen; /* newest_taken_at when last looked at */
	uint64_t snapshot_due_offset;
	int64_t snapshot_due_ns; /* 0: not scheduled yet */
	struct rng rng;
	uint64_t head;
	uint64_t published_position;
	uint64_t published_next;
	int64_t last_read_ns;
	int has_read;
	int recovered; /* the state stands for the whole log before it */
	int verify_tail; /* compare the newest entry at the next read */
	int urgent_waiters;
	int stopping;
	int has_threads;
	uint32_t read_failures;
	uint32_t append_failures;
	int64_t flush_due_ns; /* 0: nothing waits */
	int64_t retry_due_ns;
	pthread_t follower;
	pthread_t appender;
	struct counter *appends;
	struct counter *append_failed;
	struct counter *appended_bytes;
	struct counter *reads;
	struct counter *read_failed;
	struct counter *entries;
	struct counter *broken;
	struct counter *unknown_kinds;
	struct counter *truncations;
	struct counter *queued;
};

void log_client_options_init(struct log_client_options *options);

/*
 * `writer` and `incarnation` name this run of this daemon; `incarnation`
 * must be random. `options` (NULL: defaults) and `log` are copied, `port`,
 * `clock` and `counters` (may be NULL) stay the caller's.
 */
void log_client_init(struct log_client *client, struct log_port *port,
		     struct clock *clock, const char *writer,
		     uint64_t incarnation,
		     const struct log_client_options *options,
		     struct counter_set *counters, const struct log_part *log);
void log_client_finish(struct log_client *client);

/*
 * Set before the threads start. The observer is called with the client's
 * lock held: it must be short and must not call the client. After the log
 * has lost its newest entries, the records that are left are shown again.
 */
void log_client_set_observer(struct log_client *client,
			     struct state_observer *observer);

/*
 * Set before the threads start. The listener is called after each read, once
 * the log has been recovered.
 */
void log_client_set_listener(struct log_client *client,
			     struct publish_listener *listener);

/* Starts and stops the two threads; stopping waits for calls in flight. */
int log_client_start(struct log_client *client, struct error *err);
void log_client_stop(struct log_client *client);

/*
 * Sets how often ordinary records are appended and the log is read, so that
 * many daemons stay within what the log service takes.
 */
void log_client_set_pace(struct log_client *client, uint32_t flush_ms,
			 uint32_t read_gap_ms);

enum log_submit_flags {
	LOG_SUBMIT_URGENT = 1, /* append at once if no append is in flight */
};

/*
 * Queues a copy of the record, whose origin is filled in here. It is sent
 * again until it has been seen in the log. ERROR_FULL if the queue is full.
 */
int log_client_submit(struct log_client *client, const Currant__Record *record,
		      uint32_t flags, struct error *err);

/*
 * Appends the record at once and waits until it has been applied. `result`
 * then says where and whether it was accepted, and the published
 * configuration is at least as new. ERROR_FULL and ERROR_UNAVAILABLE: it
 * will surely not take effect. ERROR_UNKNOWN_OUTCOME: it may have, or may
 * yet; it is not sent again.
 */
int log_client_append(struct log_client *client, const Currant__Record *record,
		      int64_t timeout_ns, struct log_result *result,
		      struct error *err);

/*
 * The same without blocking. `waiter` must be zeroed and live until
 * log_client_poll() has returned 1 or log_client_give_up() was called, which
 * returns 1 if the record may yet take effect, 0 if it surely does not.
 */
int log_client_begin(struct log_client *client, const Currant__Record *record,
		     uint32_t flags, struct log_waiter *waiter,
		     struct error *err);
int log_client_poll(struct log_client *client, struct log_waiter *waiter);
int log_client_give_up(struct log_client *client, struct log_waiter *waiter);

/*
 * Waits until nothing is queued and what was applied is published, so that
 * log_client_poll() tells the outcome; ERROR_TIMEOUT if it takes longer.
 */
int log_client_flush(struct log_client *client, int64_t timeout_ns,
		     struct error *err);

/* The configuration, without a lock; see base/published.h. */
const struct config *log_client_config_begin(struct log_client *client);
void log_client_config_end(struct log_client *client);

/* Calls `fn` with the state under the lock; it must not call the client. */
void log_client_with_state(struct log_client *client,
			   void (*fn)(const struct state *state, void *arg),
			   void *arg);

/* Next offset to be applied. */
uint64_t log_client_next_offset(struct log_client *client);

/* Learns of a later head from a peer. */
void log_client_note_head(struct log_client *client, uint64_t head);

/* Whether a read succeeded within the last `reach_ms`. */
int log_client_reachable(struct log_client *client, int64_t now_ns);

/* When a read succeeded last; -1 if none did. */
int64_t log_client_last_read_ns(struct log_client *client);

/* Whether all that was in the log at the first read has been applied. */
int log_client_recovered(struct log_client *client);

/* Applies entries that came from a peer; gaps and old ones are left out. */
int log_client_feed_entries(struct log_client *client,
			    const struct log_entry *entries, uint32_t count,
			    struct error *err);

/*
 * Copies up to `max` recent entries from offset `from` on, for a peer;
 * none if they are no longer kept. Free with log_chunk_finish().
 */
void log_client_copy_entries(struct log_client *client, uint64_t from,
			     uint32_t max, struct log_chunk *out);

/*
 * One step of each thread, for tests that run without them: reads once,
 * waiting up to `wait_ns`; appends once if something is queued. Return 1 if
 * something was read or appended, 0 if not, -1 on an error.
 */
int log_client_read_once(struct log_client *client, int64_t wait_ns,
			 struct error *err);
int log_client_append_once(struct log_client *client, struct error *err);

#endif
