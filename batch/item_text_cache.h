#ifndef BATCH_ITEM_TEXT_CACHE_H
#define BATCH_ITEM_TEXT_CACHE_H

#include "batch/active_item.h"

/*
 * Texts of items whose batch has ended. A trainer may submit groups that it did
 * not get complete again in a later batch, under the same ids; their texts are
 * then reused if their weight versions are allowed. Bounded: the oldest entries
 * are evicted first.
 */
#define ITEM_TEXT_CACHE_BUCKETS 128

/* The ids of items are unique only within a team and a model. */
struct item_text_key {
	const char *team;
	const char *model;
	const char *id;
};

struct cached_item_text {
	struct item_text_key key; /* owns its strings */
	struct item_text output;
	struct cached_item_text *next; /* in the same bucket */
	struct cached_item_text *newer;
	struct cached_item_text *older;
};

struct item_text_cache {
	struct cached_item_text *buckets[ITEM_TEXT_CACHE_BUCKETS];
	struct cached_item_text *oldest;
	struct cached_item_text *newest;
	uint64_t bytes;
	uint32_t count;
};

void item_text_cache_init(struct item_text_cache *texts);
void item_text_cache_finish(struct item_text_cache *texts);

/* Stores a copy, which replaces an earlier text of the same key. */
void item_text_cache_put(struct item_text_cache *texts,
			 const struct item_text_key *key,
			 const struct item_text *output);

/*
 * Moves the text into `output`, which must be initialised; returns 0 if there
 * is none.
 */
int item_text_cache_take(struct item_text_cache *texts,
			 const struct item_text_key *key,
			 struct item_text *output);

#endif
