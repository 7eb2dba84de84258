#include "entry/entry_config.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

static const char *const request_kind_names[] = {
	[REQUEST_IDEMPOTENT] = "idempotent", [REQUEST_ONCE] = "once",
	[REQUEST_STREAM] = "stream",	     [REQUEST_RESUMABLE] = "resumable",
	[REQUEST_BATCH] = "batch",
};

const char *request_kind_name(enum request_kind kind)
{
	return request_kind_names[kind];
}

struct entry_config *entry_config_new(void)
{
	struct entry_config *config = xcalloc(1, sizeof(*config));

	config->references = 1;
	return config;
}

static void free_strings(char **strings, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		free(strings[i]);
	free(strings);
}

static void free_route(struct entry_route *route)
{
	free(route->name);
	free(route->host);
	free(route->path_prefix);
	for (uint32_t i = 0; i < route->target_count; i++)
		free(route->targets[i].service);
	free(route->targets);
}

static void free_service(struct entry_service *service)
{
	free(service->name);
	free_strings(service->models, service->model_count);
	free_strings(service->scaling.data_centres,
		     service->scaling.data_centre_count);
	free(service->scaling.prices);
}

static void free_config(struct entry_config *config)
{
	for (uint32_t i = 0; i < config->route_count; i++)
		free_route(&config->routes[i]);
	for (uint32_t i = 0; i < config->service_count; i++)
		free_service(&config->services[i]);
	for (uint32_t i = 0; i < config->team_count; i++)
		free(config->teams[i].name);
	for (uint32_t i = 0; i < config->key_count; i++)
		free(config->keys[i].secret);
	free(config->routes);
	free(config->services);
	free(config->teams);
	free(config->keys);
	free(config->route_buckets);
	free(config->key_buckets);
	free(config);
}

struct entry_config *entry_config_ref(struct entry_config *config)
{
	config->references++;
	return config;
}

void entry_config_unref(struct entry_config *config)
{
	if (config && !--config->references)
		free_config(config);
}

static uint32_t route_bucket(const struct entry_config *config,
			     uint64_t host_hash, const char *prefix, size_t len)
{
	return (uint32_t)hash_bytes(prefix, len, host_hash) &
	       (config->bucket_count - 1);
}

void entry_config_index(struct entry_config *config)
{
	uint32_t min_buckets = 2 * (config->route_count > config->key_count
					    ? config->route_count
					    : config->key_count);

	config->bucket_count = 16;
	while (config->bucket_count < min_buckets)
		config->bucket_count *= 2;
	config->route_buckets =
		xcalloc(config->bucket_count, sizeof(*config->route_buckets));
	config->key_buckets =
		xcalloc(config->bucket_count, sizeof(*config->key_buckets));
	for (uint32_t i = 0; i < config->route_count; i++) {
		struct entry_route *route = &config->routes[i];
		uint32_t bucket = route_bucket(
			config, hash_text(route->host, 0), route->path_prefix,
			strlen(route->path_prefix));

		route->next = config->route_buckets[bucket];
		config->route_buckets[bucket] = i + 1;
	}
	for (uint32_t i = 0; i < config->key_count; i++) {
		struct entry_key *key = &config->keys[i];
		uint32_t bucket = (uint32_t)hash_text(key->secret, 0) &
				  (config->bucket_count - 1);

		key->next = config->key_buckets[bucket];
		config->key_buckets[bucket] = i + 1;
	}
}

/*
 * Hosts are compared in lower case and without the port. A host that does not
 * fit into ENTRY_HOST_BYTES becomes "".
 */
static void normalize_host(char *out, const char *host)
{
	size_t len = strcspn(host, ":");

	if (len >= ENTRY_HOST_BYTES)
		len = 0;
	for (size_t i = 0; i < len; i++)
		out[i] = (char)tolower((unsigned char)host[i]);
	out[len] = '\0';
}

static const struct entry_route *find_route(const struct entry_config *config,
					    const char *host,
					    uint64_t host_hash,
					    const char *prefix, size_t len)
{
	uint32_t index = config->route_buckets[route_bucket(config, host_hash,
							    prefix, len)];

	for (; index; index = config->routes[index - 1].next) {
		const struct entry_route *route = &config->routes[index - 1];

		if (!strcmp(route->host, host) &&
		    !strncmp(route->path_prefix, prefix, len) &&
		    !route->path_prefix[len])
			return route;
	}
	return NULL;
}

const struct entry_route *entry_config_route(const struct entry_config *config,
					     const char *host,
					     const char *target)
{
	char normalized[ENTRY_HOST_BYTES];
	uint64_t host_hash;
	size_t len = strcspn(target, "?#");

	normalize_host(normalized, host);
	host_hash = hash_text(normalized, 0);
	for (; len; len--) {
		const struct entry_route *route;

		if (target[len - 1] != '/')
			continue;
		route = find_route(config, normalized, host_hash, target, len);
		if (route)
			return route;
	}
	return NULL;
}

const struct entry_team *entry_config_team(const struct entry_config *config,
					   const char *secret)
{
	uint32_t index;

	if (!config->bucket_count)
		return NULL;
	index = config->key_buckets[(uint32_t)hash_text(secret, 0) &
				    (config->bucket_count - 1)];
	for (; index; index = config->keys[index - 1].next)
		if (!strcmp(config->keys[index - 1].secret, secret))
			return &config->teams[config->keys[index - 1].team];
	return NULL;
}

const struct entry_team *
entry_config_team_named(const struct entry_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->team_count; i++)
		if (!strcmp(config->teams[i].name, name))
			return &config->teams[i];
	return NULL;
}

const struct entry_service *
entry_config_service(const struct entry_config *config, const char *name)
{
	for (uint32_t i = 0; i < config->service_count; i++)
		if (!strcmp(config->services[i].name, name))
			return &config->services[i];
	return NULL;
}

const char *entry_route_service(const struct entry_route *route, double random)
{
	uint64_t total = 0;
	uint64_t point;

	for (uint32_t i = 0; i < route->target_count; i++)
		total += route->targets[i].weight;
	point = (uint64_t)(random * (double)total);
	for (uint32_t i = 0; i < route->target_count; i++) {
		if (point < route->targets[i].weight)
			return route->targets[i].service;
		point -= route->targets[i].weight;
	}
	return route->target_count ? route->targets[0].service : NULL;
}
