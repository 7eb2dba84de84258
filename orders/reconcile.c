#include "orders/reconcile.h"

#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

#define MINUTE_NS (60 * NS_PER_S)

void reconcile_init(struct reconcile *reconcile,
		    const struct reconcile_rules *rules)
{
	memset(reconcile, 0, sizeof(*reconcile));
	reconcile->rules = *rules;
}

void reconcile_reset(struct reconcile *reconcile)
{
	reconcile->demand_count = 0;
}

static const struct server_count *find_have(const struct server_count *have,
					    uint32_t count, const char *pool,
					    int cheap)
{
	for (uint32_t i = 0; i < count; i++)
		if (!have[i].cheap == !cheap && !strcmp(have[i].pool, pool))
			return &have[i];
	return NULL;
}

/* Limits the wants of one class to a number of servers and a cost. */
static void cut_class(struct server_want *wants, uint32_t count, int cheap,
		      uint32_t servers, int has_cost, uint64_t *cents,
		      const struct server_count *have, uint32_t have_count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct server_want *want = &wants[i];
		const struct server_count *known;
		uint64_t price;

		if (!want->cheap != !cheap)
			continue;
		if (want->count > servers)
			want->count = servers;
		known = find_have(have, have_count, want->pool, cheap);
		price = known ? known->cents_per_hour : 0;
		if (has_cost && !price)
			want->count = 0;
		else if (has_cost && want->count > *cents / price)
			want->count = (uint32_t)(*cents / price);
		servers -= want->count;
		*cents -= want->count * price * !!has_cost;
	}
}

void reconcile_apply_budget(struct server_want *wants, uint32_t count,
			    const struct budget *budget,
			    const struct server_count *have,
			    uint32_t have_count)
{
	uint64_t cents = budget->max_cents_per_hour;
	int has_cost = budget->max_cents_per_hour != 0;

	for (uint32_t i = 0; i < count; i++)
		if (budget->pool[0] && strcmp(wants[i].pool, budget->pool))
			wants[i].count = 0;
	cut_class(wants, count, 0, budget->max_dear, has_cost, &cents, have,
		  have_count);
	cut_class(wants, count, 1, budget->max_cheap, has_cost, &cents, have,
		  have_count);
}

static struct reconcile_demand *demand_of(struct reconcile *reconcile,
					  const struct server_want *want)
{
	struct reconcile_demand *demand;

	for (uint32_t i = 0; i < reconcile->demand_count; i++) {
		demand = &reconcile->demands[i];
		if (!demand->cheap == !want->cheap &&
		    !strcmp(demand->pool, want->pool))
			return demand;
	}
	if (reconcile->demand_count == RECONCILE_MAX)
		return NULL;
	demand = &reconcile->demands[reconcile->demand_count++];
	memset(demand, 0, sizeof(*demand));
	copy_text(demand->pool, sizeof(demand->pool), want->pool);
	demand->cheap = want->cheap;
	return demand;
}

/* Returns the count to order for `want`; `desired` is currently ordered. */
static uint32_t target(struct reconcile *reconcile,
		       const struct server_want *want, uint32_t desired,
		       int64_t now_ns)
{
	struct reconcile_demand *demand = demand_of(reconcile, want);

	if (!demand)
		return desired;
	if (want->count >= desired) {
		demand->is_lower = 0;
		return want->count;
	}
	if (!demand->is_lower) {
		demand->is_lower = 1;
		demand->lower_since_ns = now_ns;
		demand->highest = want->count;
	}
	if (want->count > demand->highest)
		demand->highest = want->count;
	if (now_ns - demand->lower_since_ns < reconcile->rules.lower_after_ns)
		return desired;
	demand->is_lower = 0;
	return demand->highest;
}

/* Returns whether the ordered counts of a class, or all costs, exceed it. */
static int over_budget(const struct budget *budget,
		       const struct server_count *have, uint32_t count,
		       int cheap)
{
	uint64_t cents = 0;
	uint64_t servers = 0;

	for (uint32_t i = 0; i < count; i++) {
		cents += (uint64_t)have[i].desired * have[i].cents_per_hour;
		if (!have[i].cheap == !cheap)
			servers += have[i].desired;
	}
	if (budget->max_cents_per_hour && cents > budget->max_cents_per_hour)
		return 1;
	return servers > (cheap ? budget->max_cheap : budget->max_dear);
}

/* Refills the token bucket, whose capacity is one minute of orders. */
static void refill(struct reconcile *reconcile, int64_t now_ns)
{
	if (!reconcile->started)
		reconcile->tokens_ns = MINUTE_NS;
	else
		reconcile->tokens_ns += now_ns - reconcile->last_ns;
	if (reconcile->tokens_ns > MINUTE_NS)
		reconcile->tokens_ns = MINUTE_NS;
	reconcile->started = 1;
	reconcile->last_ns = now_ns;
}

static int take_token(struct reconcile *reconcile)
{
	int64_t cost_ns = MINUTE_NS / reconcile->rules.orders_per_minute;

	if (reconcile->tokens_ns < cost_ns)
		return 0;
	reconcile->tokens_ns -= cost_ns;
	return 1;
}

struct change {
	const struct server_want *want;
	uint32_t count;
	int urgency; /* 0: budget, 1: dear up, 2: cheap up, 3: down */
};

static int urgency(const struct server_want *want, uint32_t count,
		   uint32_t desired, int over)
{
	if (count < desired)
		return over ? 0 : 3;
	return want->cheap ? 2 : 1;
}

static uint32_t find_changes(struct reconcile *reconcile,
			     const struct server_want *wants,
			     uint32_t want_count, const struct budget *budget,
			     const struct server_count *have,
			     uint32_t have_count, int64_t now_ns,
			     struct change *changes)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < want_count && found < RECONCILE_MAX; i++) {
		const struct server_want *want = &wants[i];
		const struct server_count *row =
			find_have(have, have_count, want->pool, want->cheap);
		uint32_t desired = row ? row->desired : 0;
		int over = over_budget(budget, have, have_count, want->cheap);
		uint32_t count =
			over ? want->count
			     : target(reconcile, want, desired, now_ns);

		if (count == desired)
			continue;
		changes[found].want = want;
		changes[found].count = count;
		changes[found].urgency = urgency(want, count, desired, over);
		found++;
	}
	return found;
}

uint32_t reconcile_decide(struct reconcile *reconcile, const char *data_centre,
			  const struct server_want *wants, uint32_t want_count,
			  const struct budget *budget,
			  const struct server_count *have, uint32_t have_count,
			  int64_t now_ns, struct server_order *orders,
			  uint32_t max)
{
	struct change changes[RECONCILE_MAX];
	uint32_t found = find_changes(reconcile, wants, want_count, budget,
				      have, have_count, now_ns, changes);
	uint32_t count = 0;

	refill(reconcile, now_ns);
	for (int level = 0; level <= 3; level++) {
		for (uint32_t i = 0; i < found && count < max; i++) {
			struct server_order *order = &orders[count];

			if (changes[i].urgency != level ||
			    !take_token(reconcile))
				continue;
			memset(order, 0, sizeof(*order));
			copy_text(order->data_centre,
				  sizeof(order->data_centre), data_centre);
			copy_text(order->pool, sizeof(order->pool),
				  changes[i].want->pool);
			order->cheap = changes[i].want->cheap;
			order->count = changes[i].count;
			count++;
		}
	}
	return count;
}
