#include "app/daemon.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "app/address_file.h"
#include "app/caller_api.h"
#include "app/job_hooks.h"
#include "app/operator_api.h"
#include "base/alloc.h"
#include "base/hash.h"

#define TIMELINE_EVENTS 4096
#define UPKEEP_PERIOD_NS (200 * NS_PER_MS)
#define GROUP_KEEP_NS (900 * NS_PER_S)
#define ORDERS_PER_MINUTE 30
#define ORDER_LOWER_AFTER_NS (120 * NS_PER_S)
#define ORDER_INTERVAL_NS (1 * NS_PER_S)
#define CERTIFICATE_PERIOD_NS (10 * NS_PER_S)
#define DRAIN_POLL_NS (20 * NS_PER_MS)

static void init_tables(struct daemon *daemon)
{
	system_clock_init(&daemon->clock);
	timer_service_init(&daemon->timers, &daemon->clock);
	counter_set_init(&daemon->counters);
	logger_init(&daemon->logger, stderr, daemon->settings.log_level,
		    daemon->settings.name);
	daemon->log_app = (struct log_part){ &daemon->logger, "app" };
	daemon->log_peer = (struct log_part){ &daemon->logger, "peer" };
	daemon->log_log = (struct log_part){ &daemon->logger, "log" };
	timeline_init(&daemon->timeline, daemon->settings.name,
		      TIMELINE_EVENTS);
	version_table_init(&daemon->versions);
	sample_log_init(&daemon->samples);
	server_table_init(&daemon->servers, daemon->incarnation);
	group_table_init(&daemon->groups);
	running_table_init(&daemon->running);
	team_slots_init(&daemon->team_slots);
	once_table_init(&daemon->once);
	withdrawals_init(&daemon->withdrawals, daemon);
	denial_spread_init(&daemon->denials, &daemon->peers.outbox,
			   &daemon->withdrawals.base);
	daemon->membership =
		membership_new(daemon->settings.name,
			       daemon->settings.heartbeat_ms * NS_PER_MS);
	membership_set_own(daemon->membership, daemon->settings.data_centre,
			   daemon->settings.region);
	pool_queues_init(&daemon->queues, &daemon->servers, &daemon->clock,
			 &daemon->timers, daemon->settings.max_queued,
			 daemon->incarnation);
	load_poll_init(&daemon->load_poll, &daemon->peers.outbox);
	job_hooks_init(daemon);
	blame_events_init(&daemon->blame, daemon);
	share_events_init(&daemon->shares, daemon);
}

static int init_log(struct daemon *daemon, struct error *err)
{
	if (log_http_init(&daemon->log_port, daemon->settings.log_url, err))
		return -1;
	log_client_init(&daemon->log_client, &daemon->log_port.base,
			&daemon->clock, daemon->settings.name,
			daemon->incarnation, NULL, &daemon->counters,
			&daemon->log_log);
	state_events_init(&daemon->state_events, daemon);
	log_client_set_observer(&daemon->log_client,
				&daemon->state_events.base);
	log_client_set_listener(&daemon->log_client,
				&daemon->state_events.published);
	return 0;
}

static int init_traces(struct daemon *daemon, struct error *err)
{
	uint64_t incarnation;

	if (log_http_init_stream(&daemon->trace_port, daemon->settings.log_url,
				 TRACE_STREAM, err))
		return -1;
	random_bytes(&incarnation, sizeof(incarnation));
	trace_writer_init(&daemon->traces, &daemon->trace_port.base,
			  daemon->settings.name, incarnation, &daemon->counters,
			  &daemon->log_log);
	return 0;
}

static int init_usage(struct daemon *daemon, struct error *err)
{
	struct usage_service_options options = {
		.data_centre = daemon->settings.data_centre,
		.window_s = daemon->settings.usage_window_s,
		.flush_ms = daemon->settings.usage_flush_ms,
	};
	int has_port = daemon->settings.usage_url[0] != '\0';

	if (has_port && usage_http_init(&daemon->usage_port,
					daemon->settings.usage_url, err))
		return -1;
	usage_service_init(&daemon->usage, &daemon->log_client, &daemon->leases,
			   has_port ? &daemon->usage_port.base : NULL,
			   &daemon->clock, &daemon->timers, &options,
			   &daemon->counters, &daemon->log_log);
	return 0;
}

