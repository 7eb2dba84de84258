#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "lang/parser.h"
#include "lang/schema.h"
#include "state/name.h"

#define EXPECTED_BYTES 200
#define VERSION_MAX UINT64_C(999999999999999999)
#define OBJECT_WORDS "team, key, route, bound or budget"

/* Looks the object's word up and leaves it for the verb to judge. */
static const struct object_schema *find_object(struct parser *parser)
{
	const struct token *token = &parser->token;
	const struct object_schema *schema;
	char word[32] = "";

	if (token->kind != TOKEN_WORD) {
		parser_expected(parser, OBJECT_WORDS);
		return NULL;
	}
	if (token->len < sizeof(word))
		memcpy(word, token->text, token->len);
	schema = schema_object_by_word(word);
	if (schema)
		return schema;
	parse_error_set(parser->err, token->column,
			"unknown object \"%.*s\", expected " OBJECT_WORDS,
			token->len < 40 ? (int)token->len : 40, token->text);
	return NULL;
}

static int take_name(struct parser *parser, const char *of, char *out)
{
	uint32_t column = parser->token.column;
	char what[EXPECTED_BYTES];

	snprintf(what, sizeof(what), "the name of the %s", of);
	if (parser_take_text(parser, what, out, STATEMENT_TEXT_BYTES))
		return -1;
	if (name_is_valid(out))
		return 0;
	return parse_error_set(
		parser->err, column,
		"expected the name of the %s, %s, found \"%.40s\"", of,
		NAME_EXPECTED, out);
}

static struct attribute *add_attribute(struct statement *out, const char *name)
{
	struct attribute *attribute = &out->attributes[out->attribute_count++];

	copy_text(attribute->name, sizeof(attribute->name), name);
	return attribute;
}

static void print_attributes(const struct object_schema *schema, char *out,
			     size_t size)
{
	size_t used = 0;

	*out = '\0';
	for (uint32_t i = 0; i < schema->attribute_count; i++) {
		if (schema->attributes[i].internal)
			continue;
		used += (size_t)snprintf(out + used, size - used, "%s%s",
					 used ? ", " : "",
					 schema->attributes[i].name);
		if (used >= size)
			return;
	}
}

static const struct attribute_schema *
find_attribute(struct parser *parser, const struct object_schema *schema)
{
	const struct token *token = &parser->token;
	const struct attribute_schema *attribute = NULL;
	char known[EXPECTED_BYTES];
	char name[32] = "";

	if (token->kind == TOKEN_WORD && token->len < sizeof(name)) {
		memcpy(name, token->text, token->len);
		attribute = schema_attribute(schema, name);
	}
	if (attribute && !attribute->internal)
		return attribute;
	print_attributes(schema, known, sizeof(known));
	parse_error_set(parser->err, token->column,
			"unknown attribute \"%.*s\" of a %s, expected %s",
			token->len < 40 ? (int)token->len : 40, token->text,
			schema->word, known);
	return NULL;
}

static int check_new(struct parser *parser, const char *name)
{
	const struct statement *out = parser->out;

	for (uint32_t i = 0; i < out->attribute_count; i++)
		if (!strcmp(out->attributes[i].name, name))
			return parse_error_set(parser->err,
					       parser->token.column,
					       "attribute \"%s\" is given "
					       "twice, expected each once",
					       name);
	return 0;
}

/* Takes `get, post` as the text "get,post". */
static int take_list(struct parser *parser, const char *what, char *out)
{
	size_t used = 0;

	for (;;) {
		if (parser_take_text(parser, what, out + used,
				     (uint32_t)(STATEMENT_TEXT_BYTES - used)))
			return -1;
		if (parser->token.kind != TOKEN_COMMA)
			return 0;
		used += strlen(out + used);
		if (used + 2 > STATEMENT_TEXT_BYTES)
			return parser_expected(parser, "fewer words");
		out[used++] = ',';
		if (parser_advance(parser))
			return -1;
	}
}

/* Drops leading zeros, so that a number has one spelling in the log. */
static void strip_zeros(char *digits)
{
	size_t zeros = strspn(digits, "0");

	if (zeros && !digits[zeros])
		zeros--;
	memmove(digits, digits + zeros, strlen(digits + zeros) + 1);
}

static int take_value(struct parser *parser,
		      const struct attribute_schema *schema, char *out)
{
	uint32_t column = parser->token.column;
	char expected[EXPECTED_BYTES];
	char what[EXPECTED_BYTES + 40];
	int result;

	schema_print_expected(schema, expected, sizeof(expected));
	snprintf(what, sizeof(what), "a value of \"%s\", %s", schema->name,
		 expected);
	if (schema->type == ATTRIBUTE_WORDS)
		result = take_list(parser, what, out);
	else
		result = parser_take_text(parser, what, out,
					  STATEMENT_TEXT_BYTES);
	if (result)
		return -1;
	if (schema->type == ATTRIBUTE_UINT)
		strip_zeros(out);
	if (!schema_check_value(schema, out, NULL))
		return 0;
	return parse_error_set(parser->err, column,
			       "expected %s, found \"%.40s\"", what, out);
}

