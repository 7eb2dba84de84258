#include "entry/status_config.h"

#include "entry/status_row.h"

static json_t *targets_of(const struct entry_route *route)
{
	json_t *targets = json_array();

	for (uint32_t i = 0; i < route->target_count; i++) {
		json_t *row = json_object();

		status_put_text(row, "service", route->targets[i].service);
		status_put_int(row, "weight", route->targets[i].weight);
		json_array_append_new(targets, row);
	}
	return targets;
}

static json_t *route_row(const struct entry_route *route)
{
	json_t *row = json_object();

	status_put_text(row, "name", route->name);
	status_put_text(row, "host", route->host);
	status_put_text(row, "path_prefix", route->path_prefix);
	status_put_text(row, "kind", request_kind_name(route->kind));
	status_put_int(row, "timeout_ms", route->timeout_ms);
	status_put_int(row, "goal_ms", route->goal_ms);
	status_put_int(row, "priority", route->priority);
	status_put_int(row, "max_attempts", route->max_attempts);
	status_put_bool(row, "public", route->is_public);
	status_put_bool(row, "single_version", route->single_version);
	status_put_int(row, "due_ms", route->due_ms);
	json_object_set_new(row, "targets", targets_of(route));
	return row;
}

static json_t *service_row(const struct entry_service *service)
{
	json_t *row = json_object();
	json_t *models = json_array();

	status_put_text(row, "name", service->name);
	status_put_bool(row, "engine", service->is_engine);
	status_put_int(row, "slots", service->slots);
	status_put_int(row, "max_connections", service->max_connections);
	for (uint32_t i = 0; i < service->model_count; i++)
		json_array_append_new(models, json_string(service->models[i]));
	json_object_set_new(row, "models", models);
	return row;
}

static json_t *team_row(const struct entry_config *config, uint32_t index)
{
	const struct entry_team *team = &config->teams[index];
	json_t *row = json_object();
	uint32_t keys = 0;

	for (uint32_t i = 0; i < config->key_count; i++)
		keys += config->keys[i].team == index;
	status_put_text(row, "name", team->name);
	status_put_int(row, "priority",
		       team->has_priority ? (int64_t)team->priority : -1);
	status_put_int(row, "keys", keys);
	return row;
}

static json_t *limits_row(const struct caller_limits *limits)
{
	json_t *row = json_object();

	status_put_int(row, "max_head_bytes", limits->max_head_bytes);
	status_put_int(row, "max_body_bytes", (int64_t)limits->max_body_bytes);
	status_put_int(row, "head_timeout_ms", limits->head_timeout_ms);
	status_put_int(row, "idle_timeout_ms", limits->idle_timeout_ms);
	return row;
}

void status_config(json_t *page, const struct entry_config *config)
{
	json_t *routes = json_array();
	json_t *services = json_array();
	json_t *teams = json_array();

	json_object_set_new(page, "routes", routes);
	json_object_set_new(page, "services", services);
	json_object_set_new(page, "teams", teams);
	if (!config)
		return;
	for (uint32_t i = 0; i < config->route_count; i++)
		json_array_append_new(routes, route_row(&config->routes[i]));
	for (uint32_t i = 0; i < config->service_count; i++)
		json_array_append_new(services,
				      service_row(&config->services[i]));
	for (uint32_t i = 0; i < config->team_count; i++)
		json_array_append_new(teams, team_row(config, i));
	json_object_set_new(page, "limits", limits_row(&config->limits));
}
