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

	if (server->is_estimated)
		return requests + server->others;
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

static int may_take(const struct plain_server *server)
{
	return server->usable && !server->tried;
}

static int32_t least_loaded(const struct plain_server *servers, uint32_t count,
			    struct rng *rng)
{
	double best_load = 0;
	int32_t best = -1;
	uint64_t equal = 0;

	for (uint32_t i = 0; i < count; i++) {
		double load;

		if (!may_take(&servers[i]))
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

/* Servers that a request may be sent to, for a draw. */
struct fill_list {
	struct load_fill_server servers[PLAIN_CHOICE_MAX];
	uint32_t indexes[PLAIN_CHOICE_MAX];
	uint32_t count;
	double unseen; /* expected requests that no report includes yet */
};

/*
 * Means over the servers with an estimate, for those that have not answered
 * this host yet; returns 0 if there are none.
 */
static int find_means(const struct plain_server *servers, uint32_t count,
		      struct plain_server *means)
{
	uint32_t known = 0;

	means->others = 0;
	means->slowdown = 0;
	for (uint32_t i = 0; i < count; i++) {
		if (!servers[i].is_estimated)
			continue;
		known++;
		means->others += servers[i].others;
		means->slowdown += servers[i].slowdown;
	}
	if (!known)
		return 0;
	means->others /= known;
	means->slowdown /= known;
	means->weight = 0;
	return 1;
}

static void list_fill(const struct plain_server *servers, uint32_t count,
		      const struct plain_server *means, struct fill_list *list)
{
	list->count = 0;
	list->unseen = 0;
	for (uint32_t i = 0; i < count; i++) {
		const struct plain_server *server = &servers[i];
		const struct plain_server *by = server->is_estimated ? server
								     : means;
		struct load_fill_server *fill = &list->servers[list->count];

		if (!may_take(server))
			continue;
		list->indexes[list->count++] = i;
		fill->slots = server->slots;
		fill->requests = server->own_running + by->others;
		if (server->cold_left_ms)
			fill->requests += WARM_UP_LOAD * server->slots;
		fill->slowdown = by->slowdown;
		list->unseen += by->others * (1 - by->weight);
	}
}

/* The nearest server that is about as fast as the drawn one. */
static uint32_t prefer_near(const struct plain_server *servers,
			    const struct fill_list *list, uint32_t drawn)
{
	double limit = load_fill_time(&list->servers[drawn]) + LOAD_TOLERANCE;

	if (servers[list->indexes[drawn]].same_data_centre)
		return drawn;
	for (uint32_t i = 0; i < list->count; i++)
		if (servers[list->indexes[i]].same_data_centre &&
		    load_fill_time(&list->servers[i]) <= limit)
			return i;
	return drawn;
}

static uint32_t draw(const struct fill_list *list, const double *parts,
		     double sum, struct rng *rng)
{
	double left = rng_unit(rng) * sum;
	uint32_t drawn = 0;

	for (uint32_t i = 0; i < list->count; i++) {
		if (parts[i] <= 0)
			continue;
		drawn = i;
		left -= parts[i];
		if (left < 0)
			break;
	}
	return drawn;
}

/* Draws twice and takes the faster server, then a near one about as fast. */
static int32_t choose_drawn(const struct plain_server *servers,
			    const struct fill_list *list, struct rng *rng)
{
	double requests = 1 + list->unseen;
	double parts[PLAIN_CHOICE_MAX];
	uint32_t first;
	uint32_t second;

	if (!list->count)
		return -1;
	load_fill(list->servers, list->count, requests, parts);
	first = draw(list, parts, requests, rng);
	second = draw(list, parts, requests, rng);
	if (load_fill_time(&list->servers[second]) <
	    load_fill_time(&list->servers[first]))
		first = second;
	return (int32_t)list->indexes[prefer_near(servers, list, first)];
}

int32_t plain_choice(const struct plain_server *servers, uint32_t count,
		     struct rng *rng)
{
	struct plain_server means;

	if (find_means(servers, count, &means)) {
		struct fill_list list;

		list_fill(servers, count, &means, &list);
		return choose_drawn(servers, &list, rng);
	}
	return least_loaded(servers, count, rng);
}
