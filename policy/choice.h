#ifndef POLICY_CHOICE_H
#define POLICY_CHOICE_H

#include <stdint.h>

#include "base/rng.h"
#include "state/config.h"

/*
 * Chooses the backend server for a request. Pure functions: the caller passes
 * the known state of each server, the time and a random generator. Constraints
 * that always apply (a leaving server gets no new requests, the weight version
 * must meet the bound, a server with an open circuit is skipped) are in
 * choice_eligible(); the variants only rank eligible servers.
 *
 * Above CHOICE_SCAN_MAX servers the variant CHOICE_LEAST_COST examines a
 * bounded number of them: the two home servers of the prefix and a random
 * sample. The cost of a decision then does not grow with the number of servers,
 * and daemons with the same stale reports do not all choose the same server.
 * The caller passes the servers of its own data centre, or of all of them, in a
 * stable order, because home servers are found by position.
 *
 * Cheap servers may be evicted by their provider at any time; dear ones are
 * not.
 */
#define CHOICE_SCAN_MAX 32
#define CHOICE_SAMPLE 12
#define CHOICE_NONE (-1)

struct server_view {
	char name[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint32_t reported_running;
	uint32_t reported_waiting;
	uint32_t capacity; /* requests that run concurrently */
	uint32_t reserved; /* slots reserved for latency-bound requests */
	uint32_t daemons; /* that send to the server; 0 counts as 1 */
	double tokens_per_s; /* of one request at an idle server */
	int64_t reported_at_ns;
	uint32_t own_in_flight; /* sent by this daemon, not answered yet */
	uint32_t own_since_report; /* sent since the report was made */
	uint32_t own_done_since_report; /* in the report, answered since */
	double own_tokens_left; /* expected, of those in flight */
	uint64_t version; /* weight version that new work would get */
	int cheap;
	int leaving;
	int circuit_open;
	int suspect; /* for a suspect request that runs alone: has no room */
	uint64_t prefixes[32]; /* hashes of prefixes probably cached */
	uint32_t prefix_count;
};

struct choice_request {
	uint64_t prefix; /* hash of the start of the prompt; 0: none */
	uint32_t prompt_tokens;
	uint32_t expected_tokens;
	uint64_t min_version; /* oldest weight version within the bound */
	int latency_bound;
	int needs_dear; /* must not run where it may be evicted */
	const char *const *avoid; /* servers of earlier attempts */
	uint32_t avoid_count;
	const char *own_data_centre;
	/*
	 * Only a server with a free slot is chosen, and none if a server
	 * without one is expected to finish so much sooner that it is better to
	 * wait for it.
	 */
	int needs_room;
};

enum choice_variant {
	CHOICE_LEAST_COST = 0,
	CHOICE_ROUND_ROBIN,
	CHOICE_RANDOM,
	CHOICE_LEAST_LOAD,
	CHOICE_TWO_CHOICES,
};

/* Features of CHOICE_LEAST_COST that benchmarks can disable. */
enum choice_part {
	CHOICE_NO_AFFINITY = 1,
	CHOICE_NO_LAG_CORRECTION = 2,
};

struct choice_policy {
	enum choice_variant variant;
	uint32_t disabled_parts; /* bits of enum choice_part */
	uint64_t next; /* for round robin */
};

/* Whether the server satisfies the request's constraints. */
int choice_eligible(const struct server_view *server,
		    const struct choice_request *request);

/* Estimated number of requests at the server, running and waiting. */
uint32_t choice_load(const struct choice_policy *policy,
		     const struct server_view *server);

/* Tokens per second of each request while `batch` of them run concurrently. */
double choice_speed(const struct server_view *server, uint32_t batch);

/* Whether the server probably has the prefix cached. */
int choice_has_prefix(const struct server_view *server, uint64_t prefix);

/* Estimated seconds until the request would be finished at the server. */
double choice_estimate_s(const struct choice_policy *policy,
			 const struct server_view *server,
			 const struct choice_request *request, int64_t now_ns);

/*
 * Sets `reserved` so that latency-bound requests, of which `busy` are in flight
 * on average, run in a small batch: on the first dear servers of the list,
 * which has the same order on all daemons. Reserves none if `busy` is 0.
 */
void choice_reserve(struct server_view *servers, uint32_t count, double busy);

/*
 * Returns the index of the chosen server, or CHOICE_NONE if none is suitable.
 */
int32_t choice_pick(struct choice_policy *policy,
		    const struct server_view *servers, uint32_t count,
		    const struct choice_request *request, struct rng *rng,
		    int64_t now_ns);

#endif
