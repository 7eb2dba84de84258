#include "batch/carried_texts.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* About two steps of a trainer. */
#define MAX_BYTES (2 * 1024 * 1024)
#define MAX_COUNT 2000

void carried_texts_init(struct carried_texts *texts)
{
	memset(texts, 0, sizeof(*texts));
}

static uint32_t bucket(const char *id)
{
	return (uint32_t)(hash_text(id, 0) % CARRIED_TEXTS_BUCKETS);
}

static struct carried_text *find(const struct carried_texts *texts,
				 const char *id)
{
	struct carried_text *text = texts->buckets[bucket(id)];

	while (text && strcmp(text->id, id))
		text = text->next;
	return text;
}

static void remove_text(struct carried_texts *texts, struct carried_text *text)
{
	struct carried_text **at = &texts->buckets[bucket(text->id)];

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
	texts->bytes -= text->made.text.len;
	texts->count--;
	item_text_finish(&text->made);
	free(text->id);
	free(text);
}

void carried_texts_finish(struct carried_texts *texts)
{
	struct carried_text *text = texts->oldest;

	while (text) {
		struct carried_text *newer = text->newer;

		remove_text(texts, text);
		text = newer;
	}
}

void carried_texts_keep(struct carried_texts *texts, const char *id,
			const struct item_text *made)
{
	struct carried_text *text = find(texts, id);

	if (text)
		remove_text(texts, text);
	text = xcalloc(1, sizeof(*text));
	text->id = xstrdup(id);
	item_text_init(&text->made);
	item_text_copy(&text->made, made);
	text->next = texts->buckets[bucket(id)];
	texts->buckets[bucket(id)] = text;
	text->older = texts->newest;
	if (text->older)
		text->older->newer = text;
	else
		texts->oldest = text;
	texts->newest = text;
	texts->bytes += text->made.text.len;
	texts->count++;
	while (texts->bytes > MAX_BYTES || texts->count > MAX_COUNT)
		remove_text(texts, texts->oldest);
}

int carried_texts_take(struct carried_texts *texts, const char *id,
		       struct item_text *made)
{
	struct carried_text *text = find(texts, id);

	if (!text)
		return 0;
	item_text_copy(made, &text->made);
	remove_text(texts, text);
	return 1;
}
