#ifndef FORWARD_EVENT_SPLITTER_H
#define FORWARD_EVENT_SPLITTER_H

#include <stddef.h>

#include "base/strbuf.h"

/*
 * Splits a text/event-stream into complete events, each including the empty
 * line that terminates it, so that no partial event is forwarded.
 */
#define EVENT_MAX_BYTES (256 * 1024)

struct event_splitter {
	struct strbuf pending; /* an incomplete event */
	size_t scanned; /* bytes of it known to contain no terminator */
};

void event_splitter_init(struct event_splitter *splitter);
void event_splitter_finish(struct event_splitter *splitter);

/*
 * Calls `fn` for each complete event. Returns -1 if an event exceeds
 * EVENT_MAX_BYTES or if `fn` returned -1.
 */
int event_splitter_feed(struct event_splitter *splitter, const char *data,
			size_t len,
			int (*fn)(void *arg, const char *event, size_t len),
			void *arg);

/* Whether no incomplete event is buffered. */
int event_splitter_at_boundary(const struct event_splitter *splitter);

#endif
