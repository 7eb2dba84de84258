#ifndef LANG_SUBJECTS_H
#define LANG_SUBJECTS_H

#include <stdint.h>

#include "lang/statement.h"

/* What `show` can be asked for, each with its columns. */
enum column_type { COLUMN_TEXT = 0, COLUMN_INTEGER, COLUMN_BOOLEAN };

struct column {
	const char *name;
	enum column_type type;
};

struct subject {
	enum show_subject subject;
	const char *word;
	const struct column *columns;
	uint32_t column_count;
};

const struct subject *subject_get(enum show_subject subject);
const struct subject *subject_by_word(const char *word, uint32_t len);

/* The place of a column, or -1. */
int subject_column(const struct subject *subject, const char *name);

/* Lists the words of all subjects, or the columns of one, for errors. */
void subjects_print(char *out, uint32_t size);
void subject_print_columns(const struct subject *subject, char *out,
			   uint32_t size);

/* Reads "true", "false" or a whole number; -1 if it is not of this type. */
int column_value_check(enum column_type type, const char *value);

#endif
