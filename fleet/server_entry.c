#include "fleet/server_entry.h"

#include <stdlib.h>
#include <string.h>

void server_entry_init(struct server_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	entry->leaves_ms = -1;
}

void server_entry_finish(struct server_entry *entry)
{
	free(entry->models);
	entry->models = NULL;
	entry->model_count = 0;
}

uint64_t server_entry_version(const struct server_entry *entry,
			      const char *model)
{
	for (uint32_t i = 0; i < entry->model_count; i++)
		if (!strcmp(entry->models[i].name, model))
			return entry->models[i].version;
	return 0;
}
