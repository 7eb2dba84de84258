#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "port/host_port.h"

void host_list_finish(struct host_list *list)
{
	free(list->hosts);
	memset(list, 0, sizeof(*list));
}

static struct host *find(struct host_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->host_count; i++)
		if (!strcmp(list->hosts[i].name, name))
			return &list->hosts[i];
	return NULL;
}

static struct host *add(struct host_list *list)
{
	if (list->host_count == list->host_alloc) {
		list->host_alloc = list->host_alloc * 2 + 16;
		list->hosts = xrealloc(list->hosts,
				       list->host_alloc * sizeof(*list->hosts));
	}
	return &list->hosts[list->host_count++];
}

void host_list_put(struct host_list *list, const struct host *host)
{
	struct host *place = find(list, host->name);

	if (!place)
		place = add(list);
	*place = *host;
}

void host_list_remove(struct host_list *list, const char *name)
{
	struct host *place = find(list, name);

	if (place)
		*place = list->hosts[--list->host_count];
}
