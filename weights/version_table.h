#ifndef WEIGHTS_VERSION_TABLE_H
#define WEIGHTS_VERSION_TABLE_H

#include <pthread.h>
#include <stdint.h>

#include "base/published.h"
#include "state/config.h"

/* The newest published weight version of each pool; reads take no lock. */
#define VERSION_POOLS_MAX 64

struct pool_version {
	char pool[NAME_BYTES];
	uint64_t version;
};

struct version_list {
	struct pool_version pools[VERSION_POOLS_MAX];
	uint32_t count;
};

struct version_table {
	struct published list;
	pthread_mutex_t lock; /* taken by writers only */
};

void version_table_init(struct version_table *table);
void version_table_finish(struct version_table *table);

/*
 * Sets a pool's version if it is newer than the current one. Returns 1 if it
 * was set, else 0, also if VERSION_POOLS_MAX other pools are in the table.
 */
int version_table_raise(struct version_table *table, const char *pool,
			uint64_t version);

/* Returns 0 if no version was published for the pool. */
uint64_t version_table_latest(struct version_table *table, const char *pool);

/* Copies at most `max` entries; returns how many. */
uint32_t version_table_copy(struct version_table *table,
			    struct pool_version *out, uint32_t max);

#endif