static int init_orders(struct daemon *daemon, struct error *err)
{
	struct reconcile_rules rules = {
		.orders_per_minute = ORDERS_PER_MINUTE,
		.lower_after_ns = ORDER_LOWER_AFTER_NS,
	};

	if (!daemon->settings.orders_url[0])
		return 0;
	if (order_http_init(&daemon->order_port, daemon->settings.orders_url,
			    err))
		return -1;
	order_demand_init(&daemon->order_demand, daemon);
	order_loop_init(&daemon->orders, &daemon->log_client, &daemon->leases,
			&daemon->order_port.base, &daemon->order_demand.base,
			&daemon->clock, daemon->settings.data_centre, &rules,
			ORDER_INTERVAL_NS, &daemon->counters, &daemon->log_log);
	return 0;
}

static int init_leases(struct daemon *daemon, struct error *err)
{
	struct lease_timing timing;

	lease_timing_init(&timing, daemon->settings.lease_ms * NS_PER_MS);
	lease_keeper_init(&daemon->leases, &daemon->log_client, &daemon->clock,
			  &daemon->timers, &timing, &daemon->log_log);
	weight_loop_init(&daemon->weights, &daemon->servers, &daemon->versions,
			 &daemon->leases, &daemon->clock, &daemon->timeline,
			 daemon->settings.data_centre, &daemon->counters,
			 &daemon->log_app);
	if (init_usage(daemon, err))
		return -1;
	return init_orders(daemon, err);
}

static int init_peers(struct daemon *daemon, struct error *err)
{
	struct peer_settings settings;

	memset(&settings, 0, sizeof(settings));
	copy_text(settings.listen_address, sizeof(settings.listen_address),
		  daemon->settings.peer_address);
	copy_text(settings.name, sizeof(settings.name), daemon->settings.name);
	settings.incarnation = daemon->incarnation;
	settings.seed = daemon->incarnation;
	settings.tls = daemon->settings.peer_tls;
	if (peer_service_init(&daemon->peers, &settings, &daemon->timeline,
			      &daemon->counters, &daemon->clock,
			      &daemon->log_peer, err))
		return -1;
	peer_events_init(&daemon->peer_events, daemon);
	peer_service_set_handler(&daemon->peers, &daemon->peer_events.base);
	return 0;
}

static int start_port(struct daemon *daemon, struct http_server *server,
		      const struct listen_settings *listen, const char *label,
		      http_handler handler, void *arg, struct error *err)
{
	struct http_server_settings settings = {
		.address = listen->address,
		.threads = listen->threads,
		.max_body_bytes = daemon->settings.max_body_bytes,
		.max_bodies_bytes = daemon->settings.max_bodies_bytes,
		.label = label,
	};

	return http_server_start(server, &settings, handler, arg,
				 &daemon->counters, err);
}

static int start_ports(struct daemon *daemon, struct error *err)
{
	daemon->batch_port.daemon = daemon;
	daemon->batch_port.class_ = ROUTE_BATCH;
	daemon->latency_port.daemon = daemon;
	daemon->latency_port.class_ = ROUTE_LATENCY;
	if (start_port(daemon, &daemon->operators, &daemon->settings.operators,
		       "operators", operator_api_handle, daemon, err))
		return -1;
	if (start_port(daemon, &daemon->latency, &daemon->settings.latency,
		       "latency", caller_api_handle, &daemon->latency_port,
		       err))
		return -1;
	if (start_port(daemon, &daemon->batch, &daemon->settings.batch, "batch",
		       caller_api_handle, &daemon->batch_port, err))
		return -1;
	/* The handlers of each port read the counts and addresses of others. */
	http_server_open(&daemon->operators);
	http_server_open(&daemon->latency);
	http_server_open(&daemon->batch);
	return 0;
}

uint32_t daemon_requests_running(struct daemon *daemon)
{
	return http_server_running(&daemon->batch) +
	       http_server_running(&daemon->latency);
}

uint32_t daemon_request_capacity(const struct daemon *daemon)
{
	return daemon->batch.admit_max + daemon->latency.admit_max;
}

