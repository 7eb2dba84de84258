#include <string.h>

#include "policy/choice.h"

#include "base/clock.h"

/* How much slower a full batch decodes each request than a single one. */
#define FULL_BATCH_SLOWDOWN 1.0
/*
 * Prompt tokens are processed this many times faster than one request decodes.
 */
#define PREFILL_SPEEDUP 40.0
/* Fraction of a prompt that a cached prefix does not cover. */
#define UNCACHED_FRACTION 0.1
/*
 * A request to another data centre crosses the link twice and adds traffic
 * there.
 */
#define OTHER_DATA_CENTRE_PENALTY_S 0.02
/* Keeps work that may run on cheap servers off the dear ones. */
#define DEAR_SERVER_PENALTY_S 0.05
/* Exceeds any estimate for a healthy server. */
#define SUSPECT_PENALTY_S 3600.0
#define LATENCY_QUEUE_AHEAD_MAX 1.0
#define HOME_SERVER_COUNT 2
/* Wait rather than use a server with room that is this many times slower. */
#define WAIT_FACTOR 1.5
/* An older report is too inaccurate to justify waiting for its server. */
#define WAIT_REPORT_MAX_AGE_NS (2 * NS_PER_S)
/*
 * Fraction of a server reserved for latency-bound requests that batch work may
 * use.
 */
#define BATCH_FRACTION 0.375
/* Latency-bound requests in flight that one reserved server is meant for. */
#define REQUESTS_PER_RESERVED_SERVER 3.0

struct best_server {
	int32_t index;
	double cost;
	double lowest_cost; /* with or without room */
	int has_lowest;
};

static int is_avoided(const struct server_view *server,
		      const struct choice_request *request)
{
	for (uint32_t i = 0; i < request->avoid_count; i++)
		if (!strcmp(request->avoid[i], server->name))
			return 1;
	return 0;
}

int choice_eligible(const struct server_view *server,
		    const struct choice_request *request)
{
	if (server->leaving || server->circuit_open)
		return 0;
	if (server->version < request->min_version)
		return 0;
	if (request->needs_dear && server->cheap)
		return 0;
	return !is_avoided(server, request);
}

uint32_t choice_load(const struct choice_policy *policy,
		     const struct server_view *server)
{
	uint32_t load = server->reported_running + server->reported_waiting;

	if (policy->disabled_parts & CHOICE_NO_LAG_CORRECTION)
		return load;
	load += server->own_since_report;
	load = load > server->own_done_since_report
		       ? load - server->own_done_since_report
		       : 0;
	/* A report may predate responses that have been received since. */
	return load > server->own_in_flight ? load : server->own_in_flight;
}

static uint32_t capacity_of(const struct server_view *server)
{
	return server->capacity ? server->capacity : 1;
}

double choice_speed(const struct server_view *server, uint32_t batch)
{
	uint32_t capacity = capacity_of(server);
	double speed = server->tokens_per_s > 0 ? server->tokens_per_s : 1.0;
	double others;

	if (batch > capacity)
		batch = capacity;
	others = batch > 1 ? batch - 1 : 0;
	return speed / (1.0 + FULL_BATCH_SLOWDOWN * others / capacity);
}

int choice_has_prefix(const struct server_view *server, uint64_t prefix)
{
	if (!prefix)
		return 0;
	for (uint32_t i = 0; i < server->prefix_count; i++)
		if (server->prefixes[i] == prefix)
			return 1;
	return 0;
}

/* Tokens that a request queued ahead at the server is expected to need. */
static double tokens_ahead(const struct server_view *server,
			   const struct choice_request *request)
{
	if (server->own_in_flight && server->own_tokens_left > 0)
		return server->own_tokens_left / server->own_in_flight;
	return request->expected_tokens;
}

static double wait_s(const struct server_view *server,
		     const struct choice_request *request, uint32_t load)
{
	uint32_t capacity = capacity_of(server);
	double ahead;

	if (load < capacity)
		return 0;
	ahead = load - capacity + 1;
	if (request->latency_bound && ahead > LATENCY_QUEUE_AHEAD_MAX)
		ahead = LATENCY_QUEUE_AHEAD_MAX;
	return ahead * tokens_ahead(server, request) /
	       (capacity * choice_speed(server, capacity));
}

