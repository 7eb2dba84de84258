#include "duty/version_duty_private.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"

#define ORDER_TIMEOUT_NS (500 * NS_PER_MS)
#define REPORT_TIMEOUT_NS (400 * NS_PER_MS)
/* Interval between two polls of an engine that loads. */
#define POLL_INTERVAL_NS (100 * NS_PER_MS)
/* Assumed load time before the first load, and the maximum of any load. */
#define INITIAL_LOAD_NS (900 * NS_PER_MS)
#define LOAD_MAX_NS (8 * NS_PER_S)
/* Delay before the next order to an engine that rejected one. */
#define REJECTED_BACKOFF_NS (300 * NS_PER_MS)

static void schedule_plan(struct version_duty *duty);
static void query_engine(struct duty_engine *engine);

static int64_t now_ns(const struct version_duty *duty)
{
	return clock_now_ns(duty->clock);
}

static void log_event(const struct duty_engine *engine, const char *event,
		      const char *outcome)
{
	struct version_duty *duty = engine->duty;
	struct record record;

	record_begin(&record, duty->log, "weights", event);
	record_text(&record, "server", engine->server->entry.id);
	record_text(&record, "model", engine->model);
	record_int(&record, "version", (int64_t)engine->version);
	record_int(&record, "before",
		   (int64_t)server_entry_version(&engine->server->entry,
						 engine->model));
	record_int(&record, "fence", (int64_t)duty->fence);
	record_int(&record, "orders", engine->order_count);
	record_ms(&record, "age_ms",
		  engine->ordered_ns ? now_ns(duty) - engine->ordered_ns : 0);
	record_text(&record, "outcome", outcome);
	record_end(&record);
}

static void cancel_calls(struct duty_engine *engine)
{
	struct duty_port *port = engine->duty->port;

	timer_unsubscribe(engine->duty->timers, &engine->timer);
	if (engine->phase == PHASE_ORDERING)
		port->vt->cancel(port, &engine->order.call);
	else if (engine->phase == PHASE_QUERYING)
		port->vt->cancel(port, &engine->report.call);
	version_duty_set_phase(engine, PHASE_IDLE);
}

static void free_engine(struct duty_engine *engine)
{
	struct duty_engine **at = &engine->duty->engines;

	cancel_calls(engine);
	while (*at != engine)
		at = &(*at)->next;
	*at = engine->next;
	engine->server->weight_engine = NULL;
	fleet_server_unref(engine->server);
	free(engine);
}

struct duty_engine *version_duty_engine(struct version_duty *duty,
					struct fleet_server *server)
{
	struct duty_engine *engine = server->weight_engine;

	if (engine)
		return engine;
	engine = xcalloc(1, sizeof(*engine));
	engine->duty = duty;
	engine->server = fleet_server_ref(server);
	engine->order_count = -1;
	engine->next = duty->engines;
	duty->engines = engine;
	server->weight_engine = engine;
	return engine;
}

static void publish_load(struct duty_engine *engine, int loaded)
{
	struct weight_load load = { .version = engine->version,
				    .loaded = loaded };

	copy_text(load.engine, sizeof(load.engine), engine->server->entry.id);
	copy_text(load.model, sizeof(load.model), engine->model);
	weight_board_publish_load(engine->duty->board, &load);
}

static void end_load(struct duty_engine *engine, const char *outcome)
{
	struct version_duty *duty = engine->duty;

	log_event(engine, "loaded", outcome);
	copy_text(engine->loaded_model, sizeof(engine->loaded_model),
		  engine->model);
	engine->loaded_version = engine->version;
	version_duty_set_phase(engine, PHASE_IDLE);
	counter_add(duty->loads, 1);
	publish_load(engine, 1);
	schedule_plan(duty);
}

static void on_poll(void *arg, int64_t at_ns)
{
	(void)at_ns;
	query_engine(arg);
}

