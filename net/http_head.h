#ifndef NET_HTTP_HEAD_H
#define NET_HTTP_HEAD_H

#include <stdint.h>

#include "base/strbuf.h"

/*
 * The head of an HTTP/1.1 message as it came: start line and fields, with
 * repeated fields kept in their order. Texts are NUL-terminated and live as
 * long as the head is unchanged.
 */
#define HTTP_HEAD_FIELDS 100

struct http_field {
	uint32_t name; /* offsets into `text` */
	uint32_t value;
};

struct http_head {
	struct strbuf text;
	const char *method; /* requests */
	uint32_t target; /* requests: offset of path and query, as they came */
	uint16_t status; /* responses */
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

/* First value of a field, whose name has any case; NULL if it is absent. */
const char *http_head_find(const struct http_head *head, const char *name);

/* How many fields have this name. */
uint32_t http_head_count(const struct http_head *head, const char *name);

/* Whether a field of this name always concerns one connection alone. */
int http_name_is_hop(const char *name);

/*
 * Whether a field concerns one connection alone and is not passed on: the
 * usual hop-by-hop fields, what Connection names, and the framing.
 */
int http_head_is_hop_field(const struct http_head *head, uint32_t index);

#endif
