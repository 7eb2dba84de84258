#ifndef BASE_RECORD_LINE_H
#define BASE_RECORD_LINE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Reads what record_log writes. A line may have anything before its first
 * field, such as the name of the host that a collector adds.
 */
struct record_line {
	const char *text; /* from "ts=" on; NUL-terminated, the caller's */
	int64_t ts_ms;
};

/* Returns -1 if the line is no record. */
int record_line_read(const char *line, struct record_line *out);

/* Copies a field's value, cut to size; -1 if the line has no such field. */
int record_line_field(const struct record_line *line, const char *key,
		      char *out, size_t size);

/* Whether the field has this value. */
int record_line_is(const struct record_line *line, const char *key,
		   const char *value);

/* A whole number; `otherwise` where there is none. */
int64_t record_line_int(const struct record_line *line, const char *key,
			int64_t otherwise);

#endif
