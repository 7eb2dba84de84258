#include <inttypes.h>
#include <string.h>

#include "state/log_client_private.h"

#define READ_MAX_ENTRIES 512

/* Starts the state again; the lock is held. */
static void forget_state(struct log_client *client)
{
	state_free(client->state);
	client->state = state_new();
	state_set_observer(client->state, &client->own_observer);
	client->recovered = 0;
	client->published_position = 0;
	client->head = 0;
	snapshot_watch_finish(&client->snapshots);
	snapshot_watch_init(&client->snapshots, 0);
	entry_ring_finish(&client->ring);
	entry_ring_init(&client->ring, client->options.ring_entries,
			client->options.ring_bytes);
	log_queue_forget_landed(&client->queue);
}

/* Applies entries in order; the lock is held. Returns how many were new. */
static int apply_entries(struct log_client *client,
			 const struct log_entry *entries, uint32_t count,
			 struct error *err)
{
	int applied = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct log_entry *entry = &entries[i];

		if (entry->offset < state_next_offset(client->state))
			continue;
		if (state_apply_entry(client->state, entry->offset, entry->data,
				      entry->len, err))
			return -1;
		entry_ring_add(&client->ring, entry->offset, entry->data,
			       entry->len);
		applied++;
	}
	if (log_queue_passed(&client->queue, state_next_offset(client->state)))
		client->verify_tail = 1;
	pthread_cond_broadcast(&client->work);
	counter_add(client->entries, applied);
	return applied;
}

/* The lock is held. */
static void note_progress(struct log_client *client)
{
	struct state_counts counts;

	state_counts(client->state, &counts);
	gauge_set(client->broken, (int64_t)counts.broken_entries);
	gauge_set(client->unknown_kinds, (int64_t)counts.unknown_kinds);
	gauge_set(client->queued, client->queue.count);
	if (client->has_read &&
	    state_next_offset(client->state) >= client->head)
		client->recovered = 1;
}

/*
 * The log may lose its newest entries in a failure and then grow again. The
 * newest entry that was applied is compared after each failed read, and when
 * a record of this daemon is not where its append was answered to stand.
 */
static int tail_is_lost(struct log_client *client,
			const struct log_chunk *chunk)
{
	const struct log_entry *newest = entry_ring_newest(&client->ring);
	const struct log_entry *again = chunk->entries;
	int verify = client->verify_tail;

	client->verify_tail = 0;
	if (chunk->head < state_next_offset(client->state))
		return 1;
	if (!verify || !newest || !chunk->entry_count ||
	    again->offset != newest->offset)
		return 0;
	return again->len != newest->len ||
	       memcmp(again->data, newest->data, newest->len) != 0;
}

static int take_chunk(struct log_client *client, const struct log_chunk *chunk,
		      struct error *err)
{
	int applied;

	pthread_mutex_lock(&client->lock);
	client->last_read_ns = clock_now_ns(client->clock);
	client->has_read = 1;
	client->read_failures = 0;
	if (tail_is_lost(client, chunk)) {
		counter_add(client->truncations, 1);
		log_error(&client->log,
			  "the log has lost entries before %" PRIu64
			  " that were read; the state is built again",
			  state_next_offset(client->state));
		forget_state(client);
		client->head = chunk->head;
		applied = 1;
	} else {
		if (chunk->head > client->head)
			client->head = chunk->head;
		applied = apply_entries(client, chunk->entries,
					chunk->entry_count, err);
		note_progress(client);
		if (client->recovered)
			log_client_snapshot_if_due(client);
	}
	pthread_mutex_unlock(&client->lock);
	return applied;
}

/* A log that is much longer than its tail is read from a snapshot on. */
static int needs_recovery(struct log_client *client,
			  const struct log_chunk *chunk, int dropped)
{
	int needs;

	pthread_mutex_lock(&client->lock);
	needs = dropped ||
		(!client->recovered &&
		 chunk->head > state_next_offset(client->state) +
				       2 * client->options.snapshot_entries);
	pthread_mutex_unlock(&client->lock);
	return needs;
}

static void note_failure(struct log_client *client)
{
	pthread_mutex_lock(&client->lock);
	client->read_failures++;
	client->verify_tail = 1;
	counter_add(client->read_failed, 1);
	pthread_mutex_unlock(&client->lock);
}

