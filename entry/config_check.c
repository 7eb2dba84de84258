#include "entry/config_check.h"

#include <string.h>

#include "duty/server_duty.h"
#include "entry/entry_limits.h"
#include "entry/named_list.h"

static void check_names(const char *what, struct named_list list,
			enum finding_kind kind,
			struct config_findings *findings)
{
	for (uint32_t i = 0; i < list.count; i++) {
		const void *thing = named_list_at(&list, i);
		const char *name = thing_name(thing);

		if (named_list_find(&list, name) != thing)
			config_findings_add(findings, kind,
					    "%s '%s': the name is taken by "
					    "another %s before it",
					    what, name, what);
		if (!*name)
			config_findings_add(findings, FINDING_ERROR,
					    "%s %u has an empty name", what,
					    i + 1);
	}
}

/* A service or team is found by its name, and the first one is taken. */
static void check_all_names(const struct entry_config *config,
			    struct config_findings *findings)
{
	check_names("route", named_routes(config), FINDING_WARNING, findings);
	check_names("service", named_services(config), FINDING_ERROR, findings);
	check_names("team", named_teams(config), FINDING_ERROR, findings);
}

static int is_used(const struct entry_config *config, const char *service)
{
	for (uint32_t i = 0; i < config->route_count; i++)
		for (uint32_t j = 0; j < config->routes[i].target_count; j++)
			if (!strcmp(config->routes[i].targets[j].service,
				    service))
				return 1;
	return 0;
}

static void check_scaling(const struct entry_service *service,
			  struct config_findings *findings)
{
	const struct entry_scaling *scaling = &service->scaling;

	if (!scaling->allowed)
		return;
	if (scaling->min > scaling->max)
		config_findings_add(
			findings, FINDING_ERROR,
			"service '%s': scaling has min %u over max %u",
			service->name, scaling->min, scaling->max);
	else if (!scaling->max)
		config_findings_add(findings, FINDING_WARNING,
				    "service '%s': scaling has max 0, so no "
				    "server is ordered",
				    service->name);
	if (!scaling->data_centre_count)
		config_findings_add(findings, FINDING_WARNING,
				    "service '%s': scaling names no data "
				    "centre, so no server is ordered",
				    service->name);
	if (scaling->data_centre_count > SERVER_DUTY_PLACES_MAX)
		config_findings_add(findings, FINDING_ERROR,
				    "service '%s': scaling names %u data "
				    "centres, over the limit of %u; no server "
				    "is ordered",
				    service->name, scaling->data_centre_count,
				    SERVER_DUTY_PLACES_MAX);
}

static void check_engine(const struct entry_service *service,
			 struct config_findings *findings)
{
	if (!service->slots)
		config_findings_add(findings, FINDING_WARNING,
				    "service '%s': an engine with 0 slots",
				    service->name);
	if (!service->memory_tokens)
		config_findings_add(findings, FINDING_WARNING,
				    "service '%s': an engine with memory for 0 "
				    "tokens",
				    service->name);
	if (!service->model_count)
		config_findings_add(findings, FINDING_WARNING,
				    "service '%s': an engine without models",
				    service->name);
}

static void check_services(const struct entry_config *config,
			   struct config_findings *findings)
{
	for (uint32_t i = 0; i < config->service_count; i++) {
		const struct entry_service *service = &config->services[i];

		if (!is_used(config, service->name))
			config_findings_add(findings, FINDING_WARNING,
					    "service '%s': no route uses it",
					    service->name);
		if (!service->max_connections)
			config_findings_add(findings, FINDING_WARNING,
					    "service '%s': the limit of "
					    "connections to a server is 0",
					    service->name);
		if (service->is_engine)
			check_engine(service, findings);
		check_scaling(service, findings);
	}
}

/*
 * A lookup takes the first match of a bucket's chain. Keys are secrets: only
 * their teams are named.
 */
static void check_hidden_key(const struct entry_config *config,
			     const struct entry_key *key,
			     struct config_findings *findings)
{
	const char *team = config->teams[key->team].name;

