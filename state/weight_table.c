#include "state/weight_table.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void weight_table_init(struct weight_table *table)
{
	table->pools = xcalloc(WEIGHT_POOLS_MAX, sizeof(*table->pools));
	table->count = 0;
}

void weight_table_finish(struct weight_table *table)
{
	free(table->pools);
}

static struct pool_version *find(const struct weight_table *table,
				 const char *pool)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (!strcmp(table->pools[i].pool, pool))
			return &table->pools[i];
	return NULL;
}

int weight_table_publish(struct weight_table *table, const char *pool,
			 uint64_t version, struct error *err)
{
	struct pool_version *entry = find(table, pool);

	if (!pool[0] || strlen(pool) >= NAME_BYTES)
		return error_set(err, ERROR_INVALID,
				 "a pool needs a name of 1 to %d bytes",
				 NAME_BYTES - 1);
	if (entry && version <= entry->version)
		return error_set(err, ERROR_CONFLICT,
				 "pool '%s' has version %" PRIu64 " already",
				 pool, entry->version);
	if (!entry && table->count == WEIGHT_POOLS_MAX)
		return error_set(err, ERROR_FULL, "there are %d pools already",
				 WEIGHT_POOLS_MAX);
	if (!entry) {
		entry = &table->pools[table->count++];
		copy_text(entry->pool, sizeof(entry->pool), pool);
	}
	entry->version = version;
	return 0;
}

uint64_t weight_table_version(const struct weight_table *table,
			      const char *pool)
{
	const struct pool_version *entry = find(table, pool);

	return entry ? entry->version : 0;
}
