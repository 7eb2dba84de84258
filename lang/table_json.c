#include <stdlib.h>

#include "lang/table.h"

static json_t *cell_to_json(const struct table_cell *cell,
			    enum column_type type)
{
	json_t *text;

	switch (type) {
	case COLUMN_INTEGER:
		return json_integer(cell->number);
	case COLUMN_BOOLEAN:
		return json_boolean(cell->number);
	case COLUMN_TEXT:
		break;
	}
	text = json_string(cell->text);
	return text ? text : json_string("(not UTF-8)");
}

static json_t *row_to_json(const struct table *table, uint32_t row)
{
	json_t *cells = json_array();

	for (uint32_t i = 0; i < table->subject->column_count; i++)
		json_array_append_new(
			cells, cell_to_json(table_cell(table, row, i),
					    table->subject->columns[i].type));
	return cells;
}

json_t *table_to_json(const struct table *table)
{
	json_t *columns = json_array();
	json_t *rows = json_array();
	json_t *result = json_object();

	for (uint32_t i = 0; i < table->subject->column_count; i++)
		json_array_append_new(
			columns, json_string(table->subject->columns[i].name));
	for (uint32_t i = 0; i < table->row_count; i++)
		json_array_append_new(rows, row_to_json(table, i));
	json_object_set_new(result, "kind", json_string("table"));
	json_object_set_new(result, "columns", columns);
	json_object_set_new(result, "rows", rows);
	if (table->truncated)
		json_object_set_new(result, "truncated", json_true());
	return result;
}

void table_print_json(const struct table *table, struct strbuf *out)
{
	json_t *json = table_to_json(table);
	char *text = json_dumps(json, JSON_COMPACT);

	if (text)
		strbuf_addstr(out, text);
	free(text);
	json_decref(json);
}
