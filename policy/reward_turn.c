#include "policy/reward_turn.h"

#include "base/clock.h"

/*
 * Part of a server's slots that calls take: what is left serves a burst of
 * single requests, which take a few slots on the users' deployments.
 */
#define CALLS_NUMERATOR 2
#define CALLS_DENOMINATOR 3
/* A call that waited this long takes any slot: two goals of such services. */
#define YIELDS_NS (300 * NS_PER_MS)

static int compare(int64_t a, int64_t b)
{
	return a < b ? -1 : a > b;
}

int reward_turn_compare(const struct reward_rank *a,
			const struct reward_rank *b)
{
	int order;

	if (a->is_required != b->is_required)
		return a->is_required ? -1 : 1;
	order = compare((int64_t)a->step, (int64_t)b->step);
	if (order)
		return order;
	order = compare(a->group_left, b->group_left);
	if (order)
		return order;
	order = compare(a->whole_ns, b->whole_ns);
	return order ? order : compare(a->number, b->number);
}

/* Slots of the server that the call may find taken at most. */
static uint32_t room(const struct plain_server *server, int64_t waited_ns)
{
	uint32_t part = server->slots * CALLS_NUMERATOR / CALLS_DENOMINATOR;

	if (waited_ns >= YIELDS_NS)
		return server->slots ? server->slots : 1;
	return part ? part : 1;
}

int32_t reward_turn_place(struct plain_server *servers, uint32_t count,
			  int64_t waited_ns, struct rng *rng)
{
	for (uint32_t i = 0; i < count; i++)
		if (plain_server_taken(&servers[i]) >=
		    room(&servers[i], waited_ns))
			servers[i].usable = 0;
	return plain_choice(servers, count, rng);
}
