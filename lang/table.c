#include "lang/table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/bug.h"

#define FIRST_ROWS 16

void table_init(struct table *table, const struct statement *statement)
{
	memset(table, 0, sizeof(*table));
	table->statement = statement;
	table->subject = subject_get(statement->subject);
	table->row_max = statement->limit ? statement->limit : TABLE_ROWS_MAX;
}

static struct table_cell *row_at(const struct table *table, uint32_t row)
{
	return table->cells + (size_t)row * table->subject->column_count;
}

static void clear_row(struct table *table, uint32_t row, uint32_t columns)
{
	struct table_cell *cells = row_at(table, row);

	for (uint32_t i = 0; i < columns; i++)
		free(cells[i].text);
	memset(cells, 0, columns * sizeof(*cells));
}

void table_finish(struct table *table)
{
	for (uint32_t i = 0; i < table->row_count; i++)
		clear_row(table, i, table->subject->column_count);
	if (table->next_column)
		clear_row(table, table->row_count, table->next_column);
	free(table->cells);
	memset(table, 0, sizeof(*table));
}

static void grow(struct table *table)
{
	size_t row_bytes =
		table->subject->column_count * sizeof(struct table_cell);
	uint32_t old = table->row_alloc;

	if (table->row_count < old)
		return;
	table->row_alloc = old ? 2 * old : FIRST_ROWS;
	table->cells = xrealloc(table->cells, table->row_alloc * row_bytes);
	memset(row_at(table, old), 0, (table->row_alloc - old) * row_bytes);
}

static struct table_cell *next_cell(struct table *table, enum column_type type)
{
	const struct subject *subject = table->subject;
	uint32_t column = table->next_column;

	if (column >= subject->column_count)
		BUG("row of %s has more than %u cells", subject->word,
		    subject->column_count);
	if (subject->columns[column].type != type)
		BUG("column %s of %s has another type",
		    subject->columns[column].name, subject->word);
	grow(table);
	table->next_column++;
	return row_at(table, table->row_count) + column;
}

void table_add_text(struct table *table, const char *text)
{
	next_cell(table, COLUMN_TEXT)->text = xstrdup(text);
}

void table_add_integer(struct table *table, int64_t number)
{
	next_cell(table, COLUMN_INTEGER)->number = number;
}

void table_add_boolean(struct table *table, int value)
{
	next_cell(table, COLUMN_BOOLEAN)->number = !!value;
}

static int order_of(const struct table_cell *cell, enum column_type type,
		    const char *value)
{
	int64_t number;

	switch (type) {
	case COLUMN_TEXT:
		return strcmp(cell->text, value);
	case COLUMN_BOOLEAN:
		return (int)cell->number - !strcmp(value, "true");
	case COLUMN_INTEGER:
		break;
	}
	number = strtoll(value, NULL, 10);
	return (cell->number > number) - (cell->number < number);
}

static int condition_holds(const struct table *table,
			   const struct condition *condition)
{
	int column = subject_column(table->subject, condition->column);
	int order;

	/* The parser has refused unknown columns. */
	if (column < 0)
		BUG("column %s is unknown", condition->column);
	order = order_of(row_at(table, table->row_count) + column,
			 table->subject->columns[column].type,
			 condition->value);
	switch (condition->comparison) {
	case COMPARE_EQUAL:
		return order == 0;
	case COMPARE_NOT_EQUAL:
		return order != 0;
	case COMPARE_LESS:
		return order < 0;
	case COMPARE_LESS_EQUAL:
		return order <= 0;
	case COMPARE_GREATER:
		return order > 0;
	case COMPARE_GREATER_EQUAL:
		return order >= 0;
	}
	return 0;
}

static int row_is_wanted(const struct table *table)
{
	for (uint32_t i = 0; i < table->statement->condition_count; i++)
		if (!condition_holds(table, &table->statement->conditions[i]))
			return 0;
	return 1;
}

int table_end_row(struct table *table)
{
	uint32_t columns = table->subject->column_count;

	if (table->next_column != columns)
		BUG("row of %s has %u of %u cells", table->subject->word,
		    table->next_column, columns);
	table->next_column = 0;
	if (!row_is_wanted(table)) {
		clear_row(table, table->row_count, columns);
		return 1;
	}
	if (table->row_count == table->row_max) {
		clear_row(table, table->row_count, columns);
		table->truncated = !table->statement->limit;
		return 0;
	}
	table->row_count++;
	/* Without a limit, one more row tells whether any is left out. */
	return table->row_count < table->row_max || !table->statement->limit;
}

const struct table_cell *table_cell(const struct table *table, uint32_t row,
				    uint32_t column)
{
	return row_at(table, row) + column;
}
