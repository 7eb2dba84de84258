#ifndef ORDERS_ORDER_LOOP_H
#define ORDERS_ORDER_LOOP_H

#include "base/poll_thread.h"
#include "lease/lease_keeper.h"
#include "orders/reconcile.h"

/*
 * Orders backend servers for every data centre that has a budget and whose
 * lease "orders/<data centre>" this daemon holds. Each round reads the actual
 * counts from the platform and orders the difference, so that a new lease
 * holder starts from the counts that its predecessor actually reached, and an
 * order whose response was lost is visible in the next round.
 */
#define ORDER_LOOP_MAX 64 /* data centres */

/* Provides the wanted counts; the vtable is the first member. */
struct order_demand;

struct order_demand_vtable {
	/* Receives the platform's counts, before wanted(); may be NULL. */
	void (*seen)(struct order_demand *demand, const char *data_centre,
		     const struct server_count *have, uint32_t have_count);
	/* Fills up to `max` wants of a data centre; returns how many. */
	uint32_t (*wanted)(struct order_demand *demand, const char *data_centre,
			   struct server_want *wants, uint32_t max);
};

struct order_demand {
	const struct order_demand_vtable *vt;
};

struct order_centre {
	char name[NAME_BYTES];
	char lease[2 * NAME_BYTES];
	struct reconcile reconcile;
	uint64_t epoch; /* of the lease; the sequence restarts with it */
	uint64_t sequence;
	int64_t due_ns; /* time of the next round */
};

struct order_loop {
	struct log_client *client;
	struct lease_keeper *keeper;
	struct order_port *port;
	struct order_demand *demand;
	struct clock *clock;
	struct log_part log;
	char own_data_centre[NAME_BYTES];
	struct reconcile_rules rules;
	int64_t interval_ns;
	struct order_centre centres[ORDER_LOOP_MAX];
	uint32_t count;
	struct counter *orders;
	struct counter *failed;
	struct poll_thread thread;
};

/*
 * Runs one round per data centre every `interval_ns`. The caller keeps
 * ownership of all pointers.
 */
void order_loop_init(struct order_loop *loop, struct log_client *client,
		     struct lease_keeper *keeper, struct order_port *port,
		     struct order_demand *demand, struct clock *clock,
		     const char *own_data_centre,
		     const struct reconcile_rules *rules, int64_t interval_ns,
		     struct counter_set *counters, const struct log_part *log);
void order_loop_finish(struct order_loop *loop);

int order_loop_start(struct order_loop *loop, struct error *err);

/* Returns once no order is in flight; leases may be released afterwards. */
void order_loop_stop(struct order_loop *loop);

/* Runs one iteration over all data centres; called by the thread. */
void order_loop_step(struct order_loop *loop);

#endif
