#ifndef REQUEST_JSON_BODY_H
#define REQUEST_JSON_BODY_H

#include <jansson.h>
#include <stddef.h>

/*
 * JSON from outside. The parser recurses for each level, and the threads of
 * the HTTP server have small stacks, so deep nesting is refused unparsed.
 */
#define JSON_BODY_DEPTH_MAX 64
/*
 * Each value costs the parser up to 130 bytes, however short its text is, so
 * that a body of many small ones would take many times its size.
 */
#define JSON_BODY_VALUES_MAX 65536

/* Whether arrays and objects are nested deeper than the limit. */
int json_body_is_deep(const char *text, size_t len);

/* Whether the text may hold more values than the limit. */
int json_body_has_many_values(const char *text, size_t len);

/*
 * Returns NULL and fills `why` if the text is too deep, holds too many values
 * or is malformed.
 */
json_t *json_body_parse(const char *text, size_t len, json_error_t *why);

#endif
