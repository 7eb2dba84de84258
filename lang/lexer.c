#include "lang/lexer.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "state/name.h"

int parse_error_set(struct parse_error *err, uint32_t column, const char *fmt,
		    ...)
{
	va_list ap;

	err->column = column;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return -1;
}

void lexer_init(struct lexer *lexer, const char *text, uint32_t len)
{
	lexer->text = text;
	lexer->len = len;
	lexer->at = 0;
}

static int is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/* Words hold names, numbers and paths. */
static int is_word_byte(char c)
{
	return name_byte_is_valid(c) || c == '/' || c == '~';
}

static char byte_at(const struct lexer *lexer, uint32_t at)
{
	return at < lexer->len ? lexer->text[at] : '\0';
}

static void skip_blanks(struct lexer *lexer)
{
	for (; lexer->at < lexer->len; lexer->at++) {
		if (is_space(lexer->text[lexer->at]))
			continue;
		if (byte_at(lexer, lexer->at) != '-' ||
		    byte_at(lexer, lexer->at + 1) != '-')
			return;
		while (lexer->at < lexer->len && lexer->text[lexer->at] != '\n')
			lexer->at++;
		if (lexer->at == lexer->len)
			return;
	}
}

static int take(struct lexer *lexer, struct token *token, enum token_kind kind,
		uint32_t len)
{
	token->kind = kind;
	token->text = lexer->text + lexer->at;
	token->len = len;
	lexer->at += len;
	return 0;
}

static int take_string(struct lexer *lexer, struct token *token,
		       struct parse_error *err)
{
	uint32_t end = lexer->at + 1;

	for (; end < lexer->len && lexer->text[end] != '"'; end++) {
		char c = lexer->text[end];

		if (c < ' ' || c > '~')
			return parse_error_set(err, end + 1,
					       "byte 0x%02x in a string, "
					       "expected visible ASCII",
					       (unsigned char)c);
	}
	if (end >= lexer->len)
		return parse_error_set(err, token->column,
				       "string without its closing quote");
	token->kind = TOKEN_STRING;
	token->text = lexer->text + lexer->at + 1;
	token->len = end - lexer->at - 1;
	lexer->at = end + 1;
	return 0;
}

static int take_comparison(struct lexer *lexer, struct token *token)
{
	static const struct {
		const char *text;
		enum comparison comparison;
	} forms[] = {
		{ "!=", COMPARE_NOT_EQUAL },	 { "<=", COMPARE_LESS_EQUAL },
		{ ">=", COMPARE_GREATER_EQUAL }, { "=", COMPARE_EQUAL },
		{ "<", COMPARE_LESS },		 { ">", COMPARE_GREATER },
	};

	for (uint32_t i = 0; i < ARRAY_SIZE(forms); i++) {
		uint32_t len = (uint32_t)strlen(forms[i].text);

		if (len > lexer->len - lexer->at ||
		    memcmp(lexer->text + lexer->at, forms[i].text, len))
			continue;
		token->comparison = forms[i].comparison;
		return take(lexer, token, TOKEN_COMPARISON, len);
	}
	return -1;
}

int lexer_next(struct lexer *lexer, struct token *token,
	       struct parse_error *err)
{
	uint32_t len = 0;
	char c;

	skip_blanks(lexer);
	memset(token, 0, sizeof(*token));
	token->column = lexer->at + 1;
	if (lexer->at == lexer->len)
		return take(lexer, token, TOKEN_END, 0);
	c = lexer->text[lexer->at];
	if (c == '"')
		return take_string(lexer, token, err);
	if (c == ',')
		return take(lexer, token, TOKEN_COMMA, 1);
	if (c == ';')
		return take(lexer, token, TOKEN_SEMICOLON, 1);
	if (!take_comparison(lexer, token))
		return 0;
	while (is_word_byte(byte_at(lexer, lexer->at + len)))
		len++;
	if (len)
		return take(lexer, token, TOKEN_WORD, len);
	return parse_error_set(err, token->column,
			       "unexpected byte 0x%02x, expected a word, a "
			       "string or a comparison",
			       (unsigned char)c);
}
