#ifndef NET_HTTP_HEAD_H
#define NET_HTTP_HEAD_H

#include <stdint.h>

#include "base/strbuf.h"

/*
 * The head of an HTTP/1.1 message as received: start line and fields;
 * repeated fields stay separate and in order. Strings are NUL-terminated and
 * valid until the head is changed.
 */
#define HTTP_HEAD_FIELDS 100

struct http_field {
	uint32_t name; /* offsets into `text` */
	uint32_t value;
};

struct http_head {
	struct strbuf text;
	const char *method; /* requests only */
	uint32_t target; /* requests: offset of path and query, undecoded */
	uint16_t status; /* responses only */
	struct http_field fields[HTTP_HEAD_FIELDS];
	uint32_t field_count;
};

void http_head_init(struct http_head *head);
void http_head_finish(struct http_head *head);
void http_head_reset(struct http_head *head);

/* Path and query of a request. */
const char *http_head_target(const struct http_head *head);

const char *http_head_name(const struct http_head *head, uint32_t index);
const char *http_head_value(const struct http_head *head, uint32_t index);

/* First value of a field, by case-insensitive name; NULL if absent. */
const char *http_head_find(const struct http_head *head, const char *name);

/* Number of fields with this name, which is case-insensitive. */
uint32_t http_head_count(const struct http_head *head, const char *name);

/*
 * Whether a field of this name applies to a single connection in every
 * message, whatever its Connection field lists.
 */
int http_name_is_hop_by_hop(const char *name);

/*
 * Whether a field applies to a single connection and is not forwarded: the
 * standard hop-by-hop fields, those listed in Connection, and the framing.
 */
int http_head_is_hop_by_hop(const struct http_head *head, uint32_t index);

#endif
