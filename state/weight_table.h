#ifndef STATE_WEIGHT_TABLE_H
#define STATE_WEIGHT_TABLE_H

#include "state/state.h"

/* The newest published weight version of each pool; it never goes back. */
#define WEIGHT_POOLS_MAX 256

struct pool_version {
	char pool[NAME_BYTES];
	uint64_t version;
};

struct weight_table {
	struct pool_version *pools;
	uint32_t count;
};

void weight_table_init(struct weight_table *table);
void weight_table_finish(struct weight_table *table);

/* Returns -1 if the version is not newer or the table is full. */
int weight_table_publish(struct weight_table *table, const char *pool,
			 uint64_t version, struct error *err);

/* Newest version of a pool; 0 if none. */
uint64_t weight_table_version(const struct weight_table *table,
			      const char *pool);

#endif
