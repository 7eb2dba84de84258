#ifndef CLIENT_JSON_FIELD_H
#define CLIENT_JSON_FIELD_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/* Read fields of a JSON object; a missing or wrong one gives `otherwise`. */
const char *json_field_text(const json_t *object, const char *name,
			    const char *otherwise);
uint64_t json_field_u64(const json_t *object, const char *name,
			uint64_t otherwise);

/* Copies a text field; returns -1 if it is missing or too long. */
int json_field_copy(const json_t *object, const char *name, char *out,
		    size_t size);

#endif
