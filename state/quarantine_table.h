#ifndef STATE_QUARANTINE_TABLE_H
#define STATE_QUARANTINE_TABLE_H

#include "state/slot_index.h"
#include "state/state.h"

/* Fingerprints of requests that are refused everywhere until a time. */
#define QUARANTINES_MAX 1024

struct quarantine {
	uint64_t fingerprint;
	uint64_t until_wall_ms;
};

struct quarantine_table {
	struct slot_index index;
	struct quarantine *entries;
};

void quarantine_table_init(struct quarantine_table *table);
void quarantine_table_finish(struct quarantine_table *table);

/* Adds one or makes it last longer; the one set longest ago gives way. */
void quarantine_table_set(struct quarantine_table *table, uint64_t fingerprint,
			  uint64_t until_wall_ms);
int quarantine_table_holds(const struct quarantine_table *table,
			   uint64_t fingerprint, uint64_t wall_ms);

#endif
