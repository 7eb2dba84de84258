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

static uint32_t bucket(const char *id)
{
	return (uint32_t)(hash_text(id, 0) % ITEM_TEXT_CACHE_BUCKETS);
}

static struct cached_item_text *find(const struct item_text_cache *texts,
				     const char *id)
{
	struct cached_item_text *text = texts->buckets[bucket(id)];

	while (text && strcmp(text->id, id))
		text = text->next;
	return text;
}

static void remove_text(struct item_text_cache *texts,
			struct cached_item_text *text)
{
	struct cached_item_text **at = &texts->buckets[bucket(text->id)];

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
	free(text->id);
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

void item_text_cache_put(struct item_text_cache *texts, const char *id,
			 const struct item_text *output)
{
	struct cached_item_text *text = find(texts, id);

	if (text)
		remove_text(texts, text);
	text = xcalloc(1, sizeof(*text));
	text->id = xstrdup(id);
	item_text_init(&text->output);
	item_text_copy(&text->output, output);
	text->next = texts->buckets[bucket(id)];
	texts->buckets[bucket(id)] = text;
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

int item_text_cache_take(struct item_text_cache *texts, const char *id,
			 struct item_text *output)
{
	struct cached_item_text *text = find(texts, id);

	if (!text)
		return 0;
	item_text_copy(output, &text->output);
	remove_text(texts, text);
	return 1;
}