static void upkeep(void *arg, int64_t now_ns)
{
	struct daemon *daemon = arg;
	struct ticket ticket;

	membership_tick(daemon->membership, now_ns);
	peer_events_tick(&daemon->peer_events, now_ns);
	withdrawals_tick(&daemon->withdrawals, now_ns);
	blame_events_tick(&daemon->blame, now_ns);
	share_events_tick(&daemon->shares, now_ns);
	pool_queues_wake_all(&daemon->queues);
	gauge_set(gauge_get(&daemon->counters, "samples_queued"),
		  pool_queues_count(&daemon->queues));
	daemon_ticket(daemon, &ticket);
	if (ticket.generation >= TICKET_GENERATIONS_KEPT)
		once_table_expire(&daemon->once,
				  ticket.generation - TICKET_GENERATIONS_KEPT +
					  1);
	group_table_expire(&daemon->groups, now_ns - GROUP_KEEP_NS);
	gauge_set(gauge_get(&daemon->counters, "requests_running"),
		  daemon_requests_running(daemon));
}

static int start_threads(struct daemon *daemon, struct error *err)
{
	for (uint32_t i = 0; i < DAEMON_LOOPS; i++) {
		if (backend_loop_init(&daemon->loops[i], &daemon->counters))
			return error_set(err, ERROR_IO,
					 "no descriptors for a backend loop");
		backend_loop_start(&daemon->loops[i]);
	}
	timer_service_start(&daemon->timers);
	if (peer_service_start(&daemon->peers, err) ||
	    log_client_start(&daemon->log_client, err) ||
	    trace_writer_start(&daemon->traces, err) ||
	    host_poll_start(&daemon->host_poll, daemon, err) ||
	    version_poll_start(&daemon->version_poll, daemon, err) ||
	    weight_loop_start(&daemon->weights, err) ||
	    usage_service_start(&daemon->usage, err))
		return -1;
	if (daemon->settings.orders_url[0] &&
	    order_loop_start(&daemon->orders, err))
		return -1;
	if (daemon->settings.peer_tls.certificate[0])
		peer_service_watch_certificates(&daemon->peers, &daemon->timers,
						CERTIFICATE_PERIOD_NS);
	load_poll_start(&daemon->load_poll, daemon);
	return 0;
}

/* What tells of the ports comes after them. */
static void start_duties(struct daemon *daemon)
{
	peer_events_start(&daemon->peer_events);
	timer_subscribe(&daemon->timers, &daemon->upkeep_timer,
			UPKEEP_PERIOD_NS, upkeep, daemon);
}

int daemon_start(struct daemon *daemon, const struct settings *settings,
		 struct error *err)
{
	memset(daemon, 0, sizeof(*daemon));
	daemon->settings = *settings;
	random_bytes(&daemon->incarnation, sizeof(daemon->incarnation));
	curl_global_init(CURL_GLOBAL_DEFAULT);
	init_tables(daemon);
	if (init_log(daemon, err) || init_traces(daemon, err) ||
	    init_leases(daemon, err) || init_peers(daemon, err) ||
	    start_threads(daemon, err) || start_ports(daemon, err) ||
	    address_file_write(daemon, err))
		return -1;
	start_duties(daemon);
	timeline_add(&daemon->timeline, "app", "started");
	log_info(&daemon->log_app, "started as incarnation %016" PRIx64,
		 daemon->incarnation);
	return 0;
}

int daemon_is_ready(struct daemon *daemon)
{
	return log_client_recovered(&daemon->log_client) &&
	       host_poll_has_list(&daemon->host_poll);
}

int daemon_take_team_slot(struct daemon *daemon, const char *name)
{
	const struct config *config =
		log_client_config_begin(&daemon->log_client);
	const struct team *team = config_team(config, name);
	uint32_t limit = team ? team->max_in_flight : 0;

	log_client_config_end(&daemon->log_client);
	return team_slots_take(&daemon->team_slots, name, limit);
}

void daemon_ticket(struct daemon *daemon, struct ticket *ticket)
{
	copy_text(ticket->daemon, sizeof(ticket->daemon),
		  daemon->settings.name);
	ticket->incarnation = daemon->incarnation;
	ticket->generation =
		(uint64_t)(clock_now_ns(&daemon->clock) / TICKET_GENERATION_NS);
}

