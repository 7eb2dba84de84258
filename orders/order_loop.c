#include "orders/order_loop.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define ROUND_MS 200

void order_loop_init(struct order_loop *loop, struct log_client *client,
		     struct lease_keeper *keeper, struct order_port *port,
		     struct order_demand *demand, struct clock *clock,
		     const char *own_data_centre,
		     const struct reconcile_rules *rules, int64_t interval_ns,
		     struct counter_set *counters, const struct log_part *log)
{
	memset(loop, 0, sizeof(*loop));
	loop->client = client;
	loop->keeper = keeper;
	loop->port = port;
	loop->demand = demand;
	loop->clock = clock;
	loop->log = *log;
	loop->rules = *rules;
	loop->interval_ns = interval_ns;
	copy_text(loop->own_data_centre, sizeof(loop->own_data_centre),
		  own_data_centre);
	if (counters) {
		loop->orders = counter_get(counters, "orders_sent_total");
		loop->failed = counter_get(counters, "orders_failed_total");
	}
}

void order_loop_finish(struct order_loop *loop)
{
	order_loop_stop(loop);
}

static struct order_centre *centre_of(struct order_loop *loop, const char *name)
{
	int near = !strcmp(name, loop->own_data_centre);
	struct order_centre *centre;

	for (uint32_t i = 0; i < loop->count; i++)
		if (!strcmp(loop->centres[i].name, name))
			return &loop->centres[i];
	if (loop->count == ORDER_LOOP_MAX)
		return NULL;
	centre = &loop->centres[loop->count++];
	memset(centre, 0, sizeof(*centre));
	copy_text(centre->name, sizeof(centre->name), name);
	snprintf(centre->lease, sizeof(centre->lease), "orders/%s", name);
	reconcile_init(&centre->reconcile, &loop->rules);
	lease_keeper_request(
		loop->keeper, centre->lease,
		lease_keeper_spread_ns(loop->keeper, centre->lease, near),
		NULL);
	return centre;
}

/* Sends one order if the lease is still held; returns -1 to end the round. */
static int send_order(struct order_loop *loop, struct order_centre *centre,
		      struct server_order *order)
{
	struct error why = ERROR_INIT;
	struct lease_hold hold;

	if (!lease_keeper_held(loop->keeper, centre->lease,
			       clock_now_ns(loop->clock), &hold) ||
	    hold.epoch != centre->epoch)
		return -1;
	order->epoch = hold.epoch;
	order->sequence = ++centre->sequence;
	if (!loop->port->vt->order(loop->port, order, hold.deadline_ns, &why)) {
		counter_add(loop->orders, 1);
		log_info(&loop->log, "ordered %u %s of %s in %s", order->count,
			 order->cheap ? "cheap" : "dear", order->pool,
			 order->data_centre);
		return 0;
	}
	counter_add(loop->failed, 1);
	log_warning(&loop->log, "cannot order servers in '%s': %s",
		    centre->name, why.text);
	return -1;
}

/* Reads the platform's counts, then orders the difference. */
static void run_round(struct order_loop *loop, struct order_centre *centre,
		      const struct budget *budget)
{
	struct server_want wants[RECONCILE_MAX];
	struct server_order orders[RECONCILE_MAX];
	struct server_count *have = NULL;
	struct error why = ERROR_INIT;
	uint32_t have_count = 0;
	uint32_t want_count;
	uint32_t count;

	if (loop->port->vt->read(loop->port, centre->name, &have, &have_count,
				 &why)) {
		log_warning(&loop->log, "cannot read server counts of '%s': %s",
			    centre->name, why.text);
		return;
	}
	if (loop->demand->vt->seen)
		loop->demand->vt->seen(loop->demand, centre->name, have,
				       have_count);
	want_count = loop->demand->vt->wanted(loop->demand, centre->name, wants,
					      RECONCILE_MAX);
	reconcile_apply_budget(wants, want_count, budget, have, have_count);
	count = reconcile_decide(&centre->reconcile, centre->name, wants,
				 want_count, budget, have, have_count,
				 clock_now_ns(loop->clock), orders,
				 RECONCILE_MAX);
	free(have);
	for (uint32_t i = 0; i < count; i++)
		if (send_order(loop, centre, &orders[i]))
			break;
}

static void step_centre(struct order_loop *loop, const struct budget *budget)
{
	struct order_centre *centre = centre_of(loop, budget->data_centre);
	int64_t now_ns = clock_now_ns(loop->clock);
	struct lease_hold hold;

	if (!centre ||
	    !lease_keeper_held(loop->keeper, centre->lease, now_ns, &hold))
		return;
	if (hold.epoch != centre->epoch) {
		centre->epoch = hold.epoch;
		centre->sequence = 0;
		centre->due_ns = 0;
		reconcile_reset(&centre->reconcile);
	}
	if (now_ns < centre->due_ns)
		return;
	centre->due_ns = now_ns + loop->interval_ns;
	run_round(loop, centre, budget);
}

/*
 * Copies the budgets, since a round blocks and must not hold the config. The
 * caller frees them.
 */
static uint32_t copy_budgets(struct order_loop *loop, struct budget **out)
{
	const struct config *config = log_client_config_begin(loop->client);
	uint32_t count = config->budget_count;

	*out = xmalloc((count + 1) * sizeof(**out));
	if (count)
		memcpy(*out, config->budgets, count * sizeof(**out));
	log_client_config_end(loop->client);
	return count;
}

void order_loop_step(struct order_loop *loop)
{
	struct budget *budgets;
	uint32_t count = copy_budgets(loop, &budgets);

	for (uint32_t i = 0; i < count; i++)
		step_centre(loop, &budgets[i]);
	free(budgets);
}

static void run_loop(void *arg)
{
	order_loop_step(arg);
}

int order_loop_start(struct order_loop *loop, struct error *err)
{
	return poll_thread_start(&loop->thread, ROUND_MS, run_loop, loop, err);
}

void order_loop_stop(struct order_loop *loop)
{
	poll_thread_stop(&loop->thread);
}
