#include "duty/server_duty.h"

#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"

#define TICK_NS (500 * NS_PER_MS)
#define CALL_TIMEOUT_NS (1500 * NS_PER_MS)
/* Delay before an order that the platform did not accept is sent again. */
#define RETRY_NS (1 * NS_PER_S)
/* A need that is not reported again counts as zero after this time. */
#define RUN_DEMAND_RETENTION_NS (15 * NS_PER_S)
/*
 * Planned attempts per engine as a share of its slots. At a higher share,
 * decoding steps take so long that the last items of a batch finish late.
 */
#define TARGET_SLOT_SHARE 0.7
/* Lower need must last this long before counts fall: a few trainer steps. */
#define SCALE_DOWN_DELAY_NS (15 * NS_PER_S)
/* Backoff in a data centre whose cheap servers were evicted or unavailable. */
#define FIRST_BACKOFF_NS (4 * NS_PER_S)
#define MAX_BACKOFF_NS (60 * NS_PER_S)
/* Missing servers count as lost this long after they should have booted. */
#define LOST_DELAY_NS (3 * NS_PER_S)
/* Configured prices are relative; the policy uses hundredths of them. */
#define CENTS_PER_UNIT 100

static int64_t now_ns(const struct server_duty *duty)
{
	return clock_now_ns(duty->timers->clock);
}

static int is_active(struct server_duty *duty)
{
	return duty->enabled && duty_lease_holds(duty->lease);
}

static void log_event(const struct server_order *order, const char *event,
		      const char *outcome)
{
	struct record record;

	record_begin(&record, order->duty->log, "servers", event);
	record_text(&record, "service", order->service);
	record_text(&record, "data_centre", order->place->data_centre);
	record_int(&record, "cheap", order->number.count);
	record_int(&record, "before", order->accepted_count);
	record_int(&record, "fence", (int64_t)order->duty->fence);
	record_text(&record, "outcome", outcome);
	record_end(&record);
}

static void on_ordered(struct duty_call *call)
{
	struct server_order *order = call->arg;
	struct server_duty *duty = order->duty;

	order->in_flight = 0;
	log_event(order, "ordered", duty_outcome_name(call->outcome));
	switch (call->outcome) {
	case DUTY_DONE:
	case DUTY_HOLDS:
		order->accepted_count = order->number.count;
		order->accepted_ns = now_ns(duty);
		server_place_steady(order->place);
		return;
	case DUTY_CONFLICT:
		/* No cheap servers are available there. */
		server_place_evicted(&duty->policy, order->place, now_ns(duty));
		order->accepted_count = -1;
		break;
	case DUTY_FENCED:
	case DUTY_REFUSED:
	case DUTY_INVALID:
	case DUTY_UNKNOWN:
		order->accepted_count = -1;
		break;
	}
	counter_add(duty->rejections, 1);
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
		order->accepted_count = -1;
	}
}

