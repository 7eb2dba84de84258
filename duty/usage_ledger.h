#ifndef DUTY_USAGE_LEDGER_H
#define DUTY_USAGE_LEDGER_H

#include <stddef.h>

#include "port/duty_port.h"

/*
 * The sums of all hosts by window, as the records of the usage topic say.
 * The first record that closes a window fixes its figures for ever; whatever
 * comes for it later is too late and is counted as such. Pure.
 */
struct usage_window {
	uint64_t number;
	struct team_count *counts; /* of open windows: so far */
	uint32_t count;
	int closed;
	int reported;
	struct usage_window *next; /* in order of number */
};

/* The newest sum of one process, so that a repeat counts once. */
struct usage_source {
	char host[64];
	uint64_t incarnation;
	uint64_t sequence;
	struct usage_source *next;
};

struct usage_ledger {
	struct usage_window *first;
	uint64_t closed_before; /* all windows below it are closed */
	uint64_t late_requests; /* summed up for a window that was closed */
	uint64_t malformed;
	struct usage_source *sources;
};

void usage_ledger_init(struct usage_ledger *ledger);
void usage_ledger_finish(struct usage_ledger *ledger);
void usage_ledger_apply(struct usage_ledger *ledger, const uint8_t *data,
			size_t len);

/*
 * The window to close next: the first that is not closed, none before
 * `since`. It may have no entry yet.
 */
uint64_t usage_ledger_next_open(const struct usage_ledger *ledger,
				uint64_t since);

const struct usage_window *usage_ledger_find(const struct usage_ledger *ledger,
					     uint64_t number);

/* The oldest closed window that is not reported; NULL if there is none. */
const struct usage_window *
usage_ledger_next_report(const struct usage_ledger *ledger);

/* Forgets reported windows below `before`. */
void usage_ledger_forget(struct usage_ledger *ledger, uint64_t before);

#endif
