#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "lang/table.h"

#define CELL_BYTES 32
#define GAP "  "

/* Text of a cell; numbers are written into `scratch`. */
static const char *cell_text(const json_t *cell, char *scratch)
{
	if (json_is_string(cell))
		return json_string_value(cell);
	if (json_is_boolean(cell))
		return json_is_true(cell) ? "true" : "false";
	if (json_is_integer(cell)) {
		snprintf(scratch, CELL_BYTES, "%" JSON_INTEGER_FORMAT,
			 json_integer_value(cell));
		return scratch;
	}
	return "-";
}

/* Characters, not bytes, so that columns stay aligned. */
static size_t text_width(const char *text)
{
	size_t width = 0;

	for (; *text; text++)
		width += ((unsigned char)*text & 0xc0) != 0x80;
	return width;
}

static void widen(size_t *widths, const json_t *row)
{
	char scratch[CELL_BYTES];
	size_t i;
	json_t *cell;

	json_array_foreach (row, i, cell) {
		size_t width = text_width(cell_text(cell, scratch));

		if (width > widths[i])
			widths[i] = width;
	}
}

static void print_cell(const json_t *cell, size_t width, int is_last,
		       struct strbuf *out)
{
	char scratch[CELL_BYTES];
	const char *text = cell_text(cell, scratch);
	size_t used = text_width(text);
	int is_number = json_is_integer(cell);

	if (is_number)
		strbuf_addf(out, "%*s", (int)(width - used), "");
	/* Control bytes of other processes stay off the terminal. */
	for (; *text; text++)
		strbuf_addch(out, (unsigned char)*text < ' ' ? ' ' : *text);
	if (!is_number && !is_last)
		strbuf_addf(out, "%*s", (int)(width - used), "");
	strbuf_addstr(out, is_last ? "\n" : GAP);
}

static void print_row(const json_t *row, const size_t *widths,
		      struct strbuf *out)
{
	size_t count = json_array_size(row);
	size_t i;
	json_t *cell;

	json_array_foreach (row, i, cell)
		print_cell(cell, widths[i], i + 1 == count, out);
}

static int is_table(const json_t *columns, const json_t *rows)
{
	size_t i;
	json_t *row;

	if (!json_array_size(columns) || !json_is_array(rows))
		return 0;
	json_array_foreach (rows, i, row)
		if (json_array_size(row) != json_array_size(columns))
			return 0;
	return 1;
}

int table_json_print_text(const json_t *table, struct strbuf *out,
			  struct error *err)
{
	const json_t *columns = json_object_get(table, "columns");
	const json_t *rows = json_object_get(table, "rows");
	size_t *widths;
	size_t i;
	json_t *row;

	if (!is_table(columns, rows))
		return error_set(err, ERROR_PROTOCOL,
				 "the answer is no table of equal rows");
	widths = xcalloc(json_array_size(columns), sizeof(*widths));
	widen(widths, columns);
	json_array_foreach (rows, i, row)
		widen(widths, row);
	print_row(columns, widths, out);
	json_array_foreach (rows, i, row)
		print_row(row, widths, out);
	if (json_is_true(json_object_get(table, "truncated")))
		strbuf_addf(out, "(only the first %zu rows)\n",
			    json_array_size(rows));
	free(widths);
	return 0;
}

void table_print_text(const struct table *table, struct strbuf *out)
{
	json_t *json = table_to_json(table);

	table_json_print_text(json, out, NULL);
	json_decref(json);
}