static int take_attributes(struct parser *parser,
			   const struct object_schema *schema)
{
	while (!parser_at_end(parser) && !parser_at_word(parser, "if")) {
		const struct attribute_schema *attribute =
			find_attribute(parser, schema);

		if (!attribute || check_new(parser, attribute->name) ||
		    parser_advance(parser) ||
		    take_value(
			    parser, attribute,
			    add_attribute(parser->out, attribute->name)->value))
			return -1;
	}
	return 0;
}

static int has_attribute(const struct statement *out, const char *name)
{
	for (uint32_t i = 0; i < out->attribute_count; i++)
		if (!strcmp(out->attributes[i].name, name))
			return 1;
	return 0;
}

static int check_required(struct parser *parser,
			  const struct object_schema *schema)
{
	for (uint32_t i = 0; i < schema->attribute_count; i++) {
		const struct attribute_schema *attribute =
			&schema->attributes[i];
		char what[EXPECTED_BYTES];

		if (!attribute->required || attribute->internal ||
		    has_attribute(parser->out, attribute->name))
			continue;
		snprintf(what, sizeof(what),
			 "attribute \"%s\", which a %s needs", attribute->name,
			 schema->word);
		return parser_expected(parser, what);
	}
	return 0;
}

static int take_version(struct parser *parser)
{
	if (!parser_at_word(parser, "if"))
		return 0;
	parser->out->has_expected_version = 1;
	if (parser_advance(parser) || parser_take_keyword(parser, "version"))
		return -1;
	return parser_take_number(parser, "a version", 0, VERSION_MAX,
				  &parser->out->expected_version);
}

static int parse_create(struct parser *parser,
			const struct object_schema *schema)
{
	return take_attributes(parser, schema) || check_required(parser, schema)
		       ? -1
		       : 0;
}

static int parse_alter(struct parser *parser,
		       const struct object_schema *schema)
{
	if (parser_at_end(parser) || parser_at_word(parser, "if")) {
		char known[EXPECTED_BYTES];

		print_attributes(schema, known, sizeof(known));
		return parser_expected(parser, known);
	}
	return take_attributes(parser, schema);
}

static int parse_nothing(struct parser *parser,
			 const struct object_schema *schema)
{
	(void)parser;
	(void)schema;
	return 0;
}

static int parse_grant(struct parser *parser,
		       const struct object_schema *schema)
{
	(void)schema;
	if (parser_take_keyword(parser, "to"))
		return -1;
	return take_name(parser, "team",
			 add_attribute(parser->out, "team")->value);
}

struct change_form {
	const char *word;
	Currant__ChangeVerb verb;
	int of_keys;
	int (*rest)(struct parser *parser, const struct object_schema *schema);
};

#define VERB(id) CURRANT__CHANGE_VERB__CHANGE_VERB_##id

static const struct change_form forms[] = {
	{ "create", VERB(CREATE), 0, parse_create },
	{ "alter", VERB(ALTER), 0, parse_alter },
	{ "drop", VERB(DROP), 0, parse_nothing },
	{ "grant", VERB(GRANT), 1, parse_grant },
	{ "withdraw", VERB(WITHDRAW), 1, parse_nothing },
};

static int check_verb_suits(struct parser *parser,
			    const struct change_form *form)
{
	int is_key = parser->out->object ==
		     CURRANT__OBJECT_KIND__OBJECT_KIND_KEY;

	if (form->of_keys && !is_key)
		return parser_expected(parser, "\"key\"");
	if (!form->of_keys && is_key)
		return parser_expected(parser,
				       "team, route, bound or budget (a key "
				       "has only grant and withdraw)");
	return 0;
}

static int parse_form(struct parser *parser, const struct change_form *form)
{
	const struct object_schema *schema;

	parser->out->kind = STATEMENT_CHANGE;
	parser->out->verb = form->verb;
	if (parser_advance(parser))
		return -1;
	schema = find_object(parser);
	if (!schema)
		return -1;
	parser->out->object = schema->kind;
	if (check_verb_suits(parser, form) || parser_advance(parser) ||
	    take_name(parser, schema->word, parser->out->name) ||
	    form->rest(parser, schema))
		return -1;
	return take_version(parser);
}

int parse_change(struct parser *parser)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(forms); i++)
		if (parser_at_word(parser, forms[i].word))
			return parse_form(parser, &forms[i]);
	return parser_expected(parser, "a statement: create, alter, drop, "
				       "grant, withdraw or show");
}
