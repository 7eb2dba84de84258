#ifndef ENTRY_ENTRY_CONFIG_H
#define ENTRY_ENTRY_CONFIG_H

#include <stdint.h>

/*
 * One version of the operators' configuration: which requests go where, for
 * whom, and within which limits. It is built once and never changes; whoever
 * keeps a part of it beyond the moment holds a reference.
 */
enum request_kind {
	REQUEST_IDEMPOTENT = 0, /* may run more than once */
	REQUEST_ONCE, /* may run at most once */
	REQUEST_STREAM, /* a stream of events, which runs at most once */
	REQUEST_RESUMABLE, /* a stream that another server may go on with */
	REQUEST_BATCH, /* accepts batches of rollouts */
};

/* Where a part of a route's requests goes. */
struct entry_target {
	char *service;
	uint32_t weight;
};

struct entry_route {
	char *name;
	char *host; /* of the Host field, lower case */
	char *path_prefix; /* begins and ends with a slash */
	enum request_kind kind;
	uint32_t timeout_ms; /* longest time that a caller is kept waiting */
	uint32_t goal_ms; /* an answer is of full value until then */
	uint32_t priority; /* 0 is the most urgent */
	uint32_t max_attempts; /* servers that one request may be sent to */
	int is_public; /* needs no key */
	int carries_tokens; /* requests name model, prompt and sizes */
	int single_version; /* a result names one weight version */
	uint32_t due_ms; /* batches: results are due, from the submission */
	uint32_t retention_ms; /* batches: an item may be given up then */
	struct entry_target *targets;
	uint32_t target_count;
	uint32_t next; /* in its bucket; index + 1 */
};

/* Prices and bounds for ordering servers of a service. */
struct entry_scaling {
	int allowed;
	uint32_t min; /* a data centre */
	uint32_t max;
	uint32_t boot_ms;
	double cheap_price; /* part of the price of a dear one */
	char **data_centres;
	double *prices; /* of each, relative */
	uint32_t data_centre_count;
};

struct entry_service {
	char *name;
	uint32_t max_connections; /* to one server, of all daemons together */
	int is_engine; /* model engines, which take weight versions */
	uint32_t slots; /* requests that an engine runs side by side */
	uint32_t memory_tokens;
	uint32_t tokens_per_event;
	char **models;
	uint32_t model_count;
	struct entry_scaling scaling;
};

struct entry_team {
	char *name;
	int has_priority;
	uint32_t priority; /* goes before the route's */
};

/* What callers may send, and how long they may take. */
struct caller_limits {
	uint32_t max_head_bytes;
	uint64_t max_body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct entry_key {
	char *secret;
	uint32_t team; /* index */
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
	int has_teams; /* requests need a key */
	struct caller_limits limits;

	uint32_t references;
	uint32_t *route_buckets; /* index + 1 */
	uint32_t *key_buckets;
	uint32_t bucket_count; /* of each, a power of two */
};

/* An empty one with a reference; the arrays are filled by the caller. */
struct entry_config *entry_config_new(void);

/* Makes the look-ups; called once, when all is filled in. */
void entry_config_index(struct entry_config *config);

struct entry_config *entry_config_hold(struct entry_config *config);
void entry_config_release(struct entry_config *config);

/*
 * The route of `host` with the longest prefix of the path; a query in
 * `target` is left out. NULL if there is none.
 */
const struct entry_route *entry_config_route(const struct entry_config *config,
					     const char *host,
					     const char *target);

/* The team that holds a key; NULL if none does. */
const struct entry_team *entry_config_team(const struct entry_config *config,
					   const char *secret);

/* The team of that name; NULL if there is none. */
const struct entry_team *
entry_config_team_named(const struct entry_config *config, const char *name);

const struct entry_service *
entry_config_service(const struct entry_config *config, const char *name);

/* Chooses among a route's services by weight; `random` is in [0, 1). */
const char *entry_route_service(const struct entry_route *route, double random);

#endif
