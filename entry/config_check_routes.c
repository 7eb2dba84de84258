#include "entry/config_check.h"

#include <string.h>

/* An engine is sent the rank of a token request as one digit. */
#define TOKEN_PRIORITY_MAX 9

/* Bytes that neither a Host field nor the target of a request may hold. */
static int has_blank_or_control(const char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text <= ' ' || *text == 0x7f)
			return 1;
	return 0;
}

static void check_host_name(const struct entry_route *route,
			    struct config_findings *findings)
{
	const char *fault = NULL;

	if (strchr(route->host, ':'))
		fault = "hosts are compared without the port";
	else if (strlen(route->host) >= ENTRY_HOST_BYTES)
		fault = "hosts of requests are shorter";
	else if (has_blank_or_control(route->host) ||
		 strpbrk(route->host, "/?#@"))
		fault = "no host holds such characters";
	if (fault)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s': host '%s' can never match: %s",
				    route->name, route->host, fault);
	else if (!*route->host)
		config_findings_add(findings, FINDING_WARNING,
				    "route '%s': the empty host matches only "
				    "requests without a host",
				    route->name);
}

static void check_path_prefix(const struct entry_route *route,
			      struct config_findings *findings)
{
	const char *prefix = route->path_prefix;
	size_t len = strlen(prefix);
	const char *fault = NULL;

	if (prefix[0] != '/')
		fault = "it doesn't begin with a slash";
	else if (prefix[len - 1] != '/')
		fault = "it doesn't end with a slash";
	else if (strpbrk(prefix, "?#"))
		fault = "a path ends at '?' and '#'";
	else if (has_blank_or_control(prefix))
		fault = "no path holds such characters";
	if (fault)
		config_findings_add(
			findings, FINDING_ERROR,
			"route '%s': path prefix '%s' can never match: %s",
			route->name, prefix, fault);
}

static void check_kind_of_service(const struct entry_route *route,
				  const struct entry_service *service,
				  struct config_findings *findings)
{
	if (service->is_engine)
		return;
	if (route->kind == REQUEST_BATCH)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s': accepts batches, but service "
				    "'%s' is no engine",
				    route->name, service->name);
	else if (route->carries_tokens)
		config_findings_add(findings, FINDING_WARNING,
				    "route '%s': its requests state tokens, "
				    "but service '%s' is no engine",
				    route->name, service->name);
}

static void check_targets(const struct entry_config *config,
			  const struct entry_route *route,
			  struct config_findings *findings)
{
	uint64_t total = 0;

	for (uint32_t i = 0; i < route->target_count; i++)
		total += route->targets[i].weight;
	if (!total)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s': its weights sum to 0, so each "
				    "request goes to service '%s'",
				    route->name, route->targets[0].service);
	for (uint32_t i = 0; i < route->target_count; i++) {
		const struct entry_target *target = &route->targets[i];
		const struct entry_service *service =
			entry_config_service(config, target->service);

		if (total && !target->weight)
			config_findings_add(findings, FINDING_WARNING,
					    "route '%s': service '%s' has "
					    "weight 0 and gets no request",
					    route->name, target->service);
		if (!service)
			config_findings_add(findings, FINDING_ERROR,
					    "route '%s': service '%s' does not "
					    "exist",
					    route->name, target->service);
		else
			check_kind_of_service(route, service, findings);
	}
}

static void check_times(const struct entry_route *route,
			struct config_findings *findings)
{
	if (!route->timeout_ms)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s': timeout_ms is 0, so no "
				    "request can be answered",
				    route->name);
	if (!route->goal_ms && route->timeout_ms)
		config_findings_add(findings, FINDING_WARNING,
				    "route '%s': goal_ms is 0, so no answer "
				    "has its full value",
				    route->name);
	if (route->goal_ms > route->timeout_ms)
		config_findings_add(
			findings, FINDING_WARNING,
			"route '%s': goal_ms %u is over timeout_ms %u",
			route->name, route->goal_ms, route->timeout_ms);
}

static void check_batch_limits(const struct entry_route *route,
			       struct config_findings *findings)
{
	if (route->kind != REQUEST_BATCH) {
		if (route->single_version)
			config_findings_add(findings, FINDING_WARNING,
					    "route '%s': single_version is "
					    "ignored, it accepts no batches",
					    route->name);
		if (route->retention_ms)
			config_findings_add(findings, FINDING_WARNING,
					    "route '%s': the retention is "
					    "ignored, it accepts no batches",
					    route->name);
		return;
	}
	if (!route->due_ms)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s': due_ms is 0, so no result "
				    "can come in time",
				    route->name);
	if (route->retention_ms && route->due_ms > route->retention_ms)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s': due_ms %u is over the "
				    "retention of %u ms, after which items may "
				    "be given up",
				    route->name, route->due_ms,
				    route->retention_ms);
}

/*
 * max_attempts over 1 contradicts no kind: a request that runs at most once is
 * sent again where it has surely not run.
 */
static void check_route(const struct entry_config *config,
			const struct entry_route *route,
			struct config_findings *findings)
{
	check_host_name(route, findings);
	check_path_prefix(route, findings);
	check_targets(config, route, findings);
	check_times(route, findings);
	check_batch_limits(route, findings);
	if (route->carries_tokens && route->priority > TOKEN_PRIORITY_MAX)
		config_findings_add(
			findings, FINDING_WARNING,
			"route '%s': engines are sent priority %u as %u",
			route->name, route->priority, TOKEN_PRIORITY_MAX);
}

/*
 * A lookup takes the first match of a bucket's chain; what follows there with
 * the same host and prefix is never found.
 */
static void check_hidden(const struct entry_config *config,
			 const struct entry_route *route,
			 struct config_findings *findings)
{
	for (uint32_t at = route->next; at;) {
		const struct entry_route *hidden = &config->routes[at - 1];

		at = hidden->next;
		if (strcmp(hidden->host, route->host) ||
		    strcmp(hidden->path_prefix, route->path_prefix))
			continue;
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s' can never match: route '%s' "
				    "after it has the same host '%s' and path "
				    "prefix '%s'",
				    hidden->name, route->name, route->host,
				    route->path_prefix);
		return;
	}
}

static void check_needs_key(const struct entry_config *config,
			    const struct entry_route *route,
			    struct config_findings *findings)
{
	if (config->has_teams && !config->key_count && !route->is_public)
		config_findings_add(findings, FINDING_ERROR,
				    "route '%s' requires a key, but no team "
				    "has one",
				    route->name);
}

void config_check_routes(const struct entry_config *config,
			 struct config_findings *findings)
{
	if (!config->route_count)
		config_findings_add(findings, FINDING_ERROR,
				    "no route: every request is rejected");
	for (uint32_t i = 0; i < config->route_count; i++) {
		check_route(config, &config->routes[i], findings);
		check_hidden(config, &config->routes[i], findings);
		check_needs_key(config, &config->routes[i], findings);
	}
}
