#include "lang/parser.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FOUND_BYTES 40
#define DIGITS_MAX 18

int parser_advance(struct parser *parser)
{
	return lexer_next(&parser->lexer, &parser->token, parser->err);
}

int parser_at_word(const struct parser *parser, const char *word)
{
	return parser->token.kind == TOKEN_WORD &&
	       parser->token.len == strlen(word) &&
	       !memcmp(parser->token.text, word, parser->token.len);
}

int parser_at_end(const struct parser *parser)
{
	return parser->token.kind == TOKEN_END ||
	       parser->token.kind == TOKEN_SEMICOLON;
}

int parser_expected(struct parser *parser, const char *what)
{
	const struct token *token = &parser->token;
	int len = token->len < FOUND_BYTES ? (int)token->len : FOUND_BYTES;

	if (token->kind == TOKEN_END)
		return parse_error_set(parser->err, token->column,
				       "expected %s, found the end", what);
	return parse_error_set(parser->err, token->column,
			       "expected %s, found \"%.*s\"", what, len,
			       token->text);
}

int parser_take_keyword(struct parser *parser, const char *word)
{
	char what[FOUND_BYTES];

	if (parser_at_word(parser, word))
		return parser_advance(parser);
	snprintf(what, sizeof(what), "\"%s\"", word);
	return parser_expected(parser, what);
}

int parser_take_text(struct parser *parser, const char *what, char *out,
		     uint32_t size)
{
	const struct token *token = &parser->token;

	if (token->kind != TOKEN_WORD && token->kind != TOKEN_STRING)
		return parser_expected(parser, what);
	if (token->len >= size)
		return parse_error_set(parser->err, token->column,
				       "expected %s of at most %u bytes, "
				       "found %u bytes",
				       what, size - 1, token->len);
	memcpy(out, token->text, token->len);
	out[token->len] = '\0';
	return parser_advance(parser);
}

int parser_take_number(struct parser *parser, const char *what, uint64_t min,
		       uint64_t max, uint64_t *out)
{
	const struct token *token = &parser->token;
	char digits[DIGITS_MAX + 2];
	char expected[FOUND_BYTES * 3];
	uint32_t len = token->len;

	snprintf(expected, sizeof(expected),
		 "%s, a whole number from %" PRIu64 " to %" PRIu64, what, min,
		 max);
	if (token->kind != TOKEN_WORD || len > DIGITS_MAX)
		return parser_expected(parser, expected);
	memcpy(digits, token->text, len);
	digits[len] = '\0';
	if (strspn(digits, "0123456789") != len)
		return parser_expected(parser, expected);
	*out = strtoull(digits, NULL, 10);
	if (*out < min || *out > max)
		return parser_expected(parser, expected);
	return parser_advance(parser);
}
