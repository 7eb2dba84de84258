#include "usage/usage_meter.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "state/usage_figure.h"

void usage_meter_init(struct usage_meter *meter, uint32_t window_s,
		      struct counter_set *counters)
{
	memset(meter, 0, sizeof(*meter));
	meter->window_s = window_s;
	if (counters)
		meter->lost =
			counter_get(counters, "usage_lost_requests_total");
	for (uint32_t i = 0; i < USAGE_SHARDS; i++) {
		struct usage_shard *shard = &meter->shards[i];

		pthread_mutex_init(&shard->lock, NULL);
		shard->entries =
			xcalloc(USAGE_SHARD_MAX, sizeof(*shard->entries));
	}
}

void usage_meter_finish(struct usage_meter *meter)
{
	for (uint32_t i = 0; i < USAGE_SHARDS; i++) {
		free(meter->shards[i].entries);
		pthread_mutex_destroy(&meter->shards[i].lock);
	}
}

static struct usage_shard *shard_of(struct usage_meter *meter,
				    const struct usage_figure *figure)
{
	uint64_t hash = hash_text(figure->route, hash_text(figure->team, 0));

	return &meter->shards[hash % USAGE_SHARDS];
}

/* Returns the entry of this key in this or any window; NULL if none. */
static struct usage_entry *find(struct usage_shard *shard, uint64_t start_s,
				int any_window,
				const struct usage_figure *figure)
{
	for (uint32_t i = 0; i < shard->count; i++) {
		struct usage_entry *entry = &shard->entries[i];

		if ((any_window || entry->window_start_s == start_s) &&
		    usage_figure_same(&entry->figure, figure))
			return entry;
	}
	return NULL;
}

/* The caller holds the shard's lock. */
static int add(struct usage_shard *shard, uint64_t start_s,
	       const struct usage_figure *figure)
{
	struct usage_entry *entry = find(shard, start_s, 0, figure);

	if (!entry && shard->count == USAGE_SHARD_MAX) {
		entry = find(shard, start_s, 1, figure);
		if (!entry)
			return -1;
	}
	if (entry) {
		usage_figure_add(&entry->figure, figure);
		return 0;
	}
	entry = &shard->entries[shard->count++];
	entry->window_start_s = start_s;
	entry->figure = *figure;
	return 0;
}

static int add_to_shard(struct usage_meter *meter, uint64_t start_s,
			const struct usage_figure *figure)
{
	struct usage_shard *shard = shard_of(meter, figure);
	int ret;

	pthread_mutex_lock(&shard->lock);
	ret = add(shard, start_s, figure);
	pthread_mutex_unlock(&shard->lock);
	if (ret)
		counter_add(meter->lost, (int64_t)figure->requests);
	return ret;
}

int usage_meter_add(struct usage_meter *meter, uint64_t wall_s,
		    const struct usage_figure *figure)
{
	return add_to_shard(meter, wall_s - wall_s % meter->window_s, figure);
}

void usage_meter_put_back(struct usage_meter *meter,
			  const struct usage_entry *entries, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		add_to_shard(meter, entries[i].window_start_s,
			     &entries[i].figure);
}

static int oldest_window(struct usage_meter *meter, uint64_t *start_s)
{
	int found = 0;

	for (uint32_t i = 0; i < USAGE_SHARDS; i++) {
		struct usage_shard *shard = &meter->shards[i];

		pthread_mutex_lock(&shard->lock);
		for (uint32_t j = 0; j < shard->count; j++) {
			uint64_t other_s = shard->entries[j].window_start_s;

			if (!found || other_s < *start_s)
				*start_s = other_s;
			found = 1;
		}
		pthread_mutex_unlock(&shard->lock);
	}
	return found;
}

static uint32_t take_from_shard(struct usage_shard *shard, uint64_t start_s,
				struct usage_entry *entries, uint32_t max)
{
	uint32_t count = 0;
	uint32_t kept = 0;

	pthread_mutex_lock(&shard->lock);
	for (uint32_t i = 0; i < shard->count; i++) {
		const struct usage_entry *entry = &shard->entries[i];

		if (entry->window_start_s == start_s && count < max)
			entries[count++] = *entry;
		else
			shard->entries[kept++] = *entry;
	}
	shard->count = kept;
	pthread_mutex_unlock(&shard->lock);
	return count;
}

uint32_t usage_meter_take(struct usage_meter *meter,
			  struct usage_entry *entries, uint32_t max)
{
	uint64_t start_s = 0;
	uint32_t count = 0;

	if (!oldest_window(meter, &start_s))
		return 0;
	for (uint32_t i = 0; i < USAGE_SHARDS; i++)
		count += take_from_shard(&meter->shards[i], start_s,
					 entries + count, max - count);
	return count;
}

uint64_t usage_meter_requests(struct usage_meter *meter)
{
	uint64_t requests = 0;

	for (uint32_t i = 0; i < USAGE_SHARDS; i++) {
		struct usage_shard *shard = &meter->shards[i];

		pthread_mutex_lock(&shard->lock);
		for (uint32_t j = 0; j < shard->count; j++)
			requests += shard->entries[j].figure.requests;
		pthread_mutex_unlock(&shard->lock);
	}
	return requests;
}
