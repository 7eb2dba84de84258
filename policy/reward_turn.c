#include "policy/reward_turn.h"

#include "base/clock.h"

/*
 * Fraction of a server's slots that reward calls may use: the rest serves a
 * burst of single requests, which take a few slots in the users' deployments.
 */
#define CALL_SLOTS_NUMERATOR 2
#define CALL_SLOTS_DENOMINATOR 3
/*
 * A call that has waited this long may use any slot: twice the latency goal of
 * such services.
 */
#define MAX_WAIT_NS (300 * NS_PER_MS)

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
	order = compare(a->completed_ns, b->completed_ns);
	return order ? order : compare(a->number, b->number);
}

/* Number of slots in use from which on the server has no room for the call. */
static uint32_t slot_limit(const struct plain_server *server, int64_t waited_ns)
{
	uint32_t limit =
		server->slots * CALL_SLOTS_NUMERATOR / CALL_SLOTS_DENOMINATOR;

	if (waited_ns >= MAX_WAIT_NS)
		return server->slots ? server->slots : 1;
	return limit ? limit : 1;
}

int32_t reward_turn_place(struct plain_server *servers, uint32_t count,
			  int64_t waited_ns, struct rng *rng)
{
	for (uint32_t i = 0; i < count; i++)
		if (plain_server_requests(&servers[i]) >=
		    slot_limit(&servers[i], waited_ns))
			servers[i].usable = 0;
	return plain_choice(servers, count, rng);
}
