#ifndef DISCOVERY_CRASH_BOARD_H
#define DISCOVERY_CRASH_BOARD_H

#include <stddef.h>

#include "base/strbuf.h"
#include "discovery/host_table.h"
#include "policy/crash_list.h"

/*
 * What all hosts have seen of requests that crash backend servers. Each host
 * keeps its list under a key of its own in the platform's store, where it
 * outlives the host's process: a host that starts reads its own list back.
 */
struct crash_report {
	char host[HOST_NAME_BYTES];
	struct crash_list list;
	uint64_t offset; /* of its record */
	struct crash_report *next;
};

struct crash_board {
	struct crash_reporter reporter; /* of what the other hosts list */
	struct crash_list own;
	int is_restored; /* the own list was read back */
	struct crash_report *others;
	int64_t newest_ms; /* of all lists, by wall clock */
};

void crash_board_init(struct crash_board *board);
void crash_board_finish(struct crash_board *board);

/* A host's list as its record holds it; -1: that can't be read. */
int crash_board_put(struct crash_board *board, const char *host, int is_own,
		    const void *value, size_t len, uint64_t offset,
		    int64_t now_ms);
void crash_board_drop(struct crash_board *board, const char *host,
		      uint64_t offset);

/* The own list, as a record of that key. */
void crash_board_write(const struct crash_board *board, const char *key,
		       struct strbuf *out);

/* Returns whether it is a crash of its own. */
int crash_board_note(struct crash_board *board, const struct crash *crash);

/*
 * Forgets what no longer counts; returns whether the own list must be written
 * anew for that.
 */
int crash_board_sweep(struct crash_board *board, int64_t now_ms);

/* Whether no crash counts any more. */
int crash_board_is_idle(const struct crash_board *board, int64_t now_ms);

/* The crashes of a request, by all hosts. */
void crash_board_tally(const struct crash_board *board, uint64_t request,
		       int64_t now_ms, struct crash_tally *tally);

#endif
