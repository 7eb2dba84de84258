#include "store/topic_follower.h"

#include <string.h>

#include "base/alloc.h"
#include "base/backoff.h"

/* Timeout of a read, beyond the wait that it requests from the store. */
#define READ_TIMEOUT_NS (700 * NS_PER_MS)
#define READ_MAX_BYTES (1024 * 1024)
/*
 * How long a watch waits for records. Wait and timeout together bound the time
 * until a connection without answers is detected.
 */
#define WATCH_NS (1500 * NS_PER_MS)
#define RETRY_FIRST_NS (50 * NS_PER_MS)
#define RETRY_MAX_NS (200 * NS_PER_MS)
/* A refresh fails after this many reads in a row without progress. */
#define CATCH_UP_MAX_FAILURES 3

static void on_caught_up(struct topic_read *read);
static void on_watched(struct topic_read *read);

static void init_read(struct topic_read *read, const char *topic,
		      uint32_t partition, int64_t wait_ns,
		      void (*done)(struct topic_read *read), void *arg)
{
	copy_text(read->topic, sizeof(read->topic), topic);
	read->partition = partition;
	read->max_bytes = READ_MAX_BYTES;
	read->wait_ns = wait_ns;
	read->timeout_ns = READ_TIMEOUT_NS;
	read->done = done;
	read->arg = arg;
	strbuf_init(&read->records);
}

void topic_follower_init(struct topic_follower *follower,
			 const struct topic_follower_vtable *vt,
			 struct topic_log *log, struct timer_service *timers,
			 const char *topic, uint32_t partition,
			 struct counter_set *counters)
{
	memset(follower, 0, sizeof(*follower));
	follower->vt = vt;
	follower->log = log;
	follower->timers = timers;
	init_read(&follower->catch_up, topic, partition, 0, on_caught_up,
		  follower);
	init_read(&follower->watch, topic, partition, WATCH_NS, on_watched,
		  follower);
	if (!counters)
		return;
	follower->reads = counter_get(counters, "store_reads_total");
	follower->failed_reads =
		counter_get(counters, "store_reads_failed_total");
}

static void stop_watch(struct topic_follower *follower)
{
	if (follower->watching)
		follower->log->vt->cancel(follower->log, follower->watch.call);
	follower->watching = 0;
	timer_unsubscribe(follower->timers, &follower->retry);
}

void topic_follower_finish(struct topic_follower *follower)
{
	if (follower->catching_up)
		follower->log->vt->cancel(follower->log,
					  follower->catch_up.call);
	stop_watch(follower);
	strbuf_finish(&follower->catch_up.records);
	strbuf_finish(&follower->watch.records);
}

/*
 * Applies the records from `next` on and skips earlier ones, as two reads may
 * overlap. Returns the offset after the last record.
 */
static uint64_t apply_from(struct topic_follower *follower, uint64_t offset,
			   const struct strbuf *records)
{
	int has_gap = offset > follower->next;
	const uint8_t *data;
	size_t len;
	size_t at = 0;

	for (; topic_next_record(records, &at, &data, &len); offset++) {
		if (offset != follower->next)
			continue;
		follower->next++;
		follower->vt->apply(follower, offset, data, len);
	}
	if (has_gap)
		return offset;
	if (follower->next > follower->known_end)
		follower->known_end = follower->next;
	if (follower->vt->applied)
		follower->vt->applied(follower);
	return offset;
}

/* Applies an answer; returns whether all records up to the end are applied. */
static int apply_answer(struct topic_follower *follower,
			struct topic_read *read)
{
	uint64_t end = read->end;

	/* A stale answer: a previous one has shown a higher end. */
	if (end < follower->known_end)
		end = follower->known_end;
	follower->known_end = end;
	apply_from(follower, read->from, &read->records);
	strbuf_finish(&read->records);
	return follower->next >= end;
}

/*
 * Skips records that the log has dropped and continues with the oldest one that
 * it keeps. Returns 0 if that is no progress, as the answer contradicts itself.
 */
static int skip_dropped(struct topic_follower *follower,
			const struct topic_read *read)
{
	uint64_t from = follower->next;

	if (read->first <= from)
		return 0;
	follower->next = read->first;
	if (follower->vt->skipped)
		follower->vt->skipped(follower, from, follower->next);
	return 1;
}

