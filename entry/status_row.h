#ifndef ENTRY_STATUS_ROW_H
#define ENTRY_STATUS_ROW_H

#include <jansson.h>
#include <stdint.h>

#include "base/clock.h"

/* Fields of a row of a status page. A text that is no UTF-8 becomes "?". */
void status_put_text(json_t *row, const char *name, const char *text);
void status_put_int(json_t *row, const char *name, int64_t value);
void status_put_bool(json_t *row, const char *name, int value);

/* Whole milliseconds since `then_ns`; -1 if that isn't above 0, for never. */
void status_put_age(json_t *row, const char *name, int64_t then_ns,
		    int64_t now_ns);

/*
 * Rows of a page that may have many: those before `from` and beyond the
 * bound are left out, and the page says how many there are.
 */
struct status_rows {
	json_t *list;
	uint64_t from;
	uint64_t total;
};

void status_rows_begin(struct status_rows *rows, uint64_t from);

/* The next row, to be filled in; NULL if it is left out. */
json_t *status_rows_add(struct status_rows *rows);

/* Puts the rows, by that name, and their whole number into the page. */
void status_rows_end(struct status_rows *rows, json_t *page, const char *name);

#endif
