#include "state/slot_index.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static uint32_t power_of_two_above(uint32_t value)
{
	uint32_t power = 16;

	while (power < value)
		power *= 2;
	return power;
}

void slot_index_init(struct slot_index *index, uint32_t capacity)
{
	uint32_t buckets = power_of_two_above(capacity);

	memset(index, 0, sizeof(*index));
	index->capacity = capacity;
	index->bucket_mask = buckets - 1;
	index->buckets = xmalloc(buckets * sizeof(uint32_t));
	index->next = xmalloc(capacity * sizeof(uint32_t));
	index->older = xmalloc(capacity * sizeof(uint32_t));
	index->newer = xmalloc(capacity * sizeof(uint32_t));
	index->hashes = xmalloc(capacity * sizeof(uint64_t));
	slot_index_clear(index);
}

void slot_index_finish(struct slot_index *index)
{
	free(index->buckets);
	free(index->next);
	free(index->older);
	free(index->newer);
	free(index->hashes);
}

void slot_index_clear(struct slot_index *index)
{
	memset(index->buckets, 0xff,
	       (index->bucket_mask + 1) * sizeof(uint32_t));
	index->count = 0;
	index->oldest = SLOT_NONE;
	index->newest = SLOT_NONE;
}

static uint32_t skip_others(const struct slot_index *index, uint32_t slot,
			    uint64_t hash)
{
	while (slot != SLOT_NONE && index->hashes[slot] != hash)
		slot = index->next[slot];
	return slot;
}

uint32_t slot_index_find(const struct slot_index *index, uint64_t hash)
{
	return skip_others(index, index->buckets[hash & index->bucket_mask],
			   hash);
}

uint32_t slot_index_find_next(const struct slot_index *index, uint32_t slot)
{
	return skip_others(index, index->next[slot], index->hashes[slot]);
}

static void unlink_order(struct slot_index *index, uint32_t slot)
{
	uint32_t older = index->older[slot];
	uint32_t newer = index->newer[slot];

	if (older == SLOT_NONE)
		index->oldest = newer;
	else
		index->newer[older] = newer;
	if (newer == SLOT_NONE)
		index->newest = older;
	else
		index->older[newer] = older;
}

static void link_newest(struct slot_index *index, uint32_t slot)
{
	index->older[slot] = index->newest;
	index->newer[slot] = SLOT_NONE;
	if (index->newest == SLOT_NONE)
		index->oldest = slot;
	else
		index->newer[index->newest] = slot;
	index->newest = slot;
}

static void unlink_chain(struct slot_index *index, uint32_t slot)
{
	uint32_t *at =
		&index->buckets[index->hashes[slot] & index->bucket_mask];

	while (*at != slot)
		at = &index->next[*at];
	*at = index->next[slot];
}

uint32_t slot_index_take(struct slot_index *index, uint64_t hash)
{
	uint32_t *bucket = &index->buckets[hash & index->bucket_mask];
	uint32_t slot;

	if (index->count < index->capacity) {
		slot = index->count++;
	} else {
		slot = index->oldest;
		unlink_chain(index, slot);
		unlink_order(index, slot);
	}
	index->hashes[slot] = hash;
	index->next[slot] = *bucket;
	*bucket = slot;
	link_newest(index, slot);
	return slot;
}

void slot_index_touch(struct slot_index *index, uint32_t slot)
{
	if (index->newest == slot)
		return;
	unlink_order(index, slot);
	link_newest(index, slot);
}