static void start_catch_up(struct topic_follower *follower)
{
	follower->catching_up = 1;
	follower->catch_up.from = follower->next;
	counter_add(follower->reads, 1);
	follower->log->vt->read(follower->log, &follower->catch_up);
}

static void notify_refreshes(struct topic_refresh *refresh, int ok)
{
	while (refresh) {
		struct topic_refresh *next = refresh->next;

		refresh->done(refresh, ok);
		refresh = next;
	}
}

static void end_catch_up(struct topic_follower *follower, int ok)
{
	struct topic_refresh *served = follower->current_refreshes;

	follower->catch_up_failures = 0;
	follower->current_refreshes = follower->next_refreshes;
	follower->next_refreshes = NULL;
	if (follower->current_refreshes)
		start_catch_up(follower);
	notify_refreshes(served, ok);
}

static void on_caught_up(struct topic_read *read)
{
	struct topic_follower *follower = read->arg;
	uint64_t before = follower->next;
	int at_end = 0;

	follower->catching_up = 0;
	if (read->outcome == TOPIC_OK) {
		at_end = apply_answer(follower, read);
		/* A stale answer has no new records and is not the end. */
		if (follower->next > before)
			follower->catch_up_failures = 0;
		else
			follower->catch_up_failures++;
	} else if (read->outcome != TOPIC_FORGOTTEN ||
		   !skip_dropped(follower, read)) {
		counter_add(follower->failed_reads, 1);
		follower->catch_up_failures++;
	}
	if (at_end)
		end_catch_up(follower, 1);
	else if (follower->catch_up_failures >= CATCH_UP_MAX_FAILURES)
		end_catch_up(follower, 0);
	else
		start_catch_up(follower);
}

void topic_follower_refresh(struct topic_follower *follower,
			    struct topic_refresh *refresh)
{
	struct topic_refresh **list = follower->catching_up
					      ? &follower->next_refreshes
					      : &follower->current_refreshes;

	refresh->next = *list;
	*list = refresh;
	if (!follower->catching_up)
		start_catch_up(follower);
}

static int remove_refresh(struct topic_refresh **list,
			  struct topic_refresh *refresh)
{
	while (*list && *list != refresh)
		list = &(*list)->next;
	if (!*list)
		return 0;
	*list = refresh->next;
	return 1;
}

void topic_follower_cancel_refresh(struct topic_follower *follower,
				   struct topic_refresh *refresh)
{
	if (!remove_refresh(&follower->next_refreshes, refresh))
		remove_refresh(&follower->current_refreshes, refresh);
}

static void start_watch(struct topic_follower *follower)
{
	follower->watching = 1;
	follower->watch.from = follower->next;
	counter_add(follower->reads, 1);
	follower->log->vt->read(follower->log, &follower->watch);
}

static void on_retry(void *arg, int64_t now_ns)
{
	struct topic_follower *follower = arg;

	(void)now_ns;
	if (follower->watch_refs && !follower->watching)
		start_watch(follower);
}

static void on_watched(struct topic_read *read)
{
	struct topic_follower *follower = read->arg;

	follower->watching = 0;
	if (read->outcome == TOPIC_OK) {
		follower->watch_failures = 0;
		apply_answer(follower, read);
	} else if (read->outcome != TOPIC_FORGOTTEN ||
		   !skip_dropped(follower, read)) {
		counter_add(follower->failed_reads, 1);
		timer_subscribe_once(follower->timers, &follower->retry,
				     backoff_ns(RETRY_FIRST_NS, RETRY_MAX_NS,
						follower->watch_failures++),
				     on_retry, follower);
		return;
	}
	if (follower->watch_refs && !follower->watching)
		start_watch(follower);
}

void topic_follower_watch_ref(struct topic_follower *follower)
{
	if (!follower->watch_refs++)
		start_watch(follower);
}

void topic_follower_watch_unref(struct topic_follower *follower)
{
	if (!--follower->watch_refs)
		stop_watch(follower);
}

void topic_follower_apply_own(struct topic_follower *follower, uint64_t offset,
			      const struct strbuf *records)
{
	uint64_t end = apply_from(follower, offset, records);

	if (follower->next >= end)
		return;
	if (follower->known_end < end)
		follower->known_end = end;
	/*
	 * Other writers appended in between. A watch reads those records, and
	 * so does a running catch-up, which continues to the known end.
	 */
	if (!follower->watching && !follower->catching_up)
		start_catch_up(follower);
}
