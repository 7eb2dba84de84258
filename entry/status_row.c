#include "entry/status_row.h"

#include "entry/status_page.h"

void status_put_text(json_t *row, const char *name, const char *text)
{
	json_t *value = json_string(text);

	json_object_set_new(row, name, value ? value : json_string("?"));
}

void status_put_int(json_t *row, const char *name, int64_t value)
{
	json_object_set_new(row, name, json_integer(value));
}

void status_put_bool(json_t *row, const char *name, int value)
{
	json_object_set_new(row, name, json_boolean(value));
}

void status_put_age(json_t *row, const char *name, int64_t then_ns,
		    int64_t now_ns)
{
	status_put_int(row, name,
		       then_ns > 0 ? (now_ns - then_ns) / NS_PER_MS : -1);
}

void status_rows_begin(struct status_rows *rows, uint64_t from)
{
	rows->list = json_array();
	rows->from = from;
	rows->total = 0;
}

json_t *status_rows_add(struct status_rows *rows)
{
	uint64_t number = rows->total++;
	json_t *row;

	if (number < rows->from || number - rows->from >= STATUS_ROWS_MAX)
		return NULL;
	row = json_object();
	json_array_append_new(rows->list, row);
	return row;
}

void status_rows_end(struct status_rows *rows, json_t *page, const char *name)
{
	status_put_int(page, "total", (int64_t)rows->total);
	status_put_int(page, "from", (int64_t)rows->from);
	json_object_set_new(page, name, rows->list);
}
