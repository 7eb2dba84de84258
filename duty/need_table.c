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

int need_table_put(struct need_table *table, const struct weight_need *need,
		   int64_t now_ns)
{
	struct model_need *entry = find(table, need);

	if (!entry && table->count == PLAN_MODELS_MAX)
		return -1;
	if (!entry)
		entry = &table->models[table->count++];
	entry->need = *need;
	entry->received_ns = now_ns;
	return 0;
}
