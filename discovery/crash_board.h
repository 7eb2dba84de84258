#ifndef DISCOVERY_CRASH_BOARD_H
#define DISCOVERY_CRASH_BOARD_H

#include <stddef.h>

#include "base/strbuf.h"
#include "discovery/host_table.h"
#include "policy/crash_list.h"

/*
 * The crashes of backend servers under requests, as recorded by all hosts. Each
 * host writes its list to the platform's store under a key of its own. The list
 * thus outlives the process: a starting host reads it back.
 */
struct crash_report {
	char host[HOST_NAME_BYTES];
	struct crash_list list;
	uint64_t offset; /* of the record with the list */
	struct crash_report *next;
};

struct crash_board {
	struct crash_reporter reporter; /* looks up the other hosts' lists */
	struct crash_list own;
	int is_restored; /* the own list was read back */
	struct crash_report *others;
	int64_t newest_ms; /* newest crash of all lists, by wall clock */
};

void crash_board_init(struct crash_board *board);
void crash_board_finish(struct crash_board *board);

/* Applies the record of a host's list. Returns -1 if it can't be parsed. */
int crash_board_put(struct crash_board *board, const char *host, int is_own,
		    const void *value, size_t len, uint64_t offset,
		    int64_t now_ms);

/* Removes a host's list unless it is newer than the record at `offset`. */
void crash_board_drop(struct crash_board *board, const char *host,
		      uint64_t offset);

/* Appends the own list to `out`, as a record of that key. */
void crash_board_write(const struct crash_board *board, const char *key,
		       struct strbuf *out);

/* Adds a crash to the own list; returns 0 if it belongs to a listed one. */
int crash_board_add(struct crash_board *board, const struct crash *crash);

/*
 * Removes expired crashes. Returns whether the own list has changed, so that it
 * must be written again.
 */
int crash_board_sweep(struct crash_board *board, int64_t now_ms);

/* Whether all crashes have expired. */
int crash_board_is_idle(const struct crash_board *board, int64_t now_ms);

/* Fills `tally` with the crashes of a request from the lists of all hosts. */
void crash_board_tally(const struct crash_board *board, uint64_t request,
		       int64_t now_ms, struct crash_tally *tally);

#endif
