#ifndef STATE_SLOT_INDEX_H
#define STATE_SLOT_INDEX_H

#include <stdint.h>

/*
 * Finds slots of a bounded table by hash and knows their order of use. The
 * table keeps its values in an array of its own, one for each slot. A slot
 * that is taken while the index is full is the one used least recently, so
 * that what is forgotten follows from the order of calls alone.
 */
#define SLOT_NONE UINT32_MAX

struct slot_index {
	uint32_t capacity;
	uint32_t count;
	uint32_t bucket_mask;
	uint32_t *buckets; /* first slot of each chain */
	uint32_t *next; /* in the chain */
	uint32_t *older;
	uint32_t *newer;
	uint64_t *hashes;
	uint32_t oldest;
	uint32_t newest;
};

void slot_index_init(struct slot_index *index, uint32_t capacity);
void slot_index_finish(struct slot_index *index);
void slot_index_clear(struct slot_index *index);

/* First slot with this hash, and the next one after `slot`; or SLOT_NONE. */
uint32_t slot_index_find(const struct slot_index *index, uint64_t hash);
uint32_t slot_index_find_next(const struct slot_index *index, uint32_t slot);

/* Gives out a slot as the newest one, the oldest one's if none is free. */
uint32_t slot_index_take(struct slot_index *index, uint64_t hash);

/* Makes a slot the newest one. */
void slot_index_touch(struct slot_index *index, uint32_t slot);

static inline int slot_index_full(const struct slot_index *index)
{
	return index->count == index->capacity;
}

#endif
