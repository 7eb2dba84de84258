#ifndef STATE_VERDICT_TABLE_H
#define STATE_VERDICT_TABLE_H

#include "state/slot_index.h"
#include "state/state.h"

/* The newest verdicts on commands, found by command id. */
#define VERDICTS_MAX 4096

struct verdict_table {
	struct slot_index index;
	struct verdict *verdicts;
};

void verdict_table_init(struct verdict_table *table);
void verdict_table_finish(struct verdict_table *table);
const struct verdict *verdict_table_find(const struct verdict_table *table,
					 const char *id);

/* Keeps one more; the oldest is forgotten when the table is full. */
void verdict_table_add(struct verdict_table *table,
		       const struct verdict *verdict);

#endif
