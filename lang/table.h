#ifndef LANG_TABLE_H
#define LANG_TABLE_H

#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "base/strbuf.h"
#include "lang/statement.h"
#include "lang/subjects.h"

/*
 * The answer to a `show`: rows of typed cells. Whoever knows the subject
 * adds the cells of each row in the order of its columns (lang/subjects.h)
 * and ends the row, which stays if it meets the statement's conditions:
 *
 *   table_init(&table, &statement);
 *   do {
 *           table_add_text(&table, name);
 *           table_add_integer(&table, version);
 *   } while (table_end_row(&table) && more);
 */
#define TABLE_ROWS_MAX 20000 /* of a statement without a limit */

struct table_cell {
	char *text; /* of COLUMN_TEXT, owned */
	int64_t number; /* of COLUMN_INTEGER, or 0 and 1 of COLUMN_BOOLEAN */
};

struct table {
	const struct statement *statement; /* outlives the table */
	const struct subject *subject;
	struct table_cell *cells; /* row after row */
	uint32_t row_count;
	uint32_t row_alloc;
	uint32_t row_max;
	uint32_t next_column; /* of the row being added */
	int truncated; /* rows were left out for want of a limit */
};

void table_init(struct table *table, const struct statement *statement);
void table_finish(struct table *table);

/* The next cell of the row; its type must be that of the column. */
void table_add_text(struct table *table, const char *text);
void table_add_integer(struct table *table, int64_t number);
void table_add_boolean(struct table *table, int value);

/* Ends the row. Returns 0 once no further row would be kept. */
int table_end_row(struct table *table);

/* The rows that were kept. */
const struct table_cell *table_cell(const struct table *table, uint32_t row,
				    uint32_t column);

/*
 * As {"kind":"table","columns":[NAME, ...],"rows":[[CELL, ...], ...]}, and
 * "truncated":true if rows were left out. The caller drops the reference.
 */
json_t *table_to_json(const struct table *table);

/* Appends the JSON text of table_to_json(). */
void table_print_json(const struct table *table, struct strbuf *out);

/* Appends columns under their names, aligned, one row a line. */
void table_print_text(const struct table *table, struct strbuf *out);

/* The same for the JSON form, which may come from another process. */
int table_json_print_text(const json_t *table, struct strbuf *out,
			  struct error *err);

#endif