static double prefill_s(const struct choice_policy *policy,
			const struct server_view *server,
			const struct choice_request *request)
{
	double tokens = request->prompt_tokens;

	if (!(policy->disabled_parts & CHOICE_NO_AFFINITY) &&
	    choice_has_prefix(server, request->prefix))
		tokens *= UNCACHED_FRACTION;
	return tokens / (choice_speed(server, 1) * PREFILL_SPEEDUP);
}

double choice_estimate_s(const struct choice_policy *policy,
			 const struct server_view *server,
			 const struct choice_request *request, int64_t now_ns)
{
	uint32_t load = choice_load(policy, server);
	double since_s = (double)(now_ns - server->reported_at_ns) / NS_PER_S;
	double waiting = wait_s(server, request, load);

	/* Part of the reported queue has been served since. */
	if (!(policy->disabled_parts & CHOICE_NO_LAG_CORRECTION) &&
	    !server->own_since_report && since_s > 0)
		waiting = waiting > since_s ? waiting - since_s : 0;
	return waiting + prefill_s(policy, server, request) +
	       request->expected_tokens / choice_speed(server, load + 1);
}

/*
 * Estimates what other daemons, which decide on the same report, have sent
 * since. Where slots are reserved, each daemon assumes that every other one
 * sent as much as it did itself.
 */
static uint32_t estimate_sent_by_others(const struct server_view *server)
{
	uint32_t others = server->daemons ? server->daemons - 1 : 0;

	return server->own_since_report * others;
}

static int has_room(const struct choice_policy *policy,
		    const struct server_view *server,
		    const struct choice_request *request)
{
	uint32_t slots = capacity_of(server);
	uint32_t load;

	if (!request->needs_room)
		return 1;
	if (server->suspect)
		return 0;
	load = choice_load(policy, server);
	if (!server->reserved || request->latency_bound)
		return load < slots;
	slots -= server->reserved < slots ? server->reserved : slots;
	return load + estimate_sent_by_others(server) < slots;
}

/* The estimate plus penalties for servers that should be used last. */
static double total_cost_s(const struct choice_policy *policy,
			   const struct server_view *server,
			   const struct choice_request *request, int64_t now_ns)
{
	double cost = choice_estimate_s(policy, server, request, now_ns);

	if (server->suspect)
		cost += SUSPECT_PENALTY_S;
	if (!server->cheap && !request->needs_dear && !request->latency_bound)
		cost += DEAR_SERVER_PENALTY_S;
	if (request->own_data_centre &&
	    strcmp(request->own_data_centre, server->data_centre))
		cost += OTHER_DATA_CENTRE_PENALTY_S;
	return cost;
}

static void evaluate(const struct choice_policy *policy,
		     const struct server_view *servers, uint32_t index,
		     const struct choice_request *request, int64_t now_ns,
		     struct best_server *best)
{
	const struct server_view *server = &servers[index];
	double cost;

	if (!choice_eligible(server, request))
		return;
	if (policy->variant == CHOICE_LEAST_COST)
		cost = total_cost_s(policy, server, request, now_ns);
	else
		cost = server->reported_running + server->reported_waiting;
	/* A stale report is no reason to wait for its server. */
	if (now_ns - server->reported_at_ns <= WAIT_REPORT_MAX_AGE_NS &&
	    (!best->has_lowest || cost < best->lowest_cost)) {
		best->has_lowest = 1;
		best->lowest_cost = cost;
	}
	if (!has_room(policy, server, request))
		return;
	if (best->index == CHOICE_NONE || cost < best->cost) {
		best->index = (int32_t)index;
		best->cost = cost;
	}
}

static int32_t select_or_wait(const struct choice_policy *policy,
			      const struct best_server *best)
{
	if (policy->variant == CHOICE_LEAST_COST &&
	    best->index != CHOICE_NONE && best->has_lowest &&
	    best->cost > WAIT_FACTOR * best->lowest_cost)
		return CHOICE_NONE;
	return best->index;
}

/*
 * Examines all servers from a random start, so that equal ones get equal load.
 */
