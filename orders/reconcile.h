#ifndef ORDERS_RECONCILE_H
#define ORDERS_RECONCILE_H

#include "port/order_port.h"

/*
 * Which orders bring one data centre from what the platform has to what is
 * wanted, within its budget. Pure: time is an argument. Counts are raised at
 * once and lowered only after they were not wanted for a while, so that
 * demand that comes and goes moves nothing; what exceeds the budget is
 * lowered at once.
 */
#define RECONCILE_MAX 64 /* pools and classes of one data centre */

struct server_want {
	char pool[NAME_BYTES];
	int cheap;
	uint32_t count;
};

struct reconcile_rules {
	uint32_t orders_per_minute;
	int64_t lower_after_ns;
};

/* Demand of one pool and class as it was seen lately. */
struct reconcile_demand {
	char pool[NAME_BYTES];
	int cheap;
	uint32_t highest; /* wanted since `lower_since_ns` */
	int64_t lower_since_ns; /* wanted less than ordered since then */
	int is_lower;
};

struct reconcile {
	struct reconcile_rules rules;
	struct reconcile_demand demands[RECONCILE_MAX];
	uint32_t demand_count;
	int64_t tokens_ns; /* time that was saved up for orders */
	int64_t last_ns;
	int started;
};

void reconcile_init(struct reconcile *reconcile,
		    const struct reconcile_rules *rules);

/* Forgets demand, as a new holder of the lease does. */
void reconcile_reset(struct reconcile *reconcile);

/*
 * Cuts the wanted counts to the budget, in place. Dear ones, which serve
 * what cannot wait, come first. With a limit on cost, a pool whose price the
 * platform does not name gets none.
 */
void reconcile_apply_budget(struct server_want *wants, uint32_t count,
			    const struct budget *budget,
			    const struct server_count *have,
			    uint32_t have_count);

/*
 * Fills up to `max` orders; returns how many. `wants` have passed
 * reconcile_apply_budget(); `have` is what the platform said. Orders that
 * are wanted but exceed the rate come later. Epoch and sequence are left 0.
 */
uint32_t reconcile_decide(struct reconcile *reconcile, const char *data_centre,
			  const struct server_want *wants, uint32_t want_count,
			  const struct budget *budget,
			  const struct server_count *have, uint32_t have_count,
			  int64_t now_ns, struct server_order *orders,
			  uint32_t max);

#endif
