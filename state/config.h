#ifndef STATE_CONFIG_H
#define STATE_CONFIG_H

#include <stdint.h>

#include "base/error.h"
#include "proto/record.pb-c.h"

/*
 * The operators' configuration: teams, keys, routes, staleness bounds and
 * backend server budgets, as accepted changes left it. It is derived from
 * the log alone; `version` of an object is the position of the record that
 * changed it last.
 */
#define NAME_BYTES 64
#define PATH_BYTES 128
#define KEY_SALT_BYTES 16
#define KEY_HASH_BYTES 32

enum route_kind { ROUTE_ENGINE = 0, ROUTE_SERVICE };
enum route_class { ROUTE_BATCH = 0, ROUTE_LATENCY };

/* Bits of `route.methods`. */
enum route_method {
	METHOD_GET = 1,
	METHOD_POST = 2,
	METHOD_PUT = 4,
	METHOD_DELETE = 8,
};

struct team {
	char name[NAME_BYTES];
	uint64_t version;
	uint32_t weight; /* share of the engines, relative to others */
	uint32_t max_in_flight; /* over the whole system; 0: no limit */
};

struct key {
	char id[NAME_BYTES];
	uint64_t version;
	char team[NAME_BYTES];
	uint8_t salt[KEY_SALT_BYTES];
	uint8_t hash[KEY_HASH_BYTES]; /* SHA-256 of salt and secret */
	int withdrawn;
};

struct route {
	char name[NAME_BYTES];
	uint64_t version;
	enum route_kind kind;
	enum route_class class_; /* latency-bound ones go first */
	char pool[NAME_BYTES]; /* backend servers that serve it */
	char path[PATH_BYTES]; /* service routes: prefix of the path */
	char team[NAME_BYTES]; /* "" : any team that holds a key */
	int open; /* no key needed */
	int repeatable; /* a call may be run more than once */
	uint32_t methods;
	uint32_t deadline_ms;
	uint32_t max_tokens;
};

struct bound {
	char route[NAME_BYTES];
	uint64_t version;
	uint32_t max_versions; /* newest version minus the sample's oldest */
};

struct budget {
	char data_centre[NAME_BYTES];
	uint64_t version;
	char pool[NAME_BYTES];
	uint32_t max_dear;
	uint32_t max_cheap;
	uint32_t max_cents_per_hour; /* 0: no limit */
};

struct config {
	struct team *teams;
	uint32_t team_count;
	struct key *keys;
	uint32_t key_count;
	struct route *routes;
	uint32_t route_count;
	struct bound *bounds;
	uint32_t bound_count;
	struct budget *budgets;
	uint32_t budget_count;
	uint64_t position; /* of the last record applied */
};

void config_init(struct config *config);
void config_finish(struct config *config);

/* Copies everything, so that the copy can be published to readers. */
void config_clone(struct config *dst, const struct config *src);

/*
 * Judges and applies one change at `position`. Returns 0 if it is accepted,
 * else -1 with the reason; a rejected change alters nothing. It is a pure
 * function of its arguments, so that every daemon reaches the same verdict.
 */
int config_apply(struct config *config, const Currant__Change *change,
		 uint64_t position, struct error *err);

/* Look an object up by name; NULL if it does not exist. */
const struct team *config_team(const struct config *config, const char *name);
const struct key *config_key(const struct config *config, const char *id);
const struct route *config_route(const struct config *config, const char *name);
const struct bound *config_bound(const struct config *config,
				 const char *route);
const struct budget *config_budget(const struct config *config,
				   const char *data_centre);

/* The service route with the longest path prefix that matches, or NULL. */
const struct route *config_route_for_path(const struct config *config,
					  const char *path);

#endif
