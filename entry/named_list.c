#include "entry/named_list.h"

#include <string.h>

#include "entry/entry_config.h"

_Static_assert(!offsetof(struct entry_route, name) &&
		       !offsetof(struct entry_service, name) &&
		       !offsetof(struct entry_team, name),
	       "the name is the first member");

const void *named_list_at(const struct named_list *list, uint32_t index)
{
	return (const char *)list->things + index * list->size;
}

const char *thing_name(const void *thing)
{
	return *(char *const *)thing;
}

const void *named_list_find(const struct named_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->count; i++)
		if (!strcmp(thing_name(named_list_at(list, i)), name))
			return named_list_at(list, i);
	return NULL;
}

struct named_list named_routes(const struct entry_config *config)
{
	struct named_list list = { config->routes, sizeof(*config->routes),
				   config->route_count };

	return list;
}

struct named_list named_services(const struct entry_config *config)
{
	struct named_list list = { config->services, sizeof(*config->services),
				   config->service_count };

	return list;
}

struct named_list named_teams(const struct entry_config *config)
{
	struct named_list list = { config->teams, sizeof(*config->teams),
				   config->team_count };

	return list;
}
