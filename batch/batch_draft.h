#ifndef BATCH_BATCH_DRAFT_H
#define BATCH_BATCH_DRAFT_H

#include <stdint.h>

#include "base/strbuf.h"
#include "entry/caller_request.h"

/* Reward call that scores the complete text of an item. */
struct draft_reward {
	char *id; /* NULL: the item needs no score */
	char *host;
	char *path;
	struct strbuf body;
};

/* One item of a submitted batch. */
struct draft_item {
	char *id;
	char *path;
	struct strbuf fields; /* to forward, "Name: value\r\n" each */
	struct strbuf body;
	char *group; /* "": none */
	char *model; /* "": none */
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	uint32_t length_hint; /* expected output tokens; 0: unknown */
	struct prompt_part parts[REQUEST_PARTS_MAX];
	uint32_t part_count;
	struct draft_reward reward;
};

/* A submitted batch that is decoded but not accepted yet. */
struct batch_draft {
	char *model; /* "": none */
	uint64_t step;
	uint64_t min_version; /* oldest weight version that may be used */
	uint32_t target_groups; /* that the trainer needs; 0: not given */
	struct draft_item *items;
	uint32_t item_count;
};

void batch_draft_init(struct batch_draft *draft);
void batch_draft_finish(struct batch_draft *draft);

#endif
