#ifndef SETTINGS_FIELD_H
#define SETTINGS_FIELD_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/strbuf.h"

/*
 * One field of the settings file: where it stands in the JSON text, what it
 * may hold and where its value goes in the struct.
 */
enum field_type {
	FIELD_NAME = 0,
	FIELD_ADDRESS, /* "ip:port", IPv4 */
	FIELD_URL, /* http or https */
	FIELD_FILE, /* path of a file */
	FIELD_UINT,
	FIELD_BOOL,
	FIELD_SHA256, /* 64 hexadecimal digits */
	FIELD_LOG_LEVEL,
	FIELD_REFUSED, /* known, but refused with the reason */
};

struct field {
	const char *path; /* "batch.threads" */
	enum field_type type;
	uint32_t offset;
	uint32_t size; /* of texts, with the NUL */
	uint32_t min;
	uint32_t max;
	int required;
	const char *reason; /* of FIELD_REFUSED */
};

/* Writes what the field takes, such as "a whole number from 1 to 10000". */
void field_print_expected(const struct field *field, struct strbuf *out);

/* Stores a value at its place in `base`; -1 if it is not what is expected. */
int field_store(const struct field *field, const json_t *value, void *base);

/* The fields of the file and of one entry of "operator_list". */
const struct field *settings_fields(uint32_t *count);
const struct field *operator_fields(uint32_t *count);

#endif
