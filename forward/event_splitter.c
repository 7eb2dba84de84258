#include "forward/event_splitter.h"

#include <string.h>

void event_splitter_init(struct event_splitter *splitter)
{
	strbuf_init(&splitter->pending);
	splitter->scanned = 0;
}

void event_splitter_finish(struct event_splitter *splitter)
{
	strbuf_finish(&splitter->pending);
}

int event_splitter_at_boundary(const struct event_splitter *splitter)
{
	return !splitter->pending.len;
}

/*
 * Returns the length of the first event of the text, including its terminating
 * empty line, or 0 if it is incomplete. The first `*scanned` bytes are known
 * not to start a terminator; the value is updated for the next call.
 */
static size_t first_event_len(const char *text, size_t len, size_t *scanned)
{
	size_t at = *scanned;

	while (at < len) {
		const char *line = memchr(text + at, '\n', len - at);
		size_t next;

		if (!line)
			break;
		next = (size_t)(line - text) + 1;
		if (next < len && text[next] == '\n')
			return next + 1;
		if (next + 1 < len && text[next] == '\r' &&
		    text[next + 1] == '\n')
			return next + 2;
		/* The rest of the empty line may not have arrived yet. */
		if (next >= len || (text[next] == '\r' && next + 1 >= len)) {
			*scanned = (size_t)(line - text);
			return 0;
		}
		at = next;
	}
	*scanned = len;
	return 0;
}

int event_splitter_feed(struct event_splitter *splitter, const char *data,
			size_t len,
			int (*fn)(void *arg, const char *event, size_t len),
			void *arg)
{
	struct strbuf *pending = &splitter->pending;
	size_t used = 0;
	size_t event_len;

	strbuf_add(pending, data, len);
	while ((event_len = first_event_len(pending->buf + used,
					    pending->len - used,
					    &splitter->scanned)) > 0) {
		splitter->scanned = 0;
		if (fn(arg, pending->buf + used, event_len))
			return -1;
		used += event_len;
	}
	strbuf_consume(pending, used);
	return pending->len > EVENT_MAX_BYTES ? -1 : 0;
}
