#include "state/entry_ring.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void entry_ring_init(struct entry_ring *ring, uint32_t capacity,
		     size_t max_bytes)
{
	memset(ring, 0, sizeof(*ring));
	ring->entries = xcalloc(capacity, sizeof(*ring->entries));
	ring->capacity = capacity;
	ring->max_bytes = max_bytes;
}

static struct log_entry *at(const struct entry_ring *ring, uint32_t i)
{
	return &ring->entries[(ring->start + i) % ring->capacity];
}

static void drop_oldest(struct entry_ring *ring)
{
	struct log_entry *entry = at(ring, 0);

	ring->bytes -= entry->len;
	free(entry->data);
	entry->data = NULL;
	ring->start = (ring->start + 1) % ring->capacity;
	ring->count--;
}

void entry_ring_finish(struct entry_ring *ring)
{
	while (ring->count)
		drop_oldest(ring);
	free(ring->entries);
}

static void copy_entry(struct log_entry *to, uint64_t offset, const void *data,
		       size_t len)
{
	to->offset = offset;
	to->len = len;
	to->data = xmalloc(len ? len : 1);
	memcpy(to->data, data, len);
}

void entry_ring_add(struct entry_ring *ring, uint64_t offset, const void *data,
		    size_t len)
{
	if (ring->count && offset != at(ring, ring->count - 1)->offset + 1)
		while (ring->count)
			drop_oldest(ring);
	while (ring->count && (ring->count == ring->capacity ||
			       ring->bytes + len > ring->max_bytes))
		drop_oldest(ring);
	copy_entry(at(ring, ring->count), offset, data, len);
	ring->count++;
	ring->bytes += len;
}

const struct log_entry *entry_ring_newest(const struct entry_ring *ring)
{
	return ring->count ? at(ring, ring->count - 1) : NULL;
}

void entry_ring_copy(const struct entry_ring *ring, uint64_t from, uint32_t max,
		     size_t max_bytes, struct log_chunk *out)
{
	uint64_t first = ring->count ? at(ring, 0)->offset : 0;
	size_t bytes = 0;

	memset(out, 0, sizeof(*out));
	out->first = first;
	out->head = first + ring->count;
	if (from < first || from >= out->head)
		return;
	out->entries = xcalloc(max, sizeof(*out->entries));
	for (uint32_t i = (uint32_t)(from - first);
	     i < ring->count && out->entry_count < max; i++) {
		const struct log_entry *entry = at(ring, i);

		bytes += entry->len;
		if (out->entry_count && bytes > max_bytes)
			break;
		copy_entry(&out->entries[out->entry_count++], entry->offset,
			   entry->data, entry->len);
	}
}