static void poll_after(struct duty_engine *engine, int64_t delay_ns)
{
	version_duty_set_phase(engine, PHASE_LOADING);
	timer_subscribe_once(engine->duty->timers, &engine->timer, delay_ns,
			     on_poll, engine);
}

static void record_leaving(struct duty_engine *engine,
			   const struct duty_call *call)
{
	if (call->server_leaves)
		engine->server->saw_leaving = 1;
}

/* The engine's own report is authoritative, also after a lost answer. */
static void on_report(struct duty_call *call)
{
	struct duty_engine *engine = call->arg;
	const struct engine_report *report = &engine->report;
	int is_late = now_ns(engine->duty) - engine->ordered_ns > LOAD_MAX_NS;

	record_leaving(engine, call);
	version_duty_set_phase(engine, PHASE_LOADING);
	if (call->outcome != DUTY_DONE) {
		if (is_late)
			version_duty_set_phase(engine, PHASE_IDLE);
		else
			poll_after(engine, POLL_INTERVAL_NS);
		return;
	}
	engine->order_count = (int64_t)report->orders;
	if (report->is_busy && !is_late) {
		poll_after(engine, POLL_INTERVAL_NS);
		return;
	}
	if (report->version >= engine->version) {
		version_duty_learn_load_time(engine);
		end_load(engine, "reported");
		return;
	}
	/* The order was lost, or the engine accepted another one first. */
	log_event(engine, "not_loaded", "reported");
	version_duty_set_phase(engine, PHASE_IDLE);
	schedule_plan(engine->duty);
}

static void query_engine(struct duty_engine *engine)
{
	struct engine_report *report = &engine->report;

	if (engine->server->evacuated) {
		log_event(engine, "not_loaded", "evacuated");
		version_duty_set_phase(engine, PHASE_IDLE);
		schedule_plan(engine->duty);
		return;
	}
	report->call.timeout_ns = REPORT_TIMEOUT_NS;
	report->call.done = on_report;
	report->call.arg = engine;
	report->server_id = engine->server->entry.id;
	report->address = engine->server->entry.address;
	report->model = engine->model;
	version_duty_set_phase(engine, PHASE_QUERYING);
	engine->duty->port->vt->ask_engine(engine->duty->port, report);
}

static void on_retry(void *arg, int64_t at_ns)
{
	struct duty_engine *engine = arg;

	(void)at_ns;
	schedule_plan(engine->duty);
}

static void on_ordered(struct duty_call *call)
{
	struct duty_engine *engine = call->arg;
	struct version_duty *duty = engine->duty;

	record_leaving(engine, call);
	log_event(engine, "ordered", duty_outcome_name(call->outcome));
	version_duty_set_phase(engine, PHASE_IDLE);
	switch (call->outcome) {
	case DUTY_DONE:
		engine->is_order_taken = 1;
		if (engine->order_count >= 0)
			engine->order_count++;
		publish_load(engine, 0);
		poll_after(engine, version_duty_expected_load_ns(duty) -
					   POLL_INTERVAL_NS / 2);
		return;
	case DUTY_HOLDS:
		end_load(engine, "held");
		return;
	case DUTY_CONFLICT:
	case DUTY_UNKNOWN:
		/*
		 * Another order is carried out, the order count differs, or
		 * the outcome is unknown.
		 */
		counter_add(duty->failed_orders, 1);
		engine->order_count = -1; /* until it reports */
		query_engine(engine);
		return;
	case DUTY_FENCED:
		duty->active = 0; /* until the lease is acquired again */
		break;
	case DUTY_REFUSED:
	case DUTY_INVALID:
		break;
	}
	counter_add(duty->failed_orders, 1);
	engine->not_before_ns = now_ns(duty) + REJECTED_BACKOFF_NS;
	timer_subscribe_once(duty->timers, &engine->timer, REJECTED_BACKOFF_NS,
			     on_retry, engine);
}

