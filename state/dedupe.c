#include "state/dedupe.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

void dedupe_init(struct dedupe *dedupe)
{
	slot_index_init(&dedupe->index, DEDUPE_MAX);
	dedupe->entries = xcalloc(DEDUPE_MAX, sizeof(*dedupe->entries));
}

void dedupe_finish(struct dedupe *dedupe)
{
	slot_index_finish(&dedupe->index);
	free(dedupe->entries);
}

static uint32_t find(const struct dedupe *dedupe, uint64_t hash,
		     const char *writer, uint64_t incarnation)
{
	uint32_t slot = slot_index_find(&dedupe->index, hash);

	while (slot != SLOT_NONE) {
		const struct dedupe_entry *entry = &dedupe->entries[slot];

		if (entry->incarnation == incarnation &&
		    !strcmp(entry->writer, writer))
			break;
		slot = slot_index_find_next(&dedupe->index, slot);
	}
	return slot;
}

int dedupe_take(struct dedupe *dedupe, const char *writer, uint64_t incarnation,
		uint64_t sequence)
{
	uint64_t hash = hash_text(writer, incarnation);
	uint32_t slot = find(dedupe, hash, writer, incarnation);
	struct dedupe_entry *entry;

	if (slot != SLOT_NONE) {
		entry = &dedupe->entries[slot];
		if (sequence <= entry->newest_sequence)
			return 0;
		slot_index_touch(&dedupe->index, slot);
	} else {
		slot = slot_index_take(&dedupe->index, hash);
		entry = &dedupe->entries[slot];
		copy_text(entry->writer, sizeof(entry->writer), writer);
		entry->incarnation = incarnation;
	}
	entry->newest_sequence = sequence;
	return 1;
}

uint64_t dedupe_newest(const struct dedupe *dedupe, const char *writer,
		       uint64_t incarnation)
{
	uint32_t slot = find(dedupe, hash_text(writer, incarnation), writer,
			     incarnation);

	return slot == SLOT_NONE ? 0 : dedupe->entries[slot].newest_sequence;
}
