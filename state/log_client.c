#include "state/log_client.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/backoff.h"
#include "base/container_of.h"
#include "state/log_client_private.h"

#define COPY_MAX_BYTES (256u * 1024)

void log_client_options_init(struct log_client_options *options)
{
	memset(options, 0, sizeof(*options));
	options->flush_ms = 100;
	options->read_gap_ms = 20;
	options->read_wait_ms = 1000;
	options->append_timeout_ms = 2000;
	options->retry_min_ms = 50;
	options->retry_max_ms = 2000;
	options->reach_ms = 4000;
	options->max_queued = 20000;
	options->max_queued_bytes = 16u * 1024 * 1024;
	options->max_entry_records = 1000;
	options->max_entry_bytes = 256u * 1024;
	options->ring_entries = 4096;
	options->ring_bytes = 4u * 1024 * 1024;
	options->snapshot_entries = 20000;
	options->snapshot_age_ms = 10u * 60 * 1000;
	options->snapshot_part_bytes = 64u * 1024;
}

int log_client_wait_until(struct log_client *client, pthread_cond_t *cond,
			  int64_t until_ns)
{
	if (wait_now_ns() >= until_ns)
		return 0;
	wait_until(cond, &client->lock, until_ns);
	return 1;
}

int64_t log_client_retry_ns(const struct log_client *client, uint32_t failures)
{
	return backoff_ns(client->options.retry_min_ms * NS_PER_MS,
			  client->options.retry_max_ms * NS_PER_MS,
			  failures ? failures - 1 : 0);
}

/* Called by state_apply_entry() with the lock held. */
static void on_applied(struct state_observer *observer,
		       const Currant__Record *record, uint64_t position,
		       int accepted, const struct error *why)
{
	struct log_client *client =
		container_of(observer, struct log_client, own_observer);

	if (record->body_case == CURRANT__RECORD__BODY_SNAPSHOT_PART)
		snapshot_watch_part(&client->snapshots, record,
				    position_offset(position));
	if (record->origin->incarnation == client->queue.incarnation &&
	    !strcmp(record->origin->writer, client->queue.writer)) {
		struct log_result result = { position, accepted, *why };

		log_queue_seen(&client->queue, record->origin->sequence,
			       &result);
	}
	if (client->observer)
		client->observer->applied(client->observer, record, position,
					  accepted, why);
}

static void init_counters(struct log_client *client,
			  struct counter_set *counters)
{
	if (!counters)
		return;
	client->appends = counter_get(counters, "log_appends_total");
	client->append_failed =
		counter_get(counters, "log_append_failures_total");
	client->appended_bytes =
		counter_get(counters, "log_appended_bytes_total");
	client->reads = counter_get(counters, "log_reads_total");
	client->read_failed = counter_get(counters, "log_read_failures_total");
	client->entries = counter_get(counters, "log_entries_applied_total");
	client->broken = gauge_get(counters, "log_broken_entries");
	client->unknown_kinds = gauge_get(counters, "log_unknown_kinds");
	client->truncations = counter_get(counters, "log_truncations_total");
	client->queued = gauge_get(counters, "log_queued_records");
}

void log_client_init(struct log_client *client, struct log_port *port,
		     struct clock *clock, const char *writer,
		     uint64_t incarnation,
		     const struct log_client_options *options,
		     struct counter_set *counters, const struct log_part *log)
{
	struct config *config = xcalloc(1, sizeof(*config));

	memset(client, 0, sizeof(*client));
	client->port = port;
	client->clock = clock;
	if (options)
		client->options = *options;
	else
		log_client_options_init(&client->options);
	client->log = *log;
	client->own_observer.applied = on_applied;
	pthread_mutex_init(&client->publish_lock, NULL);
	pthread_mutex_init(&client->lock, NULL);
	wait_cond_init(&client->work);
	wait_cond_init(&client->applied);
	config_init(config);
	published_init(&client->config, config);
	client->state = state_new();
	state_set_observer(client->state, &client->own_observer);
	log_queue_init(&client->queue, writer, incarnation,
		       client->options.max_queued,
		       client->options.max_queued_bytes);
	entry_ring_init(&client->ring, client->options.ring_entries,
			client->options.ring_bytes);
	snapshot_watch_init(&client->snapshots, 0);
	rng_init(&client->rng, incarnation);
	init_counters(client, counters);
}

void log_client_finish(struct log_client *client)
{
	struct config *config;

	/* The follower may publish until it has stopped. */
	log_client_stop(client);
	config = client->config.current;
	config_finish(config);
	free(config);
	state_free(client->state);
	log_queue_finish(&client->queue);
	entry_ring_finish(&client->ring);
	snapshot_watch_finish(&client->snapshots);
	pthread_cond_destroy(&client->work);
	pthread_cond_destroy(&client->applied);
	pthread_mutex_destroy(&client->lock);
	pthread_mutex_destroy(&client->publish_lock);
}

