#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/engine_served.h"

void span_list_add(struct span_list *list, uint64_t version, uint32_t tokens)
{
	if (!list->count || list->spans[list->count - 1].version != version) {
		list->spans = xrealloc(list->spans,
				       (list->count + 1) * sizeof(struct span));
		list->spans[list->count].version = version;
		list->spans[list->count].tokens = 0;
		list->count++;
	}
	list->spans[list->count - 1].tokens += tokens;
}

void span_list_finish(struct span_list *list)
{
	free(list->spans);
	memset(list, 0, sizeof(*list));
}

json_t *span_list_json(const struct span_list *list)
{
	json_t *array = json_array();
	uint32_t i;

	for (i = 0; i < list->count; i++)
		json_array_append_new(
			array, json_pack("{s:I, s:i}", "version",
					 (json_int_t)list->spans[i].version,
					 "tokens", (int)list->spans[i].tokens));
	return array;
}

void served_init(struct served *served)
{
	served->entries = xcalloc(SERVED_MAX, sizeof(*served->entries));
	served->total = 0;
}

void served_add(struct served *served, const char *id, struct span_list *spans)
{
	struct served_entry *entry =
		&served->entries[served->total++ % SERVED_MAX];

	span_list_finish(&entry->spans);
	copy_text(entry->id, sizeof(entry->id), id);
	entry->spans = *spans;
	memset(spans, 0, sizeof(*spans));
}

json_t *served_json(const struct served *served)
{
	json_t *object = json_object();
	uint64_t i = served->total > SERVED_MAX ? served->total - SERVED_MAX
						: 0;

	for (; i < served->total; i++) {
		const struct served_entry *entry =
			&served->entries[i % SERVED_MAX];

		json_object_set_new(object, entry->id,
				    span_list_json(&entry->spans));
	}
	return object;
}
