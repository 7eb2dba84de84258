#include "duty/server_duty.h"

#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"

#define TICK_NS (500 * NS_PER_MS)
#define CALL_TIMEOUT_NS (1500 * NS_PER_MS)
/* An order that the platform did not take is tried again after this. */
#define RETRY_NS (1 * NS_PER_S)
/* A model whose batches stopped coming needs no engines after this. */
#define NEED_KEEPS_NS (15 * NS_PER_S)
/*
 * Runs that an engine is wanted for, as a part of its slots: beyond it, steps
 * take so long that the last items of a batch are late.
 */
#define RUNS_PART 0.7
/* Counts fall after the need was lower for this long: a few steps. */
#define LOWER_HOLD_NS (15 * NS_PER_S)
/* Without cheap servers in a data centre that lost them or has none. */
#define FIRST_BACKOFF_NS (4 * NS_PER_S)
#define MAX_BACKOFF_NS (60 * NS_PER_S)
/* How long after they should serve servers count as lost. */
#define LOST_AFTER_NS (3 * NS_PER_S)
/* Prices are relative; the policy counts in hundredths. */
#define CENTS 100

static int64_t now_ns(const struct server_duty *duty)
{
	return clock_now_ns(duty->timers->clock);
}

static int is_active(struct server_duty *duty)
{
	return duty->enabled && duty_lease_holds(duty->lease);
}

static void report(const struct server_order *order, const char *event,
		   const char *outcome)
{
	struct record record;

	record_begin(&record, order->duty->log, "servers", event);
	record_text(&record, "service", order->service);
	record_text(&record, "data_centre", order->place->data_centre);
	record_int(&record, "cheap", order->number.count);
	record_int(&record, "before", order->ordered);
	record_int(&record, "fence", (int64_t)order->duty->fence);
	record_text(&record, "outcome", outcome);
	record_end(&record);
}

static void on_ordered(struct duty_call *call)
{
	struct server_order *order = call->arg;
	struct server_duty *duty = order->duty;

	order->in_flight = 0;
	report(order, "ordered", duty_outcome_name(call->outcome));
	switch (call->outcome) {
	case DUTY_DONE:
	case DUTY_HOLDS:
		order->ordered = order->number.count;
		order->taken_ns = now_ns(duty);
		server_place_steady(order->place);
		return;
	case DUTY_CONFLICT:
		/* There are none to be had. */
		server_place_evicted(&duty->policy, order->place, now_ns(duty));
		order->ordered = -1;
		break;
	case DUTY_FENCED:
	case DUTY_REFUSED:
	case DUTY_INVALID:
	case DUTY_UNKNOWN:
		order->ordered = -1;
		break;
	}
	counter_add(duty->refusals, 1);
	order->not_before_ns = now_ns(duty) + RETRY_NS;
}

static void send_order(struct server_order *order)
{
	struct server_duty *duty = order->duty;
	struct server_number *number = &order->number;

	number->call.holder = duty->holder;
	number->call.fence = duty->fence;
	number->call.timeout_ns = CALL_TIMEOUT_NS;
	number->call.done = on_ordered;
	number->call.arg = order;
	number->service = order->service;
	number->data_centre = order->place->data_centre;
	number->cheap = 1;
	number->count = order->place->wanted_cheap;
	order->in_flight = 1;
	counter_add(duty->orders, 1);
	duty->port->vt->order_servers(duty->port, number);
}

static struct ordered_service *find_service(struct server_duty *duty,
					    const char *name)
{
	for (uint32_t i = 0; i < duty->service_count; i++)
		if (!strcmp(duty->services[i].name, name))
			return &duty->services[i];
	return NULL;
}

static void cancel_orders(struct ordered_service *ordered)
{
	for (uint32_t i = 0; i < ordered->place_count; i++) {
		struct server_order *order = &ordered->orders[i];

		if (order->in_flight)
			order->duty->port->vt->cancel(order->duty->port,
						      &order->number.call);
		order->in_flight = 0;
		order->ordered = -1;
	}
}

