#ifndef STATE_ENTRY_RING_H
#define STATE_ENTRY_RING_H

#include "port/log_port.h"

/*
 * Copies of the newest log entries, bounded in number and bytes, to serve
 * peers that cannot read the log. Offsets in the ring are contiguous.
 */
struct entry_ring {
	struct log_entry *entries;
	uint32_t capacity;
	uint32_t start;
	uint32_t count;
	size_t bytes;
	size_t max_bytes;
};

void entry_ring_init(struct entry_ring *ring, uint32_t capacity,
		     size_t max_bytes);
void entry_ring_finish(struct entry_ring *ring);

/* Adds a copy of the entry; older ones give way to the bounds. */
void entry_ring_add(struct entry_ring *ring, uint64_t offset, const void *data,
		    size_t len);

/* The newest entry; NULL if the ring is empty. */
const struct log_entry *entry_ring_newest(const struct entry_ring *ring);

/*
 * Copies up to `max` entries from offset `from` on, up to about
 * `max_bytes`; `out->first` is the ring's oldest offset and `out->head` the
 * one after its newest. Free with log_chunk_finish().
 */
void entry_ring_copy(const struct entry_ring *ring, uint64_t from, uint32_t max,
		     size_t max_bytes, struct log_chunk *out);

#endif
