#include "state/verdict_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

void verdict_table_init(struct verdict_table *table)
{
	slot_index_init(&table->index, VERDICTS_MAX);
	table->verdicts = xcalloc(VERDICTS_MAX, sizeof(*table->verdicts));
}

void verdict_table_finish(struct verdict_table *table)
{
	slot_index_finish(&table->index);
	free(table->verdicts);
}

const struct verdict *verdict_table_find(const struct verdict_table *table,
					 const char *id)
{
	uint32_t slot = slot_index_find(&table->index, hash_text(id, 0));

	while (slot != SLOT_NONE) {
		if (!strcmp(table->verdicts[slot].id, id))
			return &table->verdicts[slot];
		slot = slot_index_find_next(&table->index, slot);
	}
	return NULL;
}

void verdict_table_add(struct verdict_table *table,
		       const struct verdict *verdict)
{
	uint32_t slot =
		slot_index_take(&table->index, hash_text(verdict->id, 0));

	table->verdicts[slot] = *verdict;
}
