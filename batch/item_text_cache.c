#include "batch/item_text_cache.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* Limits of the cache; hold the texts of about two training steps. */
#define MAX_BYTES (2 * 1024 * 1024)
#define MAX_COUNT 2000

void item_text_cache_init(struct item_text_cache *texts)
{
	memset(texts, 0, sizeof(*texts));
}

static uint32_t bucket(const struct item_text_key *key)
{
	uint64_t hash = hash_text(key->team, 0);

	hash = hash_text(key->model, hash);
	hash = hash_text(key->id, hash);
	return (uint32_t)(hash % ITEM_TEXT_CACHE_BUCKETS);
}

static int is_same_key(const struct item_text_key *a,
		       const struct item_text_key *b)
{
	return !strcmp(a->id, b->id) && !strcmp(a->model, b->model) &&
	       !strcmp(a->team, b->team);
}

static struct cached_item_text *find(const struct item_text_cache *texts,
				     const struct item_text_key *key)
{
	struct cached_item_text *text = texts->buckets[bucket(key)];

	while (text && !is_same_key(&text->key, key))
		text = text->next;
	return text;
}

static void remove_text(struct item_text_cache *texts,
			struct cached_item_text *text)
{
	struct cached_item_text **at = &texts->buckets[bucket(&text->key)];

	while (*at != text)
		at = &(*at)->next;
	*at = text->next;
	if (text->older)
		text->older->newer = text->newer;
	else
		texts->oldest = text->newer;
	if (text->newer)
		text->newer->older = text->older;
	else
		texts->newest = text->older;
	texts->bytes -= text->output.text.len;
	texts->count--;
	item_text_finish(&text->output);
	free((char *)text->key.team);
	free((char *)text->key.model);
	free((char *)text->key.id);
	free(text);
}

void item_text_cache_finish(struct item_text_cache *texts)
{
	struct cached_item_text *text = texts->oldest;

	while (text) {
		struct cached_item_text *newer = text->newer;

		remove_text(texts, text);
		text = newer;
	}
}

void item_text_cache_put(struct item_text_cache *texts,
			 const struct item_text_key *key,
			 const struct item_text *output)
{
	struct cached_item_text *text = find(texts, key);

	if (text)
		remove_text(texts, text);
	text = xcalloc(1, sizeof(*text));
	text->key.team = xstrdup(key->team);
	text->key.model = xstrdup(key->model);
	text->key.id = xstrdup(key->id);
	item_text_init(&text->output);
	item_text_copy(&text->output, output);
	text->next = texts->buckets[bucket(key)];
	texts->buckets[bucket(key)] = text;
	text->older = texts->newest;
	if (text->older)
		text->older->newer = text;
	else
		texts->oldest = text;
	texts->newest = text;
	texts->bytes += text->output.text.len;
	texts->count++;
	while (texts->bytes > MAX_BYTES || texts->count > MAX_COUNT)
		remove_text(texts, texts->oldest);
}

int item_text_cache_take(struct item_text_cache *texts,
			 const struct item_text_key *key,
			 struct item_text *output)
{
	struct cached_item_text *text = find(texts, key);

	if (!text)
		return 0;
	item_text_copy(output, &text->output);
	remove_text(texts, text);
	return 1;
}
