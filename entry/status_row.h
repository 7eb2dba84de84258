#ifndef ENTRY_STATUS_ROW_H
#define ENTRY_STATUS_ROW_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"

/* Set fields of a row. A text that is not valid UTF-8 becomes "?". */
void status_put_text(json_t *row, const char *name, const char *text);
void status_put_int(json_t *row, const char *name, int64_t value);
void status_put_bool(json_t *row, const char *name, int value);

/* Puts whole milliseconds since `then_ns`; -1 (never) if it is not above 0. */
void status_put_age(json_t *row, const char *name, int64_t then_ns,
		    int64_t now_ns);

/*
 * Rows of a page that may have many. Rows before `from` and those beyond
 * STATUS_ROWS_MAX are left out; the page contains the total number.
 */
struct status_rows {
	json_t *list;
	uint64_t from;
	uint64_t total;
};

void status_rows_begin(struct status_rows *rows, uint64_t from);

/* Returns the next row for the caller to fill; NULL if it is left out. */
json_t *status_rows_add(struct status_rows *rows);

/* Puts the rows, under `name`, and their total number into the page. */
void status_rows_end(struct status_rows *rows, json_t *page, const char *name);

#endif
