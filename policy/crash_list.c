#include "policy/crash_list.h"

#include <string.h>

#include "base/alloc.h"

void crash_list_init(struct crash_list *list)
{
	memset(list, 0, sizeof(*list));
}

static int counts(const struct crash_suspect *suspect, int64_t now_ns)
{
	return suspect->crashes && now_ns - suspect->last_ns < CRASH_MEMORY_NS;
}

static struct crash_suspect *find(struct crash_list *list, uint64_t request)
{
	for (uint32_t i = 0; i < CRASH_LIST_MAX; i++) {
		struct crash_suspect *suspect = &list->suspects[i];

		if (suspect->crashes && suspect->request == request)
			return suspect;
	}
	return NULL;
}

/* A place that is not used, or the one that was heard of least lately. */
static struct crash_suspect *find_place(struct crash_list *list)
{
	struct crash_suspect *oldest = &list->suspects[0];

	for (uint32_t i = 0; i < CRASH_LIST_MAX; i++) {
		struct crash_suspect *suspect = &list->suspects[i];

		if (!suspect->crashes)
			return suspect;
		if (suspect->last_ns < oldest->last_ns)
			oldest = suspect;
	}
	return oldest;
}

int crash_list_note(struct crash_list *list, uint64_t request, int64_t now_ns)
{
	struct crash_suspect *suspect = find(list, request);

	if (suspect && now_ns - suspect->last_ns < CRASH_APART_NS)
		return 0;
	if (!suspect || !counts(suspect, now_ns)) {
		if (!suspect)
			suspect = find_place(list);
		suspect->request = request;
		suspect->crashes = 0;
	}
	suspect->crashes++;
	suspect->last_ns = now_ns;
	return 1;
}

int crash_list_clear(struct crash_list *list, uint64_t request)
{
	struct crash_suspect *suspect = find(list, request);

	if (!suspect)
		return 0;
	suspect->crashes = 0;
	return 1;
}

const struct crash_suspect *crash_list_find(const struct crash_list *list,
					    uint64_t request, int64_t now_ns)
{
	for (uint32_t i = 0; i < CRASH_LIST_MAX; i++) {
		const struct crash_suspect *suspect = &list->suspects[i];

		if (suspect->request == request && counts(suspect, now_ns))
			return suspect;
	}
	return NULL;
}

int crash_list_is_empty(const struct crash_list *list, int64_t now_ns)
{
	for (uint32_t i = 0; i < CRASH_LIST_MAX; i++)
		if (counts(&list->suspects[i], now_ns))
			return 0;
	return 1;
}
