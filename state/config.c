#include "state/config.h"

#include <stdlib.h>
#include <string.h>

#include "state/config_table.h"

void config_init(struct config *config)
{
	memset(config, 0, sizeof(*config));
}

void config_finish(struct config *config)
{
	free(config->teams);
	free(config->keys);
	free(config->routes);
	free(config->bounds);
	free(config->budgets);
	config_init(config);
}

void config_clone(struct config *dst, const struct config *src)
{
	uint32_t count;
	const struct config_table *tables = config_tables(&count);

	config_init(dst);
	for (uint32_t i = 0; i < count; i++)
		config_table_copy(&tables[i], dst, src);
	dst->position = src->position;
}

static const void *find(const struct config *config, Currant__ObjectKind kind,
			const char *name)
{
	return config_table_find(config_table(kind), config, name, NULL);
}

const struct team *config_team(const struct config *config, const char *name)
{
	return find(config, CURRANT__OBJECT_KIND__OBJECT_KIND_TEAM, name);
}

const struct key *config_key(const struct config *config, const char *id)
{
	return find(config, CURRANT__OBJECT_KIND__OBJECT_KIND_KEY, id);
}

const struct route *config_route(const struct config *config, const char *name)
{
	return find(config, CURRANT__OBJECT_KIND__OBJECT_KIND_ROUTE, name);
}

const struct bound *config_bound(const struct config *config, const char *route)
{
	return find(config, CURRANT__OBJECT_KIND__OBJECT_KIND_BOUND, route);
}

const struct budget *config_budget(const struct config *config,
				   const char *data_centre)
{
	return find(config, CURRANT__OBJECT_KIND__OBJECT_KIND_BUDGET,
		    data_centre);
}

/* A prefix ends where a segment of the path ends. */
static int path_is_below(const char *path, const char *prefix, size_t len)
{
	if (!len || strncmp(path, prefix, len))
		return 0;
	return prefix[len - 1] == '/' || path[len] == '\0' ||
	       path[len] == '/' || path[len] == '?';
}

const struct route *config_route_for_path(const struct config *config,
					  const char *path)
{
	const struct route *best = NULL;
	size_t best_len = 0;

	for (uint32_t i = 0; i < config->route_count; i++) {
		const struct route *route = &config->routes[i];
		size_t len = strlen(route->path);

		if (len <= best_len || !path_is_below(path, route->path, len))
			continue;
		best = route;
		best_len = len;
	}
	return best;
}
