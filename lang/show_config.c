#include "lang/show_config.h"

#include <inttypes.h>
#include <string.h>

#include "base/bug.h"
#include "lang/schema.h"
#include "state/config_table.h"

static uint32_t number_at(const void *at)
{
	uint32_t number;

	memcpy(&number, at, sizeof(number));
	return number;
}

static void print_words(const char *words, uint32_t mask, struct strbuf *out)
{
	const char *gap = "";

	for (; *words; mask >>= 1) {
		size_t len = strcspn(words, " ");

		if (mask & 1) {
			strbuf_addstr(out, gap);
			strbuf_add(out, words, len);
			gap = ",";
		}
		words += len;
		words += *words == ' ';
	}
}

/* Writes an attribute's value as a statement would. */
static void print_value(const struct attribute_schema *attribute,
			const void *at, struct strbuf *out)
{
	switch (attribute->type) {
	case ATTRIBUTE_UINT:
		strbuf_addf(out, "%" PRIu32, number_at(at));
		break;
	case ATTRIBUTE_BOOL:
		strbuf_addstr(out, number_at(at) ? "true" : "false");
		break;
	case ATTRIBUTE_NAME:
	case ATTRIBUTE_PATH:
		strbuf_addstr(out, at);
		break;
	case ATTRIBUTE_WORD:
		print_words(attribute->words, UINT32_C(1) << number_at(at),
			    out);
		break;
	case ATTRIBUTE_WORDS:
		print_words(attribute->words, number_at(at), out);
		break;
	case ATTRIBUTE_HEX:
		BUG("attribute %s is secret", attribute->name);
	}
}

static void add_attribute(struct table *table,
			  const struct attribute_schema *attribute,
			  const void *at)
{
	struct strbuf text;

	if (attribute->type == ATTRIBUTE_UINT) {
		table_add_integer(table, number_at(at));
		return;
	}
	if (attribute->type == ATTRIBUTE_BOOL) {
		table_add_boolean(table, (int)number_at(at));
		return;
	}
	strbuf_init(&text);
	print_value(attribute, at, &text);
	table_add_text(table, text.buf);
	strbuf_finish(&text);
}

static void add_column(struct table *table, const struct config_table *of,
		       const union config_any *object, const char *column)
{
	const struct object_schema *schema = schema_object(of->kind);
	const struct attribute_schema *attribute =
		schema_attribute(schema, column);
	const struct config_member *member;

	if (!strcmp(column, "version")) {
		table_add_integer(table, (int64_t)object->head.version);
		return;
	}
	if (!strcmp(column, "withdrawn")) {
		table_add_boolean(table, object->key.withdrawn);
		return;
	}
	if (!attribute) {
		table_add_text(table, object->head.name);
		return;
	}
	member = &of->members[attribute - schema->attributes];
	add_attribute(table, attribute, (const char *)object + member->offset);
}

/* All attributes of an object in one text: "weight 2 max_in_flight 0". */
static void add_summary(struct table *table, const struct config_table *of,
			const union config_any *object)
{
	const struct object_schema *schema = schema_object(of->kind);
	struct strbuf text;

	strbuf_init(&text);
	for (uint32_t i = 0; i < schema->attribute_count; i++) {
		const struct attribute_schema *attribute =
			&schema->attributes[i];
		const char *at = (const char *)object + of->members[i].offset;

		if (attribute->internal ||
		    (!*at && !attribute->min &&
		     (attribute->type == ATTRIBUTE_NAME ||
		      attribute->type == ATTRIBUTE_PATH)))
			continue;
		strbuf_addf(&text, "%s%s ", text.len ? " " : "",
			    attribute->name);
		print_value(attribute, at, &text);
	}
	if (of->kind == CURRANT__OBJECT_KIND__OBJECT_KIND_KEY &&
	    object->key.withdrawn)
		strbuf_addstr(&text, " withdrawn");
	table_add_text(table, text.buf);
	strbuf_finish(&text);
}

static int add_object(struct table *table, const struct config_table *of,
		      const union config_any *object)
{
	for (uint32_t i = 0; i < table->subject->column_count; i++)
		add_column(table, of, object, table->subject->columns[i].name);
	return table_end_row(table);
}

static int add_any_object(struct table *table, const struct config_table *of,
			  const union config_any *object)
{
	table_add_text(table, schema_object(of->kind)->word);
	table_add_text(table, object->head.name);
	add_summary(table, of, object);
	table_add_integer(table, (int64_t)object->head.version);
	return table_end_row(table);
}

typedef int (*add_fn)(struct table *table, const struct config_table *of,
		      const union config_any *object);

static int add_all(struct table *table, const struct config *config,
		   const struct config_table *of, add_fn add)
{
	uint32_t count = config_table_count(of, config);

	for (uint32_t i = 0; i < count; i++)
		if (!add(table, of, config_table_at(of, config, i)))
			return 0;
	return 1;
}

static void show_all(const struct config *config, struct table *table)
{
	uint32_t count;
	const struct config_table *tables = config_tables(&count);

	for (uint32_t i = 0; i < count; i++)
		if (!add_all(table, config, &tables[i], add_any_object))
			return;
}

int show_config(const struct config *config, struct table *table)
{
	static const Currant__ObjectKind kinds[] = {
		[SHOW_TEAMS] = CURRANT__OBJECT_KIND__OBJECT_KIND_TEAM,
		[SHOW_KEYS] = CURRANT__OBJECT_KIND__OBJECT_KIND_KEY,
		[SHOW_ROUTES] = CURRANT__OBJECT_KIND__OBJECT_KIND_ROUTE,
		[SHOW_BOUNDS] = CURRANT__OBJECT_KIND__OBJECT_KIND_BOUND,
		[SHOW_BUDGETS] = CURRANT__OBJECT_KIND__OBJECT_KIND_BUDGET,
	};
	enum show_subject subject = table->statement->subject;

	if (subject == SHOW_CONFIGURATION) {
		show_all(config, table);
		return 0;
	}
	if (subject > SHOW_BUDGETS)
		return -1;
	add_all(table, config, config_table(kinds[subject]), add_object);
	return 0;
}
