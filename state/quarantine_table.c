#include "state/quarantine_table.h"

#include <stdlib.h>

#include "base/alloc.h"

void quarantine_table_init(struct quarantine_table *table)
{
	slot_index_init(&table->index, QUARANTINES_MAX);
	table->entries = xcalloc(QUARANTINES_MAX, sizeof(*table->entries));
}

void quarantine_table_finish(struct quarantine_table *table)
{
	slot_index_finish(&table->index);
	free(table->entries);
}

void quarantine_table_set(struct quarantine_table *table, uint64_t fingerprint,
			  uint64_t until_wall_ms)
{
	uint32_t slot = slot_index_find(&table->index, fingerprint);
	struct quarantine *entry;

	if (slot == SLOT_NONE) {
		slot = slot_index_take(&table->index, fingerprint);
		table->entries[slot].until_wall_ms = 0;
	} else {
		slot_index_touch(&table->index, slot);
	}
	entry = &table->entries[slot];
	entry->fingerprint = fingerprint;
	if (until_wall_ms > entry->until_wall_ms)
		entry->until_wall_ms = until_wall_ms;
}

int quarantine_table_holds(const struct quarantine_table *table,
			   uint64_t fingerprint, uint64_t wall_ms)
{
	uint32_t slot = slot_index_find(&table->index, fingerprint);

	return slot != SLOT_NONE &&
	       wall_ms < table->entries[slot].until_wall_ms;
}
