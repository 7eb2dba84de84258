#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "lang/parser.h"
#include "lang/subjects.h"

#define EXPECTED_BYTES 200
#define LIMIT_MAX 1000000
#define FOUND_BYTES 40

static const char *const type_expected[] = {
	[COLUMN_TEXT] = "a word or a string",
	[COLUMN_INTEGER] = "a whole number",
	[COLUMN_BOOLEAN] = "true or false",
};

static const struct subject *find_subject(struct parser *parser)
{
	const struct token *token = &parser->token;
	const struct subject *subject = NULL;
	char known[EXPECTED_BYTES];

	if (token->kind == TOKEN_WORD)
		subject = subject_by_word(token->text, token->len);
	if (subject)
		return subject;
	subjects_print(known, sizeof(known));
	if (token->kind == TOKEN_WORD)
		parse_error_set(parser->err, token->column,
				"unknown subject \"%.*s\", expected %s",
				token->len < FOUND_BYTES ? (int)token->len
							 : FOUND_BYTES,
				token->text, known);
	else
		parser_expected(parser, known);
	return NULL;
}

static int take_column(struct parser *parser, const struct subject *subject,
		       struct condition *condition, enum column_type *type)
{
	const struct token *token = &parser->token;
	char known[EXPECTED_BYTES];
	int index = -1;

	subject_print_columns(subject, known, sizeof(known));
	if (token->kind != TOKEN_WORD)
		return parser_expected(parser, known);
	if (token->len < sizeof(condition->column)) {
		memcpy(condition->column, token->text, token->len);
		condition->column[token->len] = '\0';
		index = subject_column(subject, condition->column);
	}
	if (index < 0)
		return parse_error_set(
			parser->err, token->column,
			"unknown column \"%.*s\" of %s, expected %s",
			token->len < FOUND_BYTES ? (int)token->len
						 : FOUND_BYTES,
			token->text, subject->word, known);
	*type = subject->columns[index].type;
	return parser_advance(parser);
}

static int take_comparison(struct parser *parser, struct condition *condition,
			   enum column_type type)
{
	const struct token *token = &parser->token;
	int is_equality = token->comparison == COMPARE_EQUAL ||
			  token->comparison == COMPARE_NOT_EQUAL;

	if (token->kind != TOKEN_COMPARISON)
		return parser_expected(parser, "=, !=, <, <=, > or >=");
	if (type == COLUMN_BOOLEAN && !is_equality)
		return parser_expected(parser, "= or != for true and false");
	condition->comparison = token->comparison;
	return parser_advance(parser);
}

static int take_value(struct parser *parser, struct condition *condition,
		      enum column_type type)
{
	uint32_t column = parser->token.column;

	if (parser_take_text(parser, type_expected[type], condition->value,
			     sizeof(condition->value)))
		return -1;
	if (!column_value_check(type, condition->value))
		return 0;
	return parse_error_set(parser->err, column,
			       "expected %s for column \"%s\", found "
			       "\"%.40s\"",
			       type_expected[type], condition->column,
			       condition->value);
}

static int take_condition(struct parser *parser, const struct subject *subject)
{
	struct statement *out = parser->out;
	struct condition *condition = &out->conditions[out->condition_count];
	enum column_type type = COLUMN_TEXT;

	if (out->condition_count == STATEMENT_CONDITIONS_MAX)
		return parser_expected(parser, "at most 8 conditions");
	if (take_column(parser, subject, condition, &type) ||
	    take_comparison(parser, condition, type) ||
	    take_value(parser, condition, type))
		return -1;
	out->condition_count++;
	return 0;
}

static int take_conditions(struct parser *parser, const struct subject *subject)
{
	do {
		if (parser_advance(parser) || take_condition(parser, subject))
			return -1;
	} while (parser_at_word(parser, "and"));
	return 0;
}

static int take_limit(struct parser *parser)
{
	uint64_t limit;

	if (parser_advance(parser) ||
	    parser_take_number(parser, "a limit", 1, LIMIT_MAX, &limit))
		return -1;
	parser->out->limit = (uint32_t)limit;
	return 0;
}

int parse_show(struct parser *parser)
{
	const struct subject *subject;

	parser->out->kind = STATEMENT_SHOW;
	if (parser_advance(parser))
		return -1;
	subject = find_subject(parser);
	if (!subject)
		return -1;
	parser->out->subject = subject->subject;
	if (parser_advance(parser))
		return -1;
	if (parser_at_word(parser, "where") && take_conditions(parser, subject))
		return -1;
	if (parser_at_word(parser, "limit"))
		return take_limit(parser);
	if (parser_at_end(parser))
		return 0;
	if (parser->out->condition_count)
		return parser_expected(parser, "\"and\", \"limit\" or the end");
	return parser_expected(parser, "\"where\", \"limit\" or the end");
}
