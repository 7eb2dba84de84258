#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "state/log_client_private.h"

#define SCAN_MAX_ENTRIES 1024

/* Looks at every entry of [from, head) for parts of snapshots. */
static int scan(struct log_client *client, uint64_t from, uint64_t head,
		struct snapshot_watch *watch, struct error *err)
{
	while (from < head) {
		struct log_chunk chunk;

		memset(&chunk, 0, sizeof(chunk));
		if (client->port->vt->read(client->port, from, SCAN_MAX_ENTRIES,
					   0, &chunk, err)) {
			log_chunk_finish(&chunk);
			return -1;
		}
		if (!chunk.entry_count)
			from = head;
		for (uint32_t i = 0; i < chunk.entry_count; i++) {
			const struct log_entry *entry = &chunk.entries[i];

			snapshot_watch_entry(watch, entry->offset, entry->data,
					     entry->len);
			from = entry->offset + 1;
		}
		log_chunk_finish(&chunk);
	}
	return 0;
}

/* Scans back from the head in growing steps until a snapshot is found. */
static int find_newest(struct log_client *client, uint64_t first, uint64_t head,
		       struct snapshot_watch *watch, struct error *err)
{
	uint64_t span = 2 * (uint64_t)client->options.snapshot_entries;

	for (;;) {
		uint64_t from = head > first + span ? head - span : first;

		if (scan(client, from, head, watch, err))
			return -1;
		if (watch->newest_taken_at || from == first)
			return 0;
		span *= 4;
	}
}

/* Replaces the state if the snapshot reaches further; 1 if it did. */
static int take_over(struct log_client *client, struct snapshot_watch *watch,
		     uint64_t first, struct error *err)
{
	uint64_t next = position_offset(watch->newest_taken_at) + 1;
	struct state *state;

	if (!watch->newest_taken_at || next < first ||
	    next <= log_client_next_offset(client))
		return 0;
	state = state_unpack((const uint8_t *)watch->newest_data.buf,
			     watch->newest_data.len, err);
	if (!state)
		return -1;
	state_set_observer(state, &client->own_observer);
	pthread_mutex_lock(&client->lock);
	state_free(client->state);
	client->state = state;
	client->recovered = 0;
	if (client->observer && client->observer->restored)
		client->observer->restored(client->observer, state);
	client->snapshots.newest_taken_at = watch->newest_taken_at;
	log_queue_skipped(&client->queue,
			  state_newest_sequence(state, client->queue.writer,
						client->queue.incarnation));
	pthread_mutex_unlock(&client->lock);
	log_info(&client->log,
		 "took the state over from a snapshot at %" PRIu64, next);
	return 1;
}

int log_client_recover(struct log_client *client, uint64_t first, uint64_t head,
		       struct error *err)
{
	struct snapshot_watch watch;
	int ret;

	snapshot_watch_init(&watch, 1);
	ret = find_newest(client, first, head, &watch, err);
	if (!ret)
		ret = take_over(client, &watch, first, err);
	snapshot_watch_finish(&watch);
	return ret;
}

/*
 * Sets when the next snapshot is due. The moments of the daemons are spread,
 * so that most see another's snapshot before they append one.
 */
static void schedule(struct log_client *client, uint64_t base)
{
	const struct log_client_options *options = &client->options;
	double spread = 1 + rng_unit(&client->rng) / 2;
	double age_ns = (double)options->snapshot_age_ms * NS_PER_MS;

	client->snapshot_due_offset =
		base + (uint64_t)(options->snapshot_entries * spread);
	client->snapshot_due_ns =
		clock_now_ns(client->clock) + (int64_t)(age_ns * spread);
}

/* Whether it is this daemon's turn; the lock is held. */
static int snapshot_is_due(struct log_client *client)
{
	uint64_t next = state_next_offset(client->state);
	uint64_t newest = client->snapshots.newest_taken_at;

	if (!client->snapshot_due_ns || client->snapshot_seen != newest) {
		uint64_t base = position_offset(newest);

		if (base + client->options.snapshot_entries < next)
			base = next - client->options.snapshot_entries;
		client->snapshot_seen = newest;
		schedule(client, base);
	}
	return next && (next >= client->snapshot_due_offset ||
			clock_now_ns(client->clock) >= client->snapshot_due_ns);
}

/* Whether another daemon has begun one lately. */
static int other_is_busy(const struct log_client *client, uint64_t next)
{
	uint64_t span = client->options.snapshot_entries;

	return snapshot_watch_busy(&client->snapshots,
				   next > span ? next - span : 0);
}

static int submit_parts(struct log_client *client, const uint8_t *data,
			size_t len, struct error *err)
{
	size_t part_bytes = client->options.snapshot_part_bytes;
	uint32_t parts = (uint32_t)((len + part_bytes - 1) / part_bytes);

	for (uint32_t i = 0; i < parts; i++) {
		Currant__SnapshotPart part = CURRANT__SNAPSHOT_PART__INIT;
		Currant__Record record = CURRANT__RECORD__INIT;
		size_t at = i * part_bytes;

		part.taken_at = snapshot_position(client->state);
		part.part = i;
		part.parts = parts;
		part.data.data = (uint8_t *)data + at;
		part.data.len = len - at < part_bytes ? len - at : part_bytes;
		record.body_case = CURRANT__RECORD__BODY_SNAPSHOT_PART;
		record.snapshot_part = &part;
		if (!log_queue_add(&client->queue, &record, 0, NULL, err))
			return -1;
	}
	return 0;
}

void log_client_snapshot_if_due(struct log_client *client)
{
	uint64_t next = state_next_offset(client->state);
	struct error why = ERROR_INIT;
	uint8_t *data;
	size_t len;

	if (!snapshot_is_due(client))
		return;
	schedule(client, next);
	if (other_is_busy(client, next))
		return;
	state_pack(client->state, &data, &len);
	if (submit_parts(client, data, len, &why))
		log_warning(&client->log, "a snapshot was not queued: %s",
			    why.text);
	free(data);
	if (!client->flush_due_ns)
		client->flush_due_ns = 1;
	pthread_cond_broadcast(&client->work);
}