static void fill_service(struct server_duty *duty, struct ordered_service *out,
			 const struct entry_service *service)
{
	const struct entry_scaling *scaling = &service->scaling;

	memset(out, 0, sizeof(*out));
	copy_text(out->name, sizeof(out->name), service->name);
	out->place_count = scaling->data_centre_count;
	for (uint32_t i = 0; i < out->place_count; i++) {
		struct server_order *order = &out->orders[i];

		copy_text(out->places[i].data_centre,
			  sizeof(out->places[i].data_centre),
			  scaling->data_centres[i]);
		order->duty = duty;
		order->service = out->name;
		order->place = &out->places[i];
		order->ordered = -1;
	}
}

static int has_same_places(const struct ordered_service *ordered,
			   const struct entry_scaling *scaling)
{
	if (ordered->place_count != scaling->data_centre_count)
		return 0;
	for (uint32_t i = 0; i < ordered->place_count; i++)
		if (strcmp(ordered->places[i].data_centre,
			   scaling->data_centres[i]) != 0)
			return 0;
	return 1;
}

/* NULL if there are too many. */
static struct ordered_service *get_service(struct server_duty *duty,
					   const struct entry_service *service)
{
	const struct entry_scaling *scaling = &service->scaling;
	struct ordered_service *ordered = find_service(duty, service->name);

	if (scaling->data_centre_count > SERVER_DUTY_PLACES ||
	    (!ordered && duty->service_count == SERVER_DUTY_SERVICES))
		return NULL;
	if (!ordered) {
		ordered = &duty->services[duty->service_count++];
		fill_service(duty, ordered, service);
	} else if (!has_same_places(ordered, scaling)) {
		cancel_orders(ordered);
		fill_service(duty, ordered, service);
	}
	return ordered;
}

/* Servers that stay, in a data centre or, if it is NULL, in all. */
static uint32_t count_servers(const struct server_duty *duty,
			      const char *service, const char *data_centre,
			      int cheap)
{
	uint32_t count = 0;

	for (const struct fleet_server *s = duty->fleet->first; s; s = s->next)
		count += s->entry.cheap == cheap && !s->entry.leaving &&
			 !strcmp(s->entry.service, service) &&
			 (!data_centre ||
			  !strcmp(s->entry.data_centre, data_centre));
	return count;
}

/* Items that the newest batches let run at once. */
static double open_runs(const struct server_duty *duty, const char *service)
{
	int64_t now = now_ns(duty);
	double runs = 0;

	for (uint32_t i = 0; i < duty->needs.count; i++) {
		const struct model_need *model = &duty->needs.models[i];

		if (!strcmp(model->need.service, service) &&
		    now - model->heard_ns < NEED_KEEPS_NS)
			runs += model->need.items;
	}
	return runs;
}

static void update_places(const struct server_duty *duty,
			  const struct entry_service *service,
			  struct ordered_service *ordered)
{
	const struct entry_scaling *scaling = &service->scaling;

	for (uint32_t i = 0; i < ordered->place_count; i++) {
		struct server_place *place = &ordered->places[i];
		uint32_t dear = count_servers(duty, service->name,
					      place->data_centre, 0);

		place->max_dear = 0;
		place->max_cheap = scaling->max > dear ? scaling->max - dear
						       : 0;
		place->dear_cents_per_hour =
			(uint32_t)(scaling->prices[i] * CENTS);
		place->cheap_cents_per_hour =
			(uint32_t)(scaling->prices[i] * scaling->cheap_price *
				   CENTS);
	}
}

/* Servers that were ordered are gone, and did not come back by themselves. */
static int has_lost_some(const struct server_order *order, int64_t boot_ns)
{
	const struct server_duty *duty = order->duty;

	return now_ns(duty) - order->taken_ns > boot_ns + LOST_AFTER_NS &&
	       count_servers(duty, order->service, order->place->data_centre,
			     1) < order->ordered;
}

static void send_orders(struct server_duty *duty,
			struct ordered_service *ordered, int64_t boot_ns)
{
	int64_t now = now_ns(duty);

