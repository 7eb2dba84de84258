#include "weights/version_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void version_table_init(struct version_table *table)
{
	published_init(&table->list, xcalloc(1, sizeof(struct version_list)));
	pthread_mutex_init(&table->lock, NULL);
}

void version_table_finish(struct version_table *table)
{
	free(published_swap(&table->list, NULL));
	pthread_mutex_destroy(&table->lock);
}

static uint32_t find(const struct version_list *list, const char *pool)
{
	uint32_t index = 0;

	while (index < list->count && strcmp(list->pools[index].pool, pool))
		index++;
	return index;
}

/* Returns a changed copy; NULL if it is not newer or the table is full. */
static struct version_list *updated_copy(const struct version_list *old,
					 const char *pool, uint64_t version)
{
	uint32_t index = find(old, pool);
	struct version_list *copy;

	if (index == VERSION_POOLS_MAX ||
	    (index < old->count && old->pools[index].version >= version))
		return NULL;
	copy = xmalloc(sizeof(*copy));
	*copy = *old;
	copy_text(copy->pools[index].pool, NAME_BYTES, pool);
	copy->pools[index].version = version;
	if (index == copy->count)
		copy->count++;
	return copy;
}

int version_table_raise(struct version_table *table, const char *pool,
			uint64_t version)
{
	struct version_list *copy;

	pthread_mutex_lock(&table->lock);
	copy = updated_copy(table->list.current, pool, version);
	if (copy)
		free(published_swap(&table->list, copy));
	pthread_mutex_unlock(&table->lock);
	return copy != NULL;
}

uint64_t version_table_latest(struct version_table *table, const char *pool)
{
	const struct version_list *list = published_read_begin(&table->list);
	uint32_t index = find(list, pool);
	uint64_t version = index < list->count ? list->pools[index].version : 0;

	published_read_end(&table->list);
	return version;
}

uint32_t version_table_copy(struct version_table *table,
			    struct pool_version *out, uint32_t max)
{
	const struct version_list *list = published_read_begin(&table->list);
	uint32_t count = list->count < max ? list->count : max;

	memcpy(out, list->pools, count * sizeof(*out));
	published_read_end(&table->list);
	return count;
}