void version_duty_send_order(struct duty_engine *engine,
			     const struct weight_need *need)
{
	struct version_duty *duty = engine->duty;
	struct weight_order *order = &engine->order;

	copy_text(engine->model, sizeof(engine->model), need->model);
	engine->version = named_versions_get(duty->named, need->model);
	engine->ordered_ns = now_ns(duty);
	engine->loading_ns_at_order = version_duty_loading_ns(duty);
	engine->is_order_taken = 0;
	/*
	 * An order states how many orders the engine accepted before it, so a
	 * delayed order has no effect once the engine accepted a newer one.
	 */
	if (engine->order_count < 0) {
		query_engine(engine);
		return;
	}
	order->call.holder = duty->holder;
	order->call.fence = duty->fence;
	order->call.timeout_ns = ORDER_TIMEOUT_NS;
	order->call.done = on_ordered;
	order->call.arg = engine;
	order->server_id = engine->server->entry.id;
	order->address = engine->server->entry.address;
	order->model = engine->model;
	order->version = engine->version;
	order->mode = need->single_version ? LOAD_AFTER_RUNS : LOAD_KEEPS_RUNS;
	order->expected_orders = engine->order_count;
	version_duty_set_phase(engine, PHASE_ORDERING);
	counter_add(duty->orders, 1);
	duty->port->vt->order_weights(duty->port, order);
}

static void on_plan_timer(void *arg, int64_t at_ns)
{
	struct version_duty *duty = arg;

	(void)at_ns;
	duty->plan_pending = 0;
	if (duty->active && duty_lease_holds(duty->lease))
		version_duty_plan_loads(duty);
}

static void schedule_plan(struct version_duty *duty)
{
	if (duty->plan_pending || !duty->active)
		return;
	duty->plan_pending = 1;
	timer_subscribe_once(duty->timers, &duty->plan_timer, 0, on_plan_timer,
			     duty);
}

void version_duty_name_version(struct version_duty *duty, const char *model,
			       uint64_t version, const char *reason)
{
	uint64_t before = named_versions_get(duty->named, model);
	struct record record;

	if (!named_versions_put(duty->named, model, version))
		return;
	record_begin(&record, duty->log, "weights", "named");
	record_text(&record, "model", model);
	record_int(&record, "version", (int64_t)version);
	record_int(&record, "before", (int64_t)before);
	record_text(&record, "reason", reason);
	record_end(&record);
	schedule_plan(duty);
}

static void log_need(struct version_duty *duty, const struct weight_need *need,
		     const char *outcome)
{
	struct record record;

	record_begin(&record, duty->log, "weights", "need");
	record_text(&record, "model", need->model);
	record_text(&record, "service", need->service);
	record_int(&record, "min_version", (int64_t)need->min_version);
	record_int(&record, "named_version", (int64_t)need->named_version);
	record_int(&record, "tokens", (int64_t)need->tokens);
	record_int(&record, "items", need->items);
	record_text(&record, "outcome", outcome);
	record_end(&record);
}

static void on_need(struct weight_board_listener *listener,
		    const struct weight_need *need, int64_t reported_ns)
{
	struct version_duty *duty =
		container_of(listener, struct version_duty, board_listener);

	/*
	 * The host that published the need may have read a newer announcement
	 * than this one. An order for an older version would be a load that no
	 * batch needs.
	 */
	if (need->named_version > named_versions_get(duty->named, need->model))
		version_duty_name_version(duty, need->model,
					  need->named_version, "need");
	if (need_table_put(&duty->needs, need, reported_ns, now_ns(duty))) {
		log_need(duty, need, "too_many_needs");
		return;
	}
	if (duty->active)
		log_need(duty, need, "in_force");
	schedule_plan(duty);
}

static struct version_duty *duty_from_fleet(struct fleet_listener *listener)
{
	return container_of(listener, struct version_duty, fleet_listener);
}

