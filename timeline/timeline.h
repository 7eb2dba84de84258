#ifndef TIMELINE_TIMELINE_H
#define TIMELINE_TIMELINE_H

#include <pthread.h>
#include <stdint.h>

#include "base/strbuf.h"

/*
 * The events of one daemon, in a bounded ring, each with a logical time
 * (Lamport clock) that messages between daemons carry along. Sorting the
 * events of all daemons by logical time puts each cause before its effect
 * without trusting any wall clock.
 */
#define TIMELINE_TEXT_BYTES 160

struct timeline_event {
	uint64_t lamport;
	int64_t wall_ms; /* for display */
	char part[16];
	char text[TIMELINE_TEXT_BYTES];
};

struct timeline {
	char process[64];
	pthread_mutex_t lock;
	uint64_t lamport;
	struct timeline_event *ring;
	uint32_t capacity;
	uint64_t total; /* events ever added */
};

void timeline_init(struct timeline *timeline, const char *process,
		   uint32_t capacity);
void timeline_finish(struct timeline *timeline);

__attribute__((format(printf, 3, 4))) void
timeline_add(struct timeline *timeline, const char *part, const char *fmt, ...);

/* Advances the clock for a message that leaves; returns its time. */
uint64_t timeline_on_send(struct timeline *timeline);

/* Takes over the time of a message that arrived. */
void timeline_on_receive(struct timeline *timeline, uint64_t lamport);

/* Writes the ring as a JSON array, oldest first. */
void timeline_print_json(struct timeline *timeline, struct strbuf *out);

#endif
