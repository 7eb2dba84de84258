#ifndef FORWARD_EVENT_SPLITTER_H
#define FORWARD_EVENT_SPLITTER_H

#include <stddef.h>

#include "base/strbuf.h"

/*
 * Cuts a text/event-stream into whole events, each with the empty line that
 * ends it, so that no part of an event is passed on before the rest has come.
 */
#define EVENT_MAX_BYTES (256 * 1024)

struct event_splitter {
	struct strbuf pending; /* the start of an event */
	size_t scanned; /* bytes of it that hold no end */
};

void event_splitter_init(struct event_splitter *splitter);
void event_splitter_finish(struct event_splitter *splitter);

/*
 * Calls `fn` with each whole event. -1 if one is over the bound or `fn`
 * returned -1.
 */
int event_splitter_feed(struct event_splitter *splitter, const char *data,
			size_t len,
			int (*fn)(void *arg, const char *event, size_t len),
			void *arg);

/* Whether the stream stands between two events. */
int event_splitter_is_between(const struct event_splitter *splitter);

#endif
