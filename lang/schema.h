#ifndef LANG_SCHEMA_H
#define LANG_SCHEMA_H

#include <stdint.h>

#include "base/error.h"
#include "proto/record.pb-c.h"

/* The attributes that each kind of object has, with type and range. */
enum attribute_type {
	ATTRIBUTE_UINT = 0, /* decimal, without leading zeros */
	ATTRIBUTE_BOOL, /* true or false */
	ATTRIBUTE_NAME, /* see state/name.h; `min` 0 allows none */
	ATTRIBUTE_PATH, /* starts with /; `min` 0 allows none */
	ATTRIBUTE_WORD, /* one of `words` */
	ATTRIBUTE_WORDS, /* some of `words`, separated by commas */
	ATTRIBUTE_HEX, /* lower-case hexadecimal of `max` bytes */
};

struct attribute_schema {
	const char *name;
	enum attribute_type type;
	uint64_t min;
	uint64_t max;
	const char *words; /* separated by spaces */
	int required; /* on create or grant */
	int internal; /* not written by operators */
	const char *default_value; /* NULL: zero or empty */
};

struct object_schema {
	Currant__ObjectKind kind;
	const char *word; /* "team" */
	const struct attribute_schema *attributes;
	uint32_t attribute_count;
};

const struct object_schema *schema_object(Currant__ObjectKind kind);
const struct object_schema *schema_object_by_word(const char *word);
const struct attribute_schema *
schema_attribute(const struct object_schema *object, const char *name);

/* Checks a value against its attribute's type and range. */
int schema_check_value(const struct attribute_schema *attribute,
		       const char *value, struct error *err);

/* Writes what the attribute takes, such as "a whole number from 1 to 9". */
void schema_print_expected(const struct attribute_schema *attribute, char *out,
			   uint32_t size);

/* Writes text from outside for an error: cut, with '?' for odd bytes. */
void schema_print_held(const char *text, char *out, uint32_t size);

/* The place of `len` bytes in words separated by spaces; -1 if missing. */
int schema_word_index(const char *words, const char *word, uint32_t len);

/* One bit for each of the words in `value`; 0 if one of them is unknown. */
uint32_t schema_word_mask(const char *words, const char *value);

#endif
