#ifndef STATE_DEDUPE_H
#define STATE_DEDUPE_H

#include "state/config.h"
#include "state/slot_index.h"

/*
 * Newest sequence that was applied of each incarnation of a writer. A
 * writer has one append in flight at a time and sends what is unconfirmed
 * again in order, so that a sequence at or below the newest is a repeat, or
 * a record that its writer gave up; both are ignored.
 */
#define DEDUPE_MAX 4096

struct dedupe_entry {
	char writer[NAME_BYTES];
	uint64_t incarnation;
	uint64_t newest_sequence;
};

struct dedupe {
	struct slot_index index;
	struct dedupe_entry *entries;
};

void dedupe_init(struct dedupe *dedupe);
void dedupe_finish(struct dedupe *dedupe);

/* Returns 1 if the record is new and remembers it, 0 if it is a repeat. */
int dedupe_take(struct dedupe *dedupe, const char *writer, uint64_t incarnation,
		uint64_t sequence);

/* Newest sequence applied of an incarnation; 0 if none is known. */
uint64_t dedupe_newest(const struct dedupe *dedupe, const char *writer,
		       uint64_t incarnation);

#endif
