#ifndef APP_ORDER_DEMAND_H
#define APP_ORDER_DEMAND_H

#include "orders/cheap_watch.h"
#include "orders/order_loop.h"
#include "policy/server_count.h"

/*
 * How many backend servers are wanted in each data centre, from the load of
 * the pools as this daemon knows it, the budgets and the prices.
 */
#define ORDER_PLACES_MAX 64
#define ORDER_POOLS_MAX 16

struct daemon;

/* What is kept of one pool from round to round. */
struct pool_places {
	char pool[NAME_BYTES];
	struct server_place places[ORDER_PLACES_MAX];
	struct cheap_watch watches[ORDER_PLACES_MAX]; /* of each place */
	uint32_t count;
	int64_t decided_ns;
};

struct order_demand_source {
	struct order_demand base;
	struct daemon *daemon;
	struct server_count_policy policy;
	struct pool_places pools[ORDER_POOLS_MAX];
	uint32_t pool_count;
};

void order_demand_init(struct order_demand_source *source,
		       struct daemon *daemon);

#endif