static void init_service(struct server_duty *duty, struct ordered_service *out,
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
		order->accepted_count = -1;
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

/* Returns NULL if there are too many services or data centres. */
static struct ordered_service *get_service(struct server_duty *duty,
					   const struct entry_service *service)
{
	const struct entry_scaling *scaling = &service->scaling;
	struct ordered_service *ordered = find_service(duty, service->name);

	if (scaling->data_centre_count > SERVER_DUTY_PLACES_MAX ||
	    (!ordered && duty->service_count == SERVER_DUTY_SERVICES_MAX))
		return NULL;
	if (!ordered) {
		ordered = &duty->services[duty->service_count++];
		init_service(duty, ordered, service);
	} else if (!has_same_places(ordered, scaling)) {
		cancel_orders(ordered);
		init_service(duty, ordered, service);
	}
	return ordered;
}

/*
 * Servers that are not leaving, in the data centre, or in all of them if it is
 * NULL.
 */
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

/* Items of the newest batches, which may run concurrently. */
static double concurrent_items(const struct server_duty *duty,
			       const char *service)
{
	int64_t now = now_ns(duty);
	double items = 0;

	for (uint32_t i = 0; i < duty->needs.count; i++) {
		const struct model_need *model = &duty->needs.models[i];

		if (!strcmp(model->need.service, service) &&
		    now - model->reported_ns < RUN_DEMAND_RETENTION_NS)
			items += model->need.items;
	}
	return items;
}

static void update_places(const struct server_duty *duty,
			  const struct entry_service *service,
			  struct ordered_service *ordered)
{
	const struct entry_scaling *scaling = &service->scaling;

	for (uint32_t i = 0; i < ordered->place_count; i++) {
		struct server_place *place = &ordered->places[i];
		uint32_t regular = count_servers(duty, service->name,
						 place->data_centre, 0);

		place->max_dear = 0;
		place->max_cheap =
			scaling->max > regular ? scaling->max - regular : 0;
		place->dear_cents_per_hour =
			(uint32_t)(scaling->prices[i] * CENTS_PER_UNIT);
		place->cheap_cents_per_hour =
			(uint32_t)(scaling->prices[i] * scaling->spot_price *
				   CENTS_PER_UNIT);
	}
}

/* Ordered servers are missing and were not replaced without a new order. */
static int has_lost_servers(const struct server_order *order, int64_t boot_ns)
{
	const struct server_duty *duty = order->duty;

	return now_ns(duty) - order->accepted_ns > boot_ns + LOST_DELAY_NS &&
	       count_servers(duty, order->service, order->place->data_centre,
			     1) < order->accepted_count;
}

static void send_orders(struct server_duty *duty,
			struct ordered_service *ordered, int64_t boot_ns)
{
	int64_t now = now_ns(duty);

	for (uint32_t i = 0; i < ordered->place_count; i++) {
		struct server_order *order = &ordered->orders[i];

		/* There is no known order, and no server is wanted. */
		if (order->accepted_count < 0 && !order->place->wanted_cheap)
			continue;
		/* Present servers are kept while no more are available. */
		if (order->in_flight || now < order->not_before_ns ||
		    now < order->place->no_cheap_until_ns)
			continue;
		if (order->accepted_count != order->place->wanted_cheap ||
		    has_lost_servers(order, boot_ns))
			send_order(order);
	}
}

static void update_orders(struct server_duty *duty,
			  const struct entry_service *service)
{
	struct ordered_service *ordered = get_service(duty, service);
	struct server_demand demand = { 0 };
	double engines;

	if (!ordered || !service->slots)
		return;
	engines = concurrent_items(duty, service->name) /
		  (service->slots * TARGET_SLOT_SHARE);
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
			update_orders(duty, &config->services[i]);
}

static void on_need(struct weight_board_listener *listener,
		    const struct weight_need *need, int64_t reported_ns)
{
	struct server_duty *duty =
		container_of(listener, struct server_duty, board_listener);

	/* A model beyond the table's capacity gets no cheap engines. */
	(void)need_table_put(&duty->needs, need, reported_ns, now_ns(duty));
}

static struct server_duty *duty_from_lease(struct duty_lease_listener *listener)
{
	return container_of(listener, struct server_duty, lease_listener);
}

static void on_gained(struct duty_lease_listener *listener, uint64_t fence)
{
	struct server_duty *duty = duty_from_lease(listener);

	duty->fence = fence;
	if (duty->enabled)
		timer_subscribe(duty->timers, &duty->timer, TICK_NS, on_tick,
				duty);
}

/* Orders of the next holder are not visible here; forget the counts. */
static void on_lost(struct duty_lease_listener *listener)
{
	struct server_duty *duty = duty_from_lease(listener);

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
	duty->policy.scale_down_delay_ns = SCALE_DOWN_DELAY_NS;
	duty->policy.first_backoff_ns = FIRST_BACKOFF_NS;
	duty->policy.max_backoff_ns = MAX_BACKOFF_NS;
	need_table_init(&duty->needs);
	duty->lease_listener.gained = on_gained;
	duty->lease_listener.lost = on_lost;
	duty_lease_add_listener(lease, &duty->lease_listener);
	duty->board_listener.need = on_need;
	weight_board_add_listener(board, &duty->board_listener);
	duty->orders = counter_get(counters, "server_orders_total");
	duty->rejections = counter_get(counters, "server_orders_refused_total");
}

void server_duty_finish(struct server_duty *duty)
{
	timer_unsubscribe(duty->timers, &duty->timer);
	for (uint32_t i = 0; i < duty->service_count; i++)
		cancel_orders(&duty->services[i]);
	need_table_finish(&duty->needs);
}
