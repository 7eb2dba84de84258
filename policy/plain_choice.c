#include "policy/plain_choice.h"

#include "base/clock.h"

/* The weight of a report decreases linearly to zero over this time. */
#define REPORT_MAX_AGE_NS (1 * NS_PER_S)
/*
 * Loads that differ by at most this much, in requests per slot, count as equal.
 */
#define LOAD_TOLERANCE 0.17
/* Extra load assumed for a server that is warming up. */
#define WARM_UP_LOAD 0.5

double plain_server_requests(const struct plain_server *server)
{
	double requests = server->own_running;
	double reported = server->reported;

	if (server->reported_age_ns < 0 ||
	    server->reported_age_ns >= REPORT_MAX_AGE_NS)
		return requests;
	reported *= 1 - (double)server->reported_age_ns / REPORT_MAX_AGE_NS;
	return reported > requests ? reported : requests;
}

/* Expected load, in requests per slot. */
static double server_load(const struct plain_server *server)
{
	double load = plain_server_requests(server);

	load /= server->slots ? server->slots : 1;
	if (server->cold_left_ms)
		load += WARM_UP_LOAD;
	return load;
}

/* Tie-break between servers of equal load. */
static int is_nearer(const struct plain_server *a, const struct plain_server *b)
{
	return a->same_data_centre && !b->same_data_centre;
}

int32_t plain_choice(const struct plain_server *servers, uint32_t count,
		     struct rng *rng)
{
	double best_load = 0;
	int32_t best = -1;
	uint64_t equal = 0;

	for (uint32_t i = 0; i < count; i++) {
		double load;

		if (!servers[i].usable || servers[i].tried)
			continue;
		load = server_load(&servers[i]);
		if (best < 0 || load < best_load - LOAD_TOLERANCE) {
			best = (int32_t)i;
			best_load = load;
			equal = 1;
			continue;
		}
		if (load > best_load + LOAD_TOLERANCE ||
		    is_nearer(&servers[best], &servers[i]))
			continue;
		if (is_nearer(&servers[i], &servers[best])) {
			best = (int32_t)i;
			best_load = load;
			equal = 1;
			continue;
		}
		equal++;
		if (!rng_below(rng, equal)) {
			best = (int32_t)i;
			best_load = load;
		}
	}
	return best;
}