void log_client_set_observer(struct log_client *client,
			     struct state_observer *observer)
{
	client->observer = observer;
}

void log_client_set_listener(struct log_client *client,
			     struct publish_listener *listener)
{
	client->listener = listener;
}

int log_client_start(struct log_client *client, struct error *err)
{
	client->stopping = 0;
	if (pthread_create(&client->follower, NULL, log_client_follow_thread,
			   client))
		return error_set(err, ERROR_IO,
				 "cannot start the thread that reads the log");
	if (pthread_create(&client->appender, NULL, log_client_append_thread,
			   client)) {
		pthread_mutex_lock(&client->lock);
		client->stopping = 1;
		pthread_cond_broadcast(&client->applied);
		pthread_mutex_unlock(&client->lock);
		pthread_join(client->follower, NULL);
		return error_set(err, ERROR_IO,
				 "cannot start the thread that appends");
	}
	client->has_threads = 1;
	return 0;
}

void log_client_stop(struct log_client *client)
{
	if (!client->has_threads)
		return;
	pthread_mutex_lock(&client->lock);
	client->stopping = 1;
	pthread_cond_broadcast(&client->work);
	pthread_cond_broadcast(&client->applied);
	pthread_mutex_unlock(&client->lock);
	pthread_join(client->follower, NULL);
	pthread_join(client->appender, NULL);
	client->has_threads = 0;
}

void log_client_set_pace(struct log_client *client, uint32_t flush_ms,
			 uint32_t read_gap_ms)
{
	pthread_mutex_lock(&client->lock);
	client->options.flush_ms = flush_ms;
	client->options.read_gap_ms = read_gap_ms;
	pthread_mutex_unlock(&client->lock);
}

void log_client_publish(struct log_client *client)
{
	struct config *next = NULL;
	int recovered;

	pthread_mutex_lock(&client->lock);
	recovered = client->recovered;
	if (recovered && state_config(client->state)->position !=
				 client->published_position) {
		next = xcalloc(1, sizeof(*next));
		config_clone(next, state_config(client->state));
		next->position = state_config(client->state)->position;
		client->published_position = next->position;
	}
	pthread_mutex_unlock(&client->lock);
	if (next) {
		struct config *old = published_swap(&client->config, next);

		config_finish(old);
		free(old);
	}
	if (recovered && client->listener)
		client->listener->on_published(client->listener);
	pthread_mutex_lock(&client->lock);
	client->published_next = state_next_offset(client->state);
	pthread_cond_broadcast(&client->applied);
	pthread_mutex_unlock(&client->lock);
}

const struct config *log_client_config_begin(struct log_client *client)
{
	return published_read_begin(&client->config);
}

void log_client_config_end(struct log_client *client)
{
	published_read_end(&client->config);
}

void log_client_with_state(struct log_client *client,
			   void (*fn)(const struct state *state, void *arg),
			   void *arg)
{
	pthread_mutex_lock(&client->lock);
	fn(client->state, arg);
	pthread_mutex_unlock(&client->lock);
}

uint64_t log_client_next_offset(struct log_client *client)
{
	uint64_t next;

	pthread_mutex_lock(&client->lock);
	next = state_next_offset(client->state);
	pthread_mutex_unlock(&client->lock);
	return next;
}

void log_client_note_head(struct log_client *client, uint64_t head)
{
	pthread_mutex_lock(&client->lock);
	if (head > client->head)
		client->head = head;
	pthread_mutex_unlock(&client->lock);
}

int log_client_reachable(struct log_client *client, int64_t now_ns)
{
	int reachable;

	pthread_mutex_lock(&client->lock);
	reachable = client->has_read &&
		    now_ns - client->last_read_ns <=
			    client->options.reach_ms * NS_PER_MS;
	pthread_mutex_unlock(&client->lock);
	return reachable;
}

int64_t log_client_last_read_ns(struct log_client *client)
{
	int64_t last_ns;

	pthread_mutex_lock(&client->lock);
	last_ns = client->has_read ? client->last_read_ns : -1;
	pthread_mutex_unlock(&client->lock);
	return last_ns;
}

int log_client_recovered(struct log_client *client)
{
	int recovered;

	pthread_mutex_lock(&client->lock);
	recovered = client->recovered;
	pthread_mutex_unlock(&client->lock);
	return recovered;
}

void log_client_copy_entries(struct log_client *client, uint64_t from,
			     uint32_t max, struct log_chunk *out)
{
	pthread_mutex_lock(&client->lock);
	entry_ring_copy(&client->ring, from, max, COPY_MAX_BYTES, out);
	if (client->head > out->head)
		out->head = client->head;
	pthread_mutex_unlock(&client->lock);
}
