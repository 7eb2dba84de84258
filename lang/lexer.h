#ifndef LANG_LEXER_H
#define LANG_LEXER_H

#include <stdint.h>

#include "lang/statement.h"

/* The tokens of a statement. */
enum token_kind {
	TOKEN_END = 0,
	TOKEN_WORD, /* keyword, name, number or path */
	TOKEN_STRING, /* between double quotes; `text` is what is inside */
	TOKEN_COMMA,
	TOKEN_SEMICOLON,
	TOKEN_COMPARISON,
};

struct token {
	enum token_kind kind;
	uint32_t column; /* from 1 */
	const char *text; /* into the statement; not terminated */
	uint32_t len;
	enum comparison comparison; /* of TOKEN_COMPARISON */
};

struct lexer {
	const char *text;
	uint32_t len;
	uint32_t at;
};

void lexer_init(struct lexer *lexer, const char *text, uint32_t len);

/* Reads the next token; -1 and the reason if there is no such token. */
int lexer_next(struct lexer *lexer, struct token *token,
	       struct parse_error *err);

/* Fills `err` and returns -1. */
__attribute__((format(printf, 3, 4))) int
parse_error_set(struct parse_error *err, uint32_t column, const char *fmt, ...);

#endif