	for (uint32_t at = key->next; at;) {
		const struct entry_key *hidden = &config->keys[at - 1];

		at = hidden->next;
		if (strcmp(hidden->secret, key->secret) != 0)
			continue;
		if (hidden->team == key->team)
			config_findings_add(findings, FINDING_WARNING,
					    "team '%s': a key is given twice",
					    team);
		else
			config_findings_add(
				findings, FINDING_ERROR,
				"team '%s': a key can never match: team '%s' "
				"after it has the same key",
				config->teams[hidden->team].name, team);
		return;
	}
}

static int is_field_value(const char *text)
{
	size_t len = strlen(text);

	for (const char *at = text; *at; at++)
		if (((unsigned char)*at < ' ' && *at != '\t') || *at == 0x7f)
			return 0;
	return !strchr(" \t", text[0]) && !strchr(" \t", text[len - 1]);
}

static void check_keys(const struct entry_config *config,
		       struct config_findings *findings)
{
	for (uint32_t i = 0; i < config->key_count; i++) {
		const struct entry_key *key = &config->keys[i];
		const char *team = config->teams[key->team].name;

		if (!*key->secret)
			config_findings_add(findings, FINDING_ERROR,
					    "team '%s': a key is empty", team);
		else if (!is_field_value(key->secret))
			config_findings_add(findings, FINDING_ERROR,
					    "team '%s': a key can never match: "
					    "no field of a request has its "
					    "blanks or control characters",
					    team);
		check_hidden_key(config, key, findings);
	}
}

static void check_teams(const struct entry_config *config,
			struct config_findings *findings)
{
	for (uint32_t i = 0; i < config->team_count; i++) {
		uint32_t keys = 0;

		for (uint32_t j = 0; j < config->key_count; j++)
			keys += config->keys[j].team == i;
		if (!keys)
			config_findings_add(findings, FINDING_WARNING,
					    "team '%s' has no key",
					    config->teams[i].name);
	}
}

static void check_limits(const struct caller_limits *limits,
			 struct config_findings *findings)
{
	if (!limits->max_head_bytes)
		config_findings_add(findings, FINDING_ERROR,
				    "limits: heads may have 0 bytes, so every "
				    "request is rejected");
	if (!limits->max_body_bytes)
		config_findings_add(findings, FINDING_WARNING,
				    "limits: bodies may have 0 bytes, so "
				    "requests with a body are rejected");
	if (!limits->head_timeout_ms)
		config_findings_add(findings, FINDING_ERROR,
				    "limits: the timeout of heads is 0 ms, so "
				    "connections are closed at once");
	if (!limits->idle_timeout_ms)
		config_findings_add(findings, FINDING_ERROR,
				    "limits: the idle timeout is 0 ms, so "
				    "connections are closed at once");
	else if (limits->head_timeout_ms > limits->idle_timeout_ms)
		config_findings_add(findings, FINDING_WARNING,
				    "limits: the timeout of heads, %u ms, is "
				    "over the idle timeout of %u ms",
				    limits->head_timeout_ms,
				    limits->idle_timeout_ms);
}

void config_check(const struct entry_config *config,
		  struct config_findings *findings)
{
	check_all_names(config, findings);
	config_check_routes(config, findings);
	check_services(config, findings);
	check_teams(config, findings);
	check_keys(config, findings);
	check_limits(&config->limits, findings);
}

void config_check_version(const struct entry_config *config,
			  const struct entry_config *in_force,
			  struct config_findings *findings)
{
	if (config->version <= in_force->version)
		config_findings_add(
			findings, FINDING_ERROR,
			"version %llu is ignored: it is not over version %llu, "
			"which is in force",
			(unsigned long long)config->version,
			(unsigned long long)in_force->version);
}

void config_check_host(const struct entry_config *config,
		       const struct entry_settings *settings,
		       struct config_findings *findings)
{
	uint64_t max_held_bytes =
		entry_caller_limits(settings, &config->limits).max_held_bytes;

	if (config->limits.max_body_bytes > max_held_bytes)
		config_findings_add(
			findings, FINDING_ERROR,
			"limits: a body may have %llu bytes, but all bodies "
			"together %llu in the memory of a host",
			(unsigned long long)config->limits.max_body_bytes,
			(unsigned long long)max_held_bytes);
	if (settings->orders_servers)
		return;
	for (uint32_t i = 0; i < config->service_count; i++)
		if (config->services[i].scaling.allowed)
			config_findings_add(findings, FINDING_WARNING,
					    "service '%s' has scaling, but the "
					    "settings order no servers",
					    config->services[i].name);
}