/*
 * An engine's report is some hundred milliseconds old, so its entry often shows
 * the end of a load first. The next load can begin as much earlier.
 */
static void end_load_by_entry(struct duty_engine *engine)
{
	if (engine->phase != PHASE_LOADING && engine->phase != PHASE_QUERYING)
		return;
	if (server_entry_version(&engine->server->entry, engine->model) <
	    engine->version)
		return;
	version_duty_learn_load_time(engine);
	cancel_calls(engine);
	end_load(engine, "entry");
}

static void on_server_changed(struct fleet_listener *listener,
			      struct fleet_server *server)
{
	struct version_duty *duty = duty_from_fleet(listener);

	if (duty->active && server->weight_engine)
		end_load_by_entry(server->weight_engine);
	schedule_plan(duty);
}

static void on_server_removed(struct fleet_listener *listener,
			      struct fleet_server *server)
{
	struct version_duty *duty = duty_from_fleet(listener);

	if (server->weight_engine)
		free_engine(server->weight_engine);
	schedule_plan(duty);
}

static struct version_duty *
duty_from_lease(struct duty_lease_listener *listener)
{
	return container_of(listener, struct version_duty, lease_listener);
}

static void on_gained(struct duty_lease_listener *listener, uint64_t fence)
{
	struct version_duty *duty = duty_from_lease(listener);

	duty->active = 1;
	duty->fence = fence;
	/* Shares may have changed since an earlier lease of this host. */
	for (struct duty_engine *e = duty->engines; e; e = e->next)
		e->assigned_model[0] = '\0';
	schedule_plan(duty);
}

/* Loads of the next holder are visible in the engines' entries only. */
static void on_lost(struct duty_lease_listener *listener)
{
	struct version_duty *duty = duty_from_lease(listener);

	duty->active = 0;
	for (struct duty_engine *e = duty->engines; e; e = e->next) {
		cancel_calls(e);
		e->order_count = -1;
		e->loaded_model[0] = '\0';
	}
}

void version_duty_init(struct version_duty *duty, struct timer_service *timers,
		       struct duty_lease *lease, struct weight_board *board,
		       struct duty_port *port, struct fleet *fleet,
		       struct config_holder *config,
		       struct named_versions *named, const char *holder,
		       struct record_log *log, struct counter_set *counters)
{
	memset(duty, 0, sizeof(*duty));
	duty->timers = timers;
	duty->clock = timers->clock;
	duty->lease = lease;
	duty->board = board;
	duty->port = port;
	duty->fleet = fleet;
	duty->config = config;
	duty->named = named;
	duty->holder = holder;
	duty->log = log;
	duty->mean_load_ns = INITIAL_LOAD_NS;
	need_table_init(&duty->needs);
	duty->lease_listener.gained = on_gained;
	duty->lease_listener.lost = on_lost;
	duty_lease_add_listener(lease, &duty->lease_listener);
	duty->board_listener.need = on_need;
	weight_board_add_listener(board, &duty->board_listener);
	duty->fleet_listener.changed = on_server_changed;
	duty->fleet_listener.removed = on_server_removed;
	fleet_add_listener(fleet, &duty->fleet_listener);
	duty->orders = counter_get(counters, "weight_orders_total");
	duty->loads = counter_get(counters, "weight_loads_total");
	duty->extra_orders =
		counter_get(counters, "weight_orders_beyond_usual_total");
	duty->failed_orders =
		counter_get(counters, "weight_orders_failed_total");
}

void version_duty_finish(struct version_duty *duty)
{
	struct duty_engine *engine = duty->engines;

	duty->active = 0; /* the fleet may still notify of removed servers */
	timer_unsubscribe(duty->timers, &duty->plan_timer);
	while (engine) {
		struct duty_engine *next = engine->next;

		free_engine(engine);
		engine = next;
	}
	need_table_finish(&duty->needs);
}