	for (uint32_t i = 0; i < ordered->place_count; i++) {
		struct server_order *order = &ordered->orders[i];

		/* Nothing was ever ordered, and nothing is wanted. */
		if (order->ordered < 0 && !order->place->wanted_cheap)
			continue;
		/* Those that are there may stay while no more are to be had. */
		if (order->in_flight || now < order->not_before_ns ||
		    now < order->place->no_cheap_until_ns)
			continue;
		if (order->ordered != order->place->wanted_cheap ||
		    has_lost_some(order, boot_ns))
			send_order(order);
	}
}

static void decide(struct server_duty *duty,
		   const struct entry_service *service)
{
	struct ordered_service *ordered = get_service(duty, service);
	struct server_demand demand = { 0 };
	double engines;

	if (!ordered || !service->slots)
		return;
	engines = open_runs(duty, service->name) / (service->slots * RUNS_PART);
	engines -= count_servers(duty, service->name, NULL, 0);
	demand.batch_servers = engines > 0 ? engines : 0;
	demand.boot_ns = service->scaling.boot_ms * NS_PER_MS;
	update_places(duty, service, ordered);
	server_count_decide(&duty->policy, &demand, ordered->places,
			    ordered->place_count, now_ns(duty));
	send_orders(duty, ordered, demand.boot_ns);
}

static void on_tick(void *arg, int64_t at_ns)
{
	struct server_duty *duty = arg;
	const struct entry_config *config = duty->config->current;

	(void)at_ns;
	if (!config || !is_active(duty))
		return;
	for (uint32_t i = 0; i < config->service_count; i++)
		if (config->services[i].scaling.allowed)
			decide(duty, &config->services[i]);
}

static void on_need(struct weight_board_listener *listener,
		    const struct weight_need *need)
{
	struct server_duty *duty =
		container_of(listener, struct server_duty, board_listener);

	/* A model too many gets no cheap engines. */
	(void)need_table_put(&duty->needs, need, now_ns(duty));
}

static struct server_duty *lease_duty(struct duty_lease_listener *listener)
{
	return container_of(listener, struct server_duty, lease_listener);
}

static void on_gained(struct duty_lease_listener *listener, uint64_t fence)
{
	struct server_duty *duty = lease_duty(listener);

	duty->fence = fence;
	if (duty->enabled)
		timer_subscribe(duty->timers, &duty->timer, TICK_NS, on_tick,
				duty);
}

/* What another holder orders meanwhile cannot be read. */
static void on_lost(struct duty_lease_listener *listener)
{
	struct server_duty *duty = lease_duty(listener);

	timer_unsubscribe(duty->timers, &duty->timer);
	for (uint32_t i = 0; i < duty->service_count; i++)
		cancel_orders(&duty->services[i]);
}

void server_duty_init(struct server_duty *duty, struct timer_service *timers,
		      struct duty_lease *lease, struct weight_board *board,
		      struct duty_port *port, struct fleet *fleet,
		      struct config_holder *config, const char *holder,
		      int enabled, struct record_log *log,
		      struct counter_set *counters)
{
	memset(duty, 0, sizeof(*duty));
	duty->timers = timers;
	duty->lease = lease;
	duty->port = port;
	duty->fleet = fleet;
	duty->config = config;
	duty->holder = holder;
	duty->enabled = enabled;
	duty->log = log;
	server_count_policy_init(&duty->policy);
	duty->policy.hold_ns = LOWER_HOLD_NS;
	duty->policy.first_backoff_ns = FIRST_BACKOFF_NS;
	duty->policy.max_backoff_ns = MAX_BACKOFF_NS;
	need_table_init(&duty->needs);
	duty->lease_listener.gained = on_gained;
	duty->lease_listener.lost = on_lost;
	duty_lease_add_listener(lease, &duty->lease_listener);
	duty->board_listener.need = on_need;
	weight_board_add_listener(board, &duty->board_listener);
	duty->orders = counter_get(counters, "server_orders_total");
	duty->refusals = counter_get(counters, "server_orders_refused_total");
}

void server_duty_finish(struct server_duty *duty)
{
	timer_unsubscribe(duty->timers, &duty->timer);
	for (uint32_t i = 0; i < duty->service_count; i++)
		cancel_orders(&duty->services[i]);
	need_table_finish(&duty->needs);
}
