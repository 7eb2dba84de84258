#ifndef BATCH_BATCH_DRAFT_H
#define BATCH_BATCH_DRAFT_H

#include <stdint.h>

#include "base/strbuf.h"
#include "entry/caller_request.h"

/* The call by which an item's whole text gets its score. */
struct draft_reward {
	char *id; /* NULL: the item needs no score */
	char *host;
	char *path;
	struct strbuf body;
};

/* A batch as it was submitted, before it is accepted. */
struct draft_item {
	char *id;
	char *path;
	struct strbuf fields; /* "Name: value\r\n" each, to be sent along */
	struct strbuf body;
	char *group; /* "": none */
	char *model; /* "": none */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t length_hint; /* output tokens that are expected; 0: none */
	struct prompt_part parts[REQUEST_PARTS_MAX];
	uint32_t part_count;
	struct draft_reward reward;
};

struct batch_draft {
	char *model; /* "": none */
	uint64_t step;
	uint64_t min_version; /* oldest weights that may be used */
	uint32_t target_groups; /* that the trainer waits for; 0: not said */
	struct draft_item *items;
	uint32_t item_count;
};

void batch_draft_init(struct batch_draft *draft);
void batch_draft_finish(struct batch_draft *draft);

#endif
