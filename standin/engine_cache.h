#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include <jansson.h>
#include <stdint.h>

/*
 * Which prompt prefixes an engine has cached, as a table with one place for
 * each hash, and the events of the last changes. A prefix is named by the
 * xxHash (seed 0) of the prompt's first 64, 128, ... bytes. The caller
 * excludes other threads.
 */
#define CACHE_BLOCK_BYTES 64
#define CACHE_BLOCKS_MAX 16
#define CACHE_PLACES 1024
#define CACHE_EVENTS 4096

struct cache_event {
	uint64_t prefix;
	int evicted;
};

struct engine_cache {
	uint64_t places[CACHE_PLACES];
	struct cache_event events[CACHE_EVENTS];
	uint64_t next; /* sequence of the next event */
};

void engine_cache_touch(struct engine_cache *cache, const char *prompt);

/* Events from a sequence on; older ones than are kept are left out. */
json_t *engine_cache_events(const struct engine_cache *cache, uint64_t from);

#endif
