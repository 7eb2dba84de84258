#ifndef BATCH_CARRIED_TEXTS_H
#define BATCH_CARRIED_TEXTS_H

#include "batch/run_item.h"

/*
 * Texts of items whose batch has ended. Groups that a trainer did not get
 * whole may come again in a later batch, under the same ids; what was made of
 * them is then used, as far as its weights fit. Bounded: the oldest go first.
 */
#define CARRIED_TEXTS_BUCKETS 128

struct carried_text {
	char *id;
	struct item_text made;
	struct carried_text *next; /* in its bucket */
	struct carried_text *newer;
	struct carried_text *older;
};

struct carried_texts {
	struct carried_text *buckets[CARRIED_TEXTS_BUCKETS];
	struct carried_text *oldest;
	struct carried_text *newest;
	uint64_t bytes;
	uint32_t count;
};

void carried_texts_init(struct carried_texts *texts);
void carried_texts_finish(struct carried_texts *texts);

/* Keeps a copy; one that was kept under the id is replaced. */
void carried_texts_keep(struct carried_texts *texts, const char *id,
			const struct item_text *made);

/* Takes the text out into `made`, which is initialised; 0 if there is none. */
int carried_texts_take(struct carried_texts *texts, const char *id,
		       struct item_text *made);

#endif
