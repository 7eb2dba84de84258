#include "builtin/timeline_merge.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static json_int_t lamport_of(const json_t *event)
{
	return json_integer_value(json_object_get(event, "lamport"));
}

static const char *process_of(const json_t *event)
{
	const char *process =
		json_string_value(json_object_get(event, "process"));

	return process ? process : "";
}

int timeline_merge_add(json_t *all, const json_t *answer)
{
	const json_t *events = json_is_array(answer)
				       ? answer
				       : json_object_get(answer, "events");
	size_t i;
	json_t *event;

	if (!json_is_array(events))
		return -1;
	json_array_foreach (events, i, event)
		if (json_is_object(event))
			json_array_append(all, event);
	return 0;
}

/* An event and the place where it was added, which keeps the sort stable. */
struct merge_entry {
	json_t *event;
	size_t place;
};

static int order(const void *a, const void *b)
{
	const struct merge_entry *left = a;
	const struct merge_entry *right = b;
	json_int_t left_time = lamport_of(left->event);
	json_int_t right_time = lamport_of(right->event);
	int by_process;

	if (left_time != right_time)
		return left_time < right_time ? -1 : 1;
	by_process = strcmp(process_of(left->event), process_of(right->event));
	if (by_process)
		return by_process;
	return (left->place > right->place) - (left->place < right->place);
}

json_t *timeline_merge_sorted(const json_t *all, size_t last)
{
	size_t count = json_array_size(all);
	struct merge_entry *entries = xcalloc(count + 1, sizeof(*entries));
	json_t *sorted = json_array();

	for (size_t i = 0; i < count; i++) {
		entries[i].event = json_array_get(all, i);
		entries[i].place = i;
	}
	qsort(entries, count, sizeof(*entries), order);
	for (size_t i = last && last < count ? count - last : 0; i < count; i++)
		json_array_append(sorted, entries[i].event);
	free(entries);
	return sorted;
}
