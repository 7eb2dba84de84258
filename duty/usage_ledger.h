#ifndef DUTY_USAGE_LEDGER_H
#define DUTY_USAGE_LEDGER_H

#include <stddef.h>

#include "port/duty_port.h"

/*
 * The sums of all hosts by window, built from the records of the usage topic.
 * The first record that closes a window fixes its counts; sums for it that are
 * read later are counted as late. Does no I/O.
 */
struct usage_window {
	uint64_t number;
	struct team_count *counts; /* owned; grow while the window is open */
	uint32_t count;
	int closed;
	int reported;
	struct usage_window *next; /* ascending by number */
};

/* The newest sum of one process; makes repeated sums idempotent. */
struct usage_source {
	char host[64];
	uint64_t incarnation;
	uint64_t sequence;
	struct usage_source *next;
};

struct usage_ledger {
	struct usage_window *first;
	uint64_t closed_before; /* windows below it are closed; 0: none is */
	uint64_t late_requests; /* in sums for windows already closed */
	uint64_t malformed;
	struct usage_source *sources;
};

void usage_ledger_init(struct usage_ledger *ledger);
void usage_ledger_finish(struct usage_ledger *ledger);
void usage_ledger_apply(struct usage_ledger *ledger, const uint8_t *data,
			size_t len);

/*
 * Forgets all windows, as records of theirs cannot be read any more. Which sums
 * of a host are repeats stays known.
 */
void usage_ledger_forget(struct usage_ledger *ledger);

/*
 * Number of the window to close next. If none was closed yet, it is the first
 * window with a sum or `since`, whichever is lower. The ledger may have no
 * entry for it.
 */
uint64_t usage_ledger_next_open(const struct usage_ledger *ledger,
				uint64_t since);

const struct usage_window *usage_ledger_find(const struct usage_ledger *ledger,
					     uint64_t number);

/* The oldest closed window that is not reported; NULL if there is none. */
const struct usage_window *
usage_ledger_next_report(const struct usage_ledger *ledger);

/* Frees windows below `before`, except those closed but not reported. */
void usage_ledger_prune(struct usage_ledger *ledger, uint64_t before);

#endif
