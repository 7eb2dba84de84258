#include "policy/load_fill.h"

static double slots_of(const struct load_fill_server *server)
{
	return server->slots ? server->slots : 1;
}

double load_fill_time(const struct load_fill_server *server)
{
	return server->slowdown * (1 + server->requests / slots_of(server));
}

/* Requests that the server has room for until its time reaches `time`. */
static double room(const struct load_fill_server *server, double time)
{
	return slots_of(server) * (time / server->slowdown - 1) -
	       server->requests;
}

/* Time of the servers with a part after all requests were distributed. */
static double level(const struct load_fill_server *servers, uint32_t count,
		    double requests, const double *parts)
{
	double sum = requests;
	double capacity = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (parts[i] <= 0)
			continue;
		sum += slots_of(&servers[i]) + servers[i].requests;
		capacity += slots_of(&servers[i]) / servers[i].slowdown;
	}
	return sum / capacity;
}

void load_fill(const struct load_fill_server *servers, uint32_t count,
	       double requests, double *parts)
{
	int removed = 1;

	for (uint32_t i = 0; i < count; i++)
		parts[i] = 1;
	/*
	 * Servers above the level have no part, and the level falls without
	 * them; the fastest one is never above it.
	 */
	while (removed) {
		double time = level(servers, count, requests, parts);

		removed = 0;
		for (uint32_t i = 0; i < count; i++) {
			if (parts[i] <= 0)
				continue;
			parts[i] = room(&servers[i], time);
			removed |= parts[i] <= 0;
		}
	}
}
