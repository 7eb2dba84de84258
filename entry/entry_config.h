#ifndef ENTRY_ENTRY_CONFIG_H
#define ENTRY_ENTRY_CONFIG_H

#include <stdint.h>

/*
 * One version of the operators' configuration: routes, services, teams, keys
 * and limits. It is immutable once built. Code that keeps a pointer into it
 * beyond the current event holds a reference.
 */
enum request_kind {
	REQUEST_IDEMPOTENT = 0, /* may run more than once */
	REQUEST_ONCE, /* may run at most once */
	REQUEST_STREAM, /* a stream of events; runs at most once */
	REQUEST_RESUMABLE, /* a stream that another server may continue */
	REQUEST_BATCH, /* accepts batches of rollouts */
};

/* Returns the lower-case name that pages and messages show. */
const char *request_kind_name(enum request_kind kind);

/* Limit of a request's host; a longer one is taken for none. */
#define ENTRY_HOST_BYTES 256

/* A service that receives a share of a route's requests. */
struct entry_target {
	char *service;
	uint32_t weight;
};

struct entry_route {
	char *name;
	char *host; /* of the Host field, lower case */
	char *path_prefix; /* begins and ends with a slash */
	enum request_kind kind;
	uint32_t timeout_ms; /* max wait of a caller */
	uint32_t goal_ms; /* answers within it have full value */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_attempts; /* servers to which one request may be sent */
	int is_public; /* requires no key */
	int carries_tokens; /* requests state model, prompt parts and sizes */
	int single_version; /* a result is of a single weight version */
	uint32_t due_ms; /* batches: from submission until results are due */
	uint32_t retention_ms; /* batches: items may be given up after it */
	struct entry_target *targets;
	uint32_t target_count;
	uint32_t next; /* in its bucket; index + 1 */
};

/* Prices and limits for ordering servers of a service. */
struct entry_scaling {
	int allowed;
	uint32_t min; /* of each data centre */
	uint32_t max;
	uint32_t boot_ms;
	double spot_price; /* as a fraction of the regular price */
	char **data_centres;
	double *prices; /* of each data centre, relative */
	uint32_t data_centre_count;
};

struct entry_service {
	char *name;
	uint32_t max_connections; /* to one server, from all daemons together */
	uint32_t cold_ms; /* its servers are cold so long after a start */
	/* Requests that a cold server takes from all hosts; 0: no limit. */
	double cold_per_s;
	int is_engine; /* its servers are model engines with weight versions */
	uint32_t slots; /* requests that an engine runs concurrently */
	uint32_t memory_tokens;
	uint32_t tokens_per_event;
	char **models;
	uint32_t model_count;
	struct entry_scaling scaling;
};

struct entry_team {
	char *name;
	int has_priority;
	uint32_t priority; /* overrides the route's */
};

/* Size limits and timeouts of callers' requests. */
struct caller_limits {
	uint32_t max_head_bytes;
	uint64_t max_body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct entry_key {
	char *secret;
	uint32_t team; /* index in `teams` */
	uint32_t next; /* in its bucket; index + 1 */
};

struct entry_config {
	uint64_t version;
	struct entry_route *routes;
	uint32_t route_count;
	struct entry_service *services;
	uint32_t service_count;
	struct entry_team *teams;
	uint32_t team_count;
	struct entry_key *keys;
	uint32_t key_count;
	int has_teams; /* requests require a key unless their route is public */
	struct caller_limits limits;

	uint32_t references;
	uint32_t *route_buckets; /* index + 1 */
	uint32_t *key_buckets;
	uint32_t bucket_count; /* of each, a power of two */
};

/*
 * Returns an empty configuration with one reference; the caller fills its
 * arrays.
 */
struct entry_config *entry_config_new(void);

/* Builds the hash tables; called once, after all arrays are filled. */
void entry_config_index(struct entry_config *config);

struct entry_config *entry_config_ref(struct entry_config *config);
void entry_config_unref(struct entry_config *config);

/*
 * Returns the route of `host` with the longest matching path prefix, or NULL.
 * The query in `target` is ignored.
 */
const struct entry_route *entry_config_route(const struct entry_config *config,
					     const char *host,
					     const char *target);

/* Returns the team that owns the key, or NULL. */
const struct entry_team *entry_config_team(const struct entry_config *config,
					   const char *secret);

/* Returns the team of this name, or NULL. */
const struct entry_team *
entry_config_team_named(const struct entry_config *config, const char *name);

const struct entry_service *
entry_config_service(const struct entry_config *config, const char *name);

/* Chooses one of the route's services by weight; `random` is in [0, 1). */
const char *entry_route_service(const struct entry_route *route, double random);

#endif
