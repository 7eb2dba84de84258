#ifndef BASE_JSON_FIELD_H
#define BASE_JSON_FIELD_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/* Read fields of a JSON object; a missing or wrong one gives `otherwise`. */
const char *json_field_text(const json_t *object, const char *name,
			    const char *otherwise);
uint64_t json_field_u64(const json_t *object, const char *name,
			uint64_t otherwise);

double json_field_number(const json_t *object, const char *name,
			 double otherwise);
/* Number times `factor`, cut to the type; 0 if it is missing. */
uint32_t json_field_ms(const json_t *object, const char *name, double factor);
int json_field_bool(const json_t *object, const char *name, int otherwise);

/* The same as 32 bits; a larger value is cut to the largest one. */
uint32_t json_field_u32(const json_t *object, const char *name,
			uint32_t otherwise);

/* Copies a text field; returns -1 if it is missing or too long. */
int json_field_copy(const json_t *object, const char *name, char *out,
		    size_t size);

#endif
