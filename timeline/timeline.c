#include "timeline/timeline.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

void timeline_init(struct timeline *timeline, const char *process,
		   uint32_t capacity)
{
	memset(timeline, 0, sizeof(*timeline));
	copy_text(timeline->process, sizeof(timeline->process), process);
	pthread_mutex_init(&timeline->lock, NULL);
	timeline->capacity = capacity ? capacity : 1;
	timeline->ring = xcalloc(timeline->capacity, sizeof(*timeline->ring));
}

void timeline_finish(struct timeline *timeline)
{
	free(timeline->ring);
	timeline->ring = NULL;
	pthread_mutex_destroy(&timeline->lock);
}

void timeline_add(struct timeline *timeline, const char *part, const char *fmt,
		  ...)
{
	struct timeline_event event;
	va_list ap;

	event.wall_ms = wall_now_ms();
	copy_text(event.part, sizeof(event.part), part);
	va_start(ap, fmt);
	vsnprintf(event.text, sizeof(event.text), fmt, ap);
	va_end(ap);
	pthread_mutex_lock(&timeline->lock);
	event.lamport = ++timeline->lamport;
	timeline->ring[timeline->total++ % timeline->capacity] = event;
	pthread_mutex_unlock(&timeline->lock);
}

uint64_t timeline_on_send(struct timeline *timeline)
{
	uint64_t lamport;

	pthread_mutex_lock(&timeline->lock);
	lamport = ++timeline->lamport;
	pthread_mutex_unlock(&timeline->lock);
	return lamport;
}

void timeline_on_receive(struct timeline *timeline, uint64_t lamport)
{
	pthread_mutex_lock(&timeline->lock);
	if (timeline->lamport < lamport)
		timeline->lamport = lamport;
	timeline->lamport++;
	pthread_mutex_unlock(&timeline->lock);
}

/*
 * Bytes beyond ASCII are escaped one by one, because a text cut to the
 * ring's size may end within a UTF-8 sequence.
 */
static void add_json_string(struct strbuf *out, const char *text)
{
	strbuf_addch(out, '"');
	for (; *text; text++) {
		unsigned char c = (unsigned char)*text;

		if (c == '"' || c == '\\')
			strbuf_addf(out, "\\%c", c);
		else if (c < ' ' || c > '~')
			strbuf_addf(out, "\\u%04x", c);
		else
			strbuf_addch(out, (char)c);
	}
	strbuf_addch(out, '"');
}

static void print_event(const struct timeline *timeline,
			const struct timeline_event *event, struct strbuf *out)
{
	strbuf_addf(out, "{\"lamport\": %" PRIu64 ", \"wall_ms\": %" PRId64,
		    event->lamport, event->wall_ms);
	strbuf_addstr(out, ", \"process\": ");
	add_json_string(out, timeline->process);
	strbuf_addstr(out, ", \"part\": ");
	add_json_string(out, event->part);
	strbuf_addstr(out, ", \"text\": ");
	add_json_string(out, event->text);
	strbuf_addch(out, '}');
}

void timeline_print_json(struct timeline *timeline, struct strbuf *out)
{
	uint64_t first = 0;

	pthread_mutex_lock(&timeline->lock);
	if (timeline->total > timeline->capacity)
		first = timeline->total - timeline->capacity;
	strbuf_addch(out, '[');
	for (uint64_t i = first; i < timeline->total; i++) {
		if (i > first)
			strbuf_addstr(out, ",\n");
		print_event(timeline, &timeline->ring[i % timeline->capacity],
			    out);
	}
	strbuf_addch(out, ']');
	pthread_mutex_unlock(&timeline->lock);
}
