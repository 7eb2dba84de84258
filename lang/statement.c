#include "lang/statement.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "lang/parser.h"

static int parse_end(struct parser *parser)
{
	while (parser->token.kind == TOKEN_SEMICOLON)
		if (parser_advance(parser))
			return -1;
	if (parser->token.kind == TOKEN_END)
		return 0;
	return parser_expected(parser, "the end of the statement");
}

int statement_parse(const char *text, uint32_t len, struct statement *out,
		    struct parse_error *err)
{
	struct parser parser = { .out = out, .err = err };
	int result;

	memset(out, 0, sizeof(*out));
	lexer_init(&parser.lexer, text, len);
	if (parser_advance(&parser))
		return -1;
	if (parser_at_word(&parser, "show"))
		result = parse_show(&parser);
	else
		result = parse_change(&parser);
	return result ? -1 : parse_end(&parser);
}

int statement_is_blank(const char *text, uint32_t len)
{
	struct parse_error err;
	struct lexer lexer;
	struct token token;

	lexer_init(&lexer, text, len);
	do {
		if (lexer_next(&lexer, &token, &err))
			return 0;
	} while (token.kind == TOKEN_SEMICOLON);
	return token.kind == TOKEN_END;
}

void change_add_attribute(Currant__Change *change, const char *name,
			  const char *value)
{
	Currant__Attribute *attribute = xmalloc(sizeof(*attribute));

	currant__attribute__init(attribute);
	attribute->name = xstrdup(name);
	attribute->value = xstrdup(value);
	change->attributes =
		xrealloc(change->attributes,
			 (change->n_attributes + 1) * sizeof(void *));
	change->attributes[change->n_attributes++] = attribute;
}

Currant__Change *statement_to_change(const struct statement *statement)
{
	Currant__Change *change = xmalloc(sizeof(*change));

	currant__change__init(change);
	change->verb = statement->verb;
	change->kind = statement->object;
	change->name = xstrdup(statement->name);
	for (uint32_t i = 0; i < statement->attribute_count; i++)
		change_add_attribute(change, statement->attributes[i].name,
				     statement->attributes[i].value);
	change->has_expected_version = statement->has_expected_version;
	change->expected_version = statement->expected_version;
	return change;
}