static int32_t scan_all(const struct choice_policy *policy,
			const struct server_view *servers, uint32_t count,
			const struct choice_request *request, struct rng *rng,
			int64_t now_ns)
{
	struct best_server best = { CHOICE_NONE, 0, 0, 0 };
	uint32_t at = (uint32_t)rng_below(rng, count);

	for (uint32_t i = 0; i < count; i++) {
		evaluate(policy, servers, at, request, now_ns, &best);
		at = at + 1 == count ? 0 : at + 1;
	}
	return select_or_wait(policy, &best);
}

static int32_t first_available(const struct choice_policy *policy,
			       const struct server_view *servers,
			       uint32_t count,
			       const struct choice_request *request,
			       uint32_t start)
{
	for (uint32_t i = 0; i < count; i++) {
		uint32_t at = (start + i) % count;

		if (choice_eligible(&servers[at], request) &&
		    has_room(policy, &servers[at], request))
			return (int32_t)at;
	}
	return CHOICE_NONE;
}

/* Jump consistent hash: few keys move when the number of servers changes. */
static uint32_t home_server(uint64_t key, uint32_t count)
{
	int64_t bucket = -1;
	int64_t next = 0;

	while (next < count) {
		bucket = next;
		key = key * UINT64_C(2862933555777941757) + 1;
		next = (int64_t)((double)(bucket + 1) *
				 ((double)(INT64_C(1) << 31) /
				  (double)((key >> 33) + 1)));
	}
	return (uint32_t)bucket;
}

static int32_t scan_sample(const struct choice_policy *policy,
			   const struct server_view *servers, uint32_t count,
			   const struct choice_request *request,
			   struct rng *rng, uint32_t tries, int64_t now_ns)
{
	struct best_server best = { CHOICE_NONE, 0, 0, 0 };

	if (policy->variant == CHOICE_LEAST_COST && request->prefix &&
	    !(policy->disabled_parts & CHOICE_NO_AFFINITY))
		for (uint32_t i = 0; i < HOME_SERVER_COUNT; i++)
			evaluate(policy, servers,
				 home_server(request->prefix + i, count),
				 request, now_ns, &best);
	for (uint32_t i = 0; i < tries; i++)
		evaluate(policy, servers, (uint32_t)rng_below(rng, count),
			 request, now_ns, &best);
	if (best.index != CHOICE_NONE)
		return select_or_wait(policy, &best);
	return scan_all(policy, servers, count, request, rng, now_ns);
}

void choice_reserve(struct server_view *servers, uint32_t count, double busy)
{
	double reserved = 0;

	for (uint32_t i = 0; i < count; i++) {
		struct server_view *server = &servers[i];

		server->reserved = 0;
		if (server->cheap || server->leaving || server->circuit_open ||
		    reserved >= busy)
			continue;
		server->reserved =
			server->capacity -
			(uint32_t)(server->capacity * BATCH_FRACTION);
		reserved += REQUESTS_PER_RESERVED_SERVER;
	}
}

int32_t choice_pick(struct choice_policy *policy,
		    const struct server_view *servers, uint32_t count,
		    const struct choice_request *request, struct rng *rng,
		    int64_t now_ns)
{
	uint64_t turn;

	if (!count)
		return CHOICE_NONE;
	switch (policy->variant) {
	case CHOICE_ROUND_ROBIN:
		turn = __atomic_fetch_add(&policy->next, 1, __ATOMIC_RELAXED);
		return first_available(policy, servers, count, request,
				       (uint32_t)(turn % count));
	case CHOICE_RANDOM:
		return first_available(policy, servers, count, request,
				       (uint32_t)rng_below(rng, count));
	case CHOICE_TWO_CHOICES:
		return scan_sample(policy, servers, count, request, rng, 2,
				   now_ns);
	case CHOICE_LEAST_COST:
		if (count > CHOICE_SCAN_MAX)
			return scan_sample(policy, servers, count, request, rng,
					   CHOICE_SAMPLE, now_ns);
		break;
	case CHOICE_LEAST_LOAD:
		break;
	}
	return scan_all(policy, servers, count, request, rng, now_ns);
}
