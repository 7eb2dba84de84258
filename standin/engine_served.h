#ifndef STANDIN_ENGINE_SERVED_H
#define STANDIN_ENGINE_SERVED_H

#include <jansson.h>
#include <stdint.h>

/* Tokens in a row that one weight version produced. */
struct span {
	uint64_t version;
	uint32_t tokens;
};

struct span_list {
	struct span *spans;
	uint32_t count;
};

void span_list_add(struct span_list *list, uint64_t version, uint32_t tokens);
void span_list_finish(struct span_list *list);
json_t *span_list_json(const struct span_list *list);

/*
 * The engine's own record of what it generated, by request id; the last
 * SERVED_MAX ones are kept. The caller excludes other threads.
 */
#define SERVED_MAX 65536

struct served_entry {
	char id[64];
	struct span_list spans;
};

struct served {
	struct served_entry *entries;
	uint64_t total;
};

void served_init(struct served *served);

/* Takes over the spans. */
void served_add(struct served *served, const char *id, struct span_list *spans);
json_t *served_json(const struct served *served);

#endif
