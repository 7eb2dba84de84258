#include <stdio.h>
#include <string.h>

#include "base/hash.h"
#include "standin/engine_cache.h"

static void add_event(struct engine_cache *cache, uint64_t prefix, int evicted)
{
	struct cache_event *event = &cache->events[cache->next % CACHE_EVENTS];

	event->prefix = prefix;
	event->evicted = evicted;
	cache->next++;
}

void engine_cache_touch(struct engine_cache *cache, const char *prompt)
{
	size_t blocks = strlen(prompt) / CACHE_BLOCK_BYTES;
	size_t i;

	if (blocks > CACHE_BLOCKS_MAX)
		blocks = CACHE_BLOCKS_MAX;
	for (i = 1; i <= blocks; i++) {
		uint64_t prefix = hash_bytes(prompt, i * CACHE_BLOCK_BYTES, 0);
		uint64_t *place = &cache->places[prefix % CACHE_PLACES];

		if (*place == prefix)
			continue;
		if (*place)
			add_event(cache, *place, 1);
		*place = prefix;
		add_event(cache, prefix, 0);
	}
}

json_t *engine_cache_events(const struct engine_cache *cache, uint64_t from)
{
	json_t *events = json_array();
	uint64_t oldest =
		cache->next > CACHE_EVENTS ? cache->next - CACHE_EVENTS : 0;
	uint64_t i;

	for (i = from > oldest ? from : oldest; i < cache->next; i++) {
		const struct cache_event *event =
			&cache->events[i % CACHE_EVENTS];
		char prefix[17];

		snprintf(prefix, sizeof(prefix), "%016llx",
			 (unsigned long long)event->prefix);
		json_array_append_new(
			events,
			json_pack("{s:I, s:s, s:s}", "sequence", (json_int_t)i,
				  "kind", event->evicted ? "evicted" : "stored",
				  "prefix", prefix));
	}
	return json_pack("{s:o, s:I}", "events", events, "next",
			 (json_int_t)cache->next);
}
