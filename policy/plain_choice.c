#include "policy/plain_choice.h"

#include "base/clock.h"

/* A report counts for less and less, and for nothing after this time. */
#define REPORT_FADES_NS (1 * NS_PER_S)
/* Loads within this of one another count as equal (a part of one slot). */
#define EQUAL_LOAD 0.17
/* A server that is warming up counts as this much fuller. */
#define COLD_LOAD 0.5

double plain_server_taken(const struct plain_server *server)
{
	double taken = server->own_running;
	double reported = server->reported;

	if (server->reported_age_ns < 0 ||
	    server->reported_age_ns >= REPORT_FADES_NS)
		return taken;
	reported *= 1 - (double)server->reported_age_ns / REPORT_FADES_NS;
	return reported > taken ? reported : taken;
}

/* Expected load, as requests a slot. */
static double server_load(const struct plain_server *server)
{
	double load = plain_server_taken(server);

	load /= server->slots ? server->slots : 1;
	if (server->cold_left_ms)
		load += COLD_LOAD;
	return load;
}

/* Tie-break among servers of equal load. */
static int is_better_place(const struct plain_server *a,
			   const struct plain_server *b)
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
		if (best < 0 || load < best_load - EQUAL_LOAD) {
			best = (int32_t)i;
			best_load = load;
			equal = 1;
			continue;
		}
		if (load > best_load + EQUAL_LOAD ||
		    is_better_place(&servers[best], &servers[i]))
			continue;
		if (is_better_place(&servers[i], &servers[best])) {
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
