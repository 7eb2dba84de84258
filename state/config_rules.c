#include "state/config_rules.h"

#include <string.h>

static int check_team(const struct config *config, const char *team,
		      struct error *err)
{
	if (config_team(config, team))
		return 0;
	return error_set(err, ERROR_NOT_FOUND, "team '%s' does not exist",
			 team);
}

int rule_key(const struct config *config, const union config_any *object,
	     struct error *err)
{
	return check_team(config, object->key.team, err);
}

static int check_path(const struct config *config, const struct route *route,
		      struct error *err)
{
	if (route->kind == ROUTE_ENGINE && *route->path)
		return error_set(err, ERROR_INVALID,
				 "route '%s' leads to engines and takes no "
				 "path",
				 route->name);
	if (route->kind == ROUTE_SERVICE && !*route->path)
		return error_set(err, ERROR_INVALID,
				 "route '%s' leads to a service and needs a "
				 "path",
				 route->name);
	if (!*route->path)
		return 0;
	for (uint32_t i = 0; i < config->route_count; i++) {
		const struct route *other = &config->routes[i];

		if (strcmp(other->path, route->path) ||
		    !strcmp(other->name, route->name))
			continue;
		return error_set(err, ERROR_CONFLICT,
				 "route '%s' already has path %s", other->name,
				 route->path);
	}
	return 0;
}

int rule_route(const struct config *config, const union config_any *object,
	       struct error *err)
{
	const struct route *route = &object->route;

	if (check_path(config, route, err))
		return -1;
	if (route->open && *route->team)
		return error_set(err, ERROR_INVALID,
				 "route '%s' is open to all and takes no team",
				 route->name);
	if (*route->team && check_team(config, route->team, err))
		return -1;
	if (route->kind == ROUTE_SERVICE && config_bound(config, route->name))
		return error_set(err, ERROR_CONFLICT,
				 "route '%s' has a staleness bound and must "
				 "lead to engines",
				 route->name);
	return 0;
}

int rule_bound(const struct config *config, const union config_any *object,
	       struct error *err)
{
	const struct route *route = config_route(config, object->bound.route);

	if (!route)
		return error_set(err, ERROR_NOT_FOUND,
				 "route '%s' does not exist",
				 object->bound.route);
	if (route->kind != ROUTE_ENGINE)
		return error_set(err, ERROR_INVALID,
				 "route '%s' leads to a service, which has no "
				 "weight versions",
				 route->name);
	return 0;
}

int rule_drop_team(const struct config *config, const union config_any *object,
		   struct error *err)
{
	const char *name = object->team.name;

	for (uint32_t i = 0; i < config->key_count; i++)
		if (!config->keys[i].withdrawn &&
		    !strcmp(config->keys[i].team, name))
			return error_set(err, ERROR_CONFLICT,
					 "team '%s' still has key '%s'", name,
					 config->keys[i].id);
	for (uint32_t i = 0; i < config->route_count; i++)
		if (!strcmp(config->routes[i].team, name))
			return error_set(err, ERROR_CONFLICT,
					 "team '%s' still has route '%s'", name,
					 config->routes[i].name);
	return 0;
}

int rule_drop_route(const struct config *config, const union config_any *object,
		    struct error *err)
{
	const char *name = object->route.name;

	if (!config_bound(config, name))
		return 0;
	return error_set(err, ERROR_CONFLICT,
			 "route '%s' still has a staleness bound", name);
}