/* Callers keep addresses for a while: serve on until they have new ones. */
static void wait_for_callers(struct daemon *daemon)
{
	int64_t start_ns = clock_now_ns(&daemon->clock);
	int64_t quiet_ns = daemon->settings.address_ttl_ms * NS_PER_MS;
	int64_t end_ns = start_ns + daemon->settings.drain_ms * NS_PER_MS;
	struct timespec pause = { .tv_nsec = DRAIN_POLL_NS };

	for (;;) {
		int64_t now_ns = clock_now_ns(&daemon->clock);
		uint32_t running = daemon_requests_running(daemon);

		if (now_ns >= end_ns ||
		    (now_ns - start_ns >= quiet_ns && !running))
			return;
		nanosleep(&pause, NULL);
	}
}

static void stop_threads(struct daemon *daemon)
{
	timer_unsubscribe(&daemon->timers, &daemon->upkeep_timer);
	load_poll_stop(&daemon->load_poll);
	version_poll_stop(&daemon->version_poll);
	host_poll_stop(&daemon->host_poll);
	for (uint32_t i = 0; i < DAEMON_LOOPS; i++)
		backend_loop_stop(&daemon->loops[i]);
	timer_service_stop(&daemon->timers);
	log_client_stop(&daemon->log_client);
	peer_events_stop(&daemon->peer_events);
	peer_service_stop(&daemon->peers);
}

static void finish_tables(struct daemon *daemon)
{
	for (uint32_t i = 0; i < DAEMON_LOOPS; i++)
		backend_loop_finish(&daemon->loops[i]);
	load_poll_finish(&daemon->load_poll);
	peer_service_finish(&daemon->peers);
	if (daemon->settings.orders_url[0]) {
		order_loop_finish(&daemon->orders);
		daemon->order_port.base.vt->finish(&daemon->order_port.base);
	}
	usage_service_finish(&daemon->usage);
	if (daemon->settings.usage_url[0])
		daemon->usage_port.base.vt->finish(&daemon->usage_port.base);
	weight_loop_finish(&daemon->weights);
	lease_keeper_finish(&daemon->leases);
	log_client_finish(&daemon->log_client);
	daemon->log_port.base.vt->finish(&daemon->log_port.base);
	trace_writer_finish(&daemon->traces);
	daemon->trace_port.base.vt->finish(&daemon->trace_port.base);
	membership_free(daemon->membership);
	denial_spread_finish(&daemon->denials);
	blame_events_finish(&daemon->blame);
	share_events_finish(&daemon->shares);
	once_table_finish(&daemon->once);
	running_table_finish(&daemon->running);
	team_slots_finish(&daemon->team_slots);
	group_table_finish(&daemon->groups);
	pool_queues_finish(&daemon->queues);
	server_table_finish(&daemon->servers);
	sample_log_finish(&daemon->samples);
	version_table_finish(&daemon->versions);
	timeline_finish(&daemon->timeline);
	timer_service_finish(&daemon->timers);
	counter_set_finish(&daemon->counters);
	logger_finish(&daemon->logger);
	curl_global_cleanup();
}

/* Ends all that acts under leases, then gives the leases back. */
static void stop_orders(struct daemon *daemon)
{
	struct error err = ERROR_INIT;

	weight_loop_stop(&daemon->weights);
	if (daemon->settings.orders_url[0])
		order_loop_stop(&daemon->orders);
	if (usage_service_stop(&daemon->usage,
			       daemon->settings.drain_ms * NS_PER_MS, &err))
		log_warning(&daemon->log_app, "usage is lost: %s", err.text);
	lease_keeper_release_all(&daemon->leases);
}

void daemon_stop(struct daemon *daemon)
{
	struct error err = ERROR_INIT;

	__atomic_store_n(&daemon->draining, 1, __ATOMIC_RELEASE);
	timeline_add(&daemon->timeline, "app", "leaving");
	log_info(&daemon->log_app, "leaving");
	http_server_drain(&daemon->batch);
	http_server_drain(&daemon->latency);
	wait_for_callers(daemon);
	__atomic_store_n(&daemon->closed, 1, __ATOMIC_RELEASE);
	http_server_stop(&daemon->batch);
	http_server_stop(&daemon->latency);
	stop_orders(daemon);
	if (log_client_flush(&daemon->log_client,
			     daemon->settings.drain_ms * NS_PER_MS, &err))
		log_warning(&daemon->log_app, "records are lost: %s", err.text);
	trace_writer_stop(&daemon->traces, daemon->settings.drain_ms);
	http_server_stop(&daemon->operators);
	stop_threads(daemon);
	log_info(&daemon->log_app, "stopped");
	finish_tables(daemon);
}
