#include "duty/need_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void need_table_init(struct need_table *table)
{
	table->models = xcalloc(PLAN_MODELS_MAX, sizeof(*table->models));
	table->count = 0;
}

void need_table_finish(struct need_table *table)
{
	free(table->models);
}

static struct model_need *find(struct need_table *table,
			       const struct weight_need *need)
{
	for (uint32_t i = 0; i < table->count; i++) {
		struct model_need *known = &table->models[i];

		if (!strcmp(known->need.model, need->model) &&
		    !strcmp(known->need.service, need->service))
			return known;
	}
	return NULL;
}

int need_is_active(const struct model_need *need, int64_t now_ns)
{
	return now_ns - need->reported_ns < NEED_RETENTION_NS;
}

/* A place for a new need; NULL if the table is full of active ones. */
static struct model_need *find_room(struct need_table *table, int64_t now_ns)
{
	struct model_need *oldest = &table->models[0];

	if (table->count < PLAN_MODELS_MAX)
		return &table->models[table->count++];
	for (uint32_t i = 1; i < table->count; i++)
		if (table->models[i].reported_ns < oldest->reported_ns)
			oldest = &table->models[i];
	return need_is_active(oldest, now_ns) ? NULL : oldest;
}

int need_table_put(struct need_table *table, const struct weight_need *need,
		   int64_t reported_ns, int64_t now_ns)
{
	struct model_need *entry = find(table, need);
	int is_known = entry != NULL;

	/* Records of a need are read in order, whatever their clocks say. */
	if (entry && entry->reported_ns > reported_ns)
		reported_ns = entry->reported_ns;
	if (!entry)
		entry = find_room(table, now_ns);
	if (!entry)
		return -1;
	if (!is_known)
		memset(&entry->pace, 0, sizeof(entry->pace));
	step_pace_note(&entry->pace, need->min_version, reported_ns);
	entry->need = *need;
	entry->reported_ns = reported_ns;
	return 0;
}
