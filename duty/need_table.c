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

int32_t need_table_index(const struct need_table *table, const char *model)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (!strcmp(table->models[i].need.model, model))
			return (int32_t)i;
	return -1;
}

int need_table_put(struct need_table *table, const struct weight_need *need,
		   int64_t now_ns)
{
	int32_t index = need_table_index(table, need->model);

	if (index < 0 && table->count == PLAN_MODELS_MAX)
		return -1;
	if (index < 0)
		index = (int32_t)table->count++;
	table->models[index].need = *need;
	table->models[index].received_ns = now_ns;
	return 0;
}