/* The state stands before the oldest entry that is kept. */
static int fail_gap(struct log_client *client, const struct log_chunk *chunk,
		    struct error *err)
{
	uint64_t next;

	pthread_mutex_lock(&client->lock);
	client->recovered = 0;
	next = state_next_offset(client->state);
	pthread_mutex_unlock(&client->lock);
	return error_set(err, ERROR_NOT_FOUND,
			 "the log starts at %" PRIu64 ", entries from %" PRIu64
			 " on are gone and no snapshot stands for them",
			 chunk->first, next);
}

static int recover_or_take(struct log_client *client, struct log_chunk *chunk,
			   int dropped, struct error *err)
{
	int ret = 0;

	if (dropped && log_client_next_offset(client) >= chunk->first) {
		/* Only the entry to compare with is gone. */
		pthread_mutex_lock(&client->lock);
		client->verify_tail = 0;
		pthread_mutex_unlock(&client->lock);
		return 1;
	}
	if (needs_recovery(client, chunk, dropped)) {
		ret = log_client_recover(client, chunk->first, chunk->head,
					 err);
		if (ret < 0)
			return -1;
		if (!ret && dropped)
			return fail_gap(client, chunk, err);
	}
	return ret ? ret : take_chunk(client, chunk, err);
}

static uint64_t read_from(struct log_client *client)
{
	uint64_t next;

	pthread_mutex_lock(&client->lock);
	next = state_next_offset(client->state);
	if (client->verify_tail && entry_ring_newest(&client->ring))
		next = entry_ring_newest(&client->ring)->offset;
	pthread_mutex_unlock(&client->lock);
	return next;
}

int log_client_read_once(struct log_client *client, int64_t wait_ns,
			 struct error *err)
{
	struct error why = ERROR_INIT;
	struct log_chunk chunk;
	int ret;

	memset(&chunk, 0, sizeof(chunk));
	ret = client->port->vt->read(client->port, read_from(client),
				     READ_MAX_ENTRIES, wait_ns, &chunk, &why);
	if (ret && why.code != ERROR_NOT_FOUND) {
		note_failure(client);
		return error_set(err, why.code, "%s", why.text);
	}
	counter_add(client->reads, 1);
	pthread_mutex_lock(&client->publish_lock);
	ret = recover_or_take(client, &chunk, ret != 0, err);
	log_client_publish(client);
	pthread_mutex_unlock(&client->publish_lock);
	log_chunk_finish(&chunk);
	if (ret < 0)
		note_failure(client);
	return ret < 0 ? -1 : ret > 0;
}

int log_client_feed_entries(struct log_client *client,
			    const struct log_entry *entries, uint32_t count,
			    struct error *err)
{
	int ret;

	pthread_mutex_lock(&client->publish_lock);
	pthread_mutex_lock(&client->lock);
	ret = apply_entries(client, entries, count, err);
	if (state_next_offset(client->state) > client->head)
		client->head = state_next_offset(client->state);
	note_progress(client);
	pthread_mutex_unlock(&client->lock);
	log_client_publish(client);
	pthread_mutex_unlock(&client->publish_lock);
	return ret < 0 ? -1 : 0;
}

/* Pauses between reads, unless somebody waits for a record. */
static void pause_reads(struct log_client *client, int failed, int applied)
{
	int64_t until_ns = wait_now_ns();

	pthread_mutex_lock(&client->lock);
	if (failed)
		until_ns += log_client_retry_ns(client, client->read_failures);
	else if (applied)
		until_ns += client->options.read_gap_ms * NS_PER_MS;
	while (!client->stopping &&
	       (failed || (client->recovered && !client->urgent_waiters)) &&
	       log_client_wait_until(client, &client->applied, until_ns))
		;
	pthread_mutex_unlock(&client->lock);
}

static int is_stopping(struct log_client *client)
{
	int stopping;

	pthread_mutex_lock(&client->lock);
	stopping = client->stopping;
	pthread_mutex_unlock(&client->lock);
	return stopping;
}

void *log_client_follow_thread(void *arg)
{
	struct log_client *client = arg;

	while (!is_stopping(client)) {
		struct error why = ERROR_INIT;
		int ret = log_client_read_once(
			client, client->options.read_wait_ms * NS_PER_MS, &why);

		if (ret < 0)
			log_warning(&client->log, "a read failed: %s",
				    why.text);
		pause_reads(client, ret<0, ret> 0);
	}
	return NULL;
}
