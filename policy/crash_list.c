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

/* Index of the request's entry, however old; -1 if there is none. */
static int32_t place_of(const struct crash_list *list, uint64_t request)
{
	for (int32_t i = 0; i < CRASH_LIST_MAX; i++)
		if (list->suspects[i].crashes &&
		    list->suspects[i].request == request)
			return i;
	return -1;
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

int crash_list_note(struct crash_list *list, uint64_t request, uint64_t server,
		    int64_t now_ns)
{
	int32_t place = place_of(list, request);
	struct crash_suspect *suspect = place >= 0 ? &list->suspects[place]
						   : find_place(list);

	if (place >= 0 && suspect->server == server &&
	    now_ns - suspect->last_ns < CRASH_APART_NS)
		return 0;
	if (place < 0 || !counts(suspect, now_ns))
		suspect->crashes = 0;
	suspect->request = request;
	suspect->crashes++;
	suspect->server = server;
	suspect->last_ns = now_ns;
	return 1;
}

int crash_list_clear(struct crash_list *list, uint64_t request)
{
	int32_t place = place_of(list, request);

	if (place < 0)
		return 0;
	list->suspects[place].crashes = 0;
	return 1;
}

const struct crash_suspect *crash_list_find(const struct crash_list *list,
					    uint64_t request, int64_t now_ns)
{
	int32_t place = place_of(list, request);

	return place >= 0 && counts(&list->suspects[place], now_ns)
		       ? &list->suspects[place]
		       : NULL;
}

int crash_list_is_empty(const struct crash_list *list, int64_t now_ns)
{
	for (uint32_t i = 0; i < CRASH_LIST_MAX; i++)
		if (counts(&list->suspects[i], now_ns))
			return 0;
	return 1;
}
