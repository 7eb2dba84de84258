#ifndef LANG_STATEMENT_H
#define LANG_STATEMENT_H

#include <stdint.h>

#include "proto/record.pb-c.h"

/*
 * One statement of the query and command language (docs/language.md).
 *   create team NAME weight 2 max_in_flight 100;
 *   alter route NAME deadline_ms 5000 if version 8193;
 *   grant key ID to TEAM;  withdraw key ID;
 *   show samples where trainer = "t1" and step >= 5 limit 20;
 */
#define STATEMENT_ATTRIBUTES_MAX 16
#define STATEMENT_CONDITIONS_MAX 8
#define STATEMENT_TEXT_BYTES 128

enum statement_kind { STATEMENT_CHANGE = 0, STATEMENT_SHOW };

enum show_subject {
	SHOW_TEAMS = 0,
	SHOW_KEYS,
	SHOW_ROUTES,
	SHOW_BOUNDS,
	SHOW_BUDGETS,
	SHOW_CONFIGURATION,
	SHOW_SAMPLES,
	SHOW_REQUESTS,
	SHOW_USAGE,
	SHOW_WEIGHTS,
	SHOW_BACKEND_SERVERS,
	SHOW_HOSTS,
	SHOW_LEASES,
};

enum comparison {
	COMPARE_EQUAL = 0,
	COMPARE_NOT_EQUAL,
	COMPARE_LESS,
	COMPARE_LESS_EQUAL,
	COMPARE_GREATER,
	COMPARE_GREATER_EQUAL,
};

struct attribute {
	char name[32];
	char value[STATEMENT_TEXT_BYTES];
};

struct condition {
	char column[32];
	enum comparison comparison;
	char value[STATEMENT_TEXT_BYTES];
};

struct statement {
	enum statement_kind kind;
	/* changes */
	Currant__ChangeVerb verb;
	Currant__ObjectKind object;
	char name[STATEMENT_TEXT_BYTES];
	struct attribute attributes[STATEMENT_ATTRIBUTES_MAX];
	uint32_t attribute_count;
	int has_expected_version;
	uint64_t expected_version;
	/* shows */
	enum show_subject subject;
	struct condition conditions[STATEMENT_CONDITIONS_MAX];
	uint32_t condition_count;
	uint32_t limit; /* 0: all */
};

/* Where and why a statement was refused. */
struct parse_error {
	uint32_t column; /* from 1, in bytes; one past the text: its end */
	char text[256]; /* names what was found and what was expected */
};

/* Parses one statement of `len` bytes, checked against the schema. */
int statement_parse(const char *text, uint32_t len, struct statement *out,
		    struct parse_error *err);

/* Whether the text holds only white space, comments and semicolons. */
int statement_is_blank(const char *text, uint32_t len);

/* Packs a change statement; free with currant__change__free_unpacked(). */
Currant__Change *statement_to_change(const struct statement *statement);

/* Adds an attribute, such as the internal ones of a granted key. */
void change_add_attribute(Currant__Change *change, const char *name,
			  const char *value);

#endif
