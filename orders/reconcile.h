#ifndef ORDERS_RECONCILE_H
#define ORDERS_RECONCILE_H

#include "port/order_port.h"

/*
 * Computes the orders that bring one data centre from the platform's counts to
 * the wanted counts, within its budget. Pure: time is an argument. Counts are
 * raised at once but lowered only after demand has stayed low for
 * `lower_after_ns`, so that fluctuating demand causes no orders; counts over
 * budget are lowered at once.
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

/* Recent demand of one pool and class (cheap or dear). */
struct reconcile_demand {
	char pool[NAME_BYTES];
	int cheap;
	uint32_t highest; /* maximum wanted since `lower_since_ns` */
	int64_t lower_since_ns; /* start of demand below the ordered count */
	int is_lower;
};

struct reconcile {
	struct reconcile_rules rules;
	struct reconcile_demand demands[RECONCILE_MAX];
	uint32_t demand_count;
	int64_t tokens_ns; /* token bucket that limits the order rate */
	int64_t last_ns; /* time of the last refill */
	int started;
};

void reconcile_init(struct reconcile *reconcile,
		    const struct reconcile_rules *rules);

/* Discards the recent demand; called when the lease was newly acquired. */
void reconcile_reset(struct reconcile *reconcile);

/*
 * Reduces the wanted counts to the budget, in place. Dear servers take
 * precedence, since they serve work that cannot wait. If the cost is limited,
 * a pool for which the platform reports no price gets no servers.
 */
void reconcile_apply_budget(struct server_want *wants, uint32_t count,
			    const struct budget *budget,
			    const struct server_count *have,
			    uint32_t have_count);

/*
 * Fills up to `max` orders; returns how many. `wants` must have been passed to
 * reconcile_apply_budget(); `have` are the platform's counts. Orders beyond the
 * rate limit are left to later calls. Epoch and sequence are left 0.
 */
uint32_t reconcile_decide(struct reconcile *reconcile, const char *data_centre,
			  const struct server_want *wants, uint32_t want_count,
			  const struct budget *budget,
			  const struct server_count *have, uint32_t have_count,
			  int64_t now_ns, struct server_order *orders,
			  uint32_t max);

#endif
