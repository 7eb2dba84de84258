#ifndef LANG_PARSER_H
#define LANG_PARSER_H

#include "lang/lexer.h"

/*
 * Recursive descent over the grammar in docs/language.md, with one token of
 * look-ahead. Each parse_ function returns -1 and fills `err` at the first
 * token that does not fit.
 */
struct parser {
	struct lexer lexer;
	struct token token; /* the next one */
	struct statement *out;
	struct parse_error *err;
};

/* Goes on to the next token. */
int parser_advance(struct parser *parser);

int parser_at_word(const struct parser *parser, const char *word);
int parser_at_end(const struct parser *parser);

/* Refuses the next token: 'expected WHAT, found "it"'. */
int parser_expected(struct parser *parser, const char *what);

/* Takes a keyword, or refuses with what the statement looks like. */
int parser_take_keyword(struct parser *parser, const char *word);

/* Takes a word or string as text; `what` names it in the error. */
int parser_take_text(struct parser *parser, const char *what, char *out,
		     uint32_t size);

/* Takes a whole number from `min` to `max`. */
int parser_take_number(struct parser *parser, const char *what, uint64_t min,
		       uint64_t max, uint64_t *out);

/* The two kinds of statements, after which only the end may come. */
int parse_change(struct parser *parser);
int parse_show(struct parser *parser);

#endif
