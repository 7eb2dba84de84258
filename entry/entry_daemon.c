#include "entry/entry_daemon.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "entry/entry_lifecycle.h"
#include "entry/entry_limits.h"
#include "platform/settings_decode.h"

/* The network delay to a backend server or the store is 1 or 2 ms. */
#define CONNECT_TIMEOUT_NS (250 * NS_PER_MS)
/* Idle time of connections whose peer announces no keep-alive timeout. */
#define IDLE_MAX_NS (10 * NS_PER_S)
#define USER_TIMEOUT_MS 2000
#define SERVER_HEAD_BYTES 65536
/* Callers use an answer with addresses for up to three times its TTL. */
#define ADDRESS_TTL_MS 1000

/* Until the configuration is read. */
static const struct caller_limits initial_limits = {
	.max_head_bytes = 16384,
	.max_body_bytes = 1024 * 1024,
	.head_timeout_ms = 3000,
	.idle_timeout_ms = 10000,
};

void entry_daemon_apply_limits(struct entry_daemon *daemon)
{
	const struct entry_settings *settings = &daemon->settings;
	struct net_limits service;

	daemon->callers.limits =
		entry_caller_limits(settings, &daemon->caller_limits);
	service = entry_service_limits(settings, &daemon->callers.limits);
	daemon->ready.limits = service;
	daemon->addresses.limits = service;
	daemon->metrics.limits =
		entry_status_limits(settings, &daemon->callers.limits);
	daemon->descriptors.max = entry_descriptors(settings);
	daemon->batch_api.max_draft_bytes = entry_draft_bytes(settings);
}

static void on_config(void *arg, const struct entry_config *config)
{
	struct entry_daemon *daemon = arg;

	daemon->caller_limits = config->limits;
	entry_daemon_apply_limits(daemon);
	cold_senders_update(&daemon->cold_senders);
	batch_runner_wake(&daemon->batch_runner);
}

static void init_store(struct entry_daemon *daemon)
{
	const struct entry_settings *settings = &daemon->settings;
	struct net_pool_settings pool = {
		.connect_timeout_ns = CONNECT_TIMEOUT_NS,
		.idle_max_ns = IDLE_MAX_NS,
		.user_timeout_ms = USER_TIMEOUT_MS,
		.max_head_bytes = SERVER_HEAD_BYTES,
	};
	struct store_settings store = {
		.partitions = settings->store_partitions,
		.max_record_bytes = settings->store_record_bytes,
		.max_append_bytes = settings->store_append_bytes,
	};

	copy_text(store.address, sizeof(store.address), settings->store);
	net_pool_init(&daemon->store_pool, &daemon->reactor, &pool);
	net_pool_init(&daemon->server_pool, &daemon->reactor, &pool);
	daemon->store_pool.descriptors = &daemon->descriptors;
	daemon->server_pool.descriptors = &daemon->descriptors;
	store_init(&daemon->store, &daemon->reactor, &daemon->store_pool,
		   &store);
}

static struct entry_daemon *
daemon_of_version_listener(struct operator_feed_listener *listener)
{
	return container_of(listener, struct entry_daemon, version_listener);
}

static void on_version(struct operator_feed_listener *listener,
		       const char *model, uint64_t version)
{
	struct entry_daemon *daemon = daemon_of_version_listener(listener);

	version_duty_name_version(&daemon->version_duty, model, version,
				  "announced");
}

static void init_feeds(struct entry_daemon *daemon)
{
	const struct entry_settings *settings = &daemon->settings;
	struct timer_service *timers = &daemon->reactor.timers;
	struct entry_host own_host = {
		.incarnation = daemon->incarnation,
		.cpu_milli = (uint32_t)(settings->cpu_share * settings->cores *
					1000),
	};

	copy_text(own_host.name, sizeof(own_host.name), settings->name);
	copy_text(own_host.data_centre, sizeof(own_host.data_centre),
		  settings->data_centre);
	copy_text(own_host.region, sizeof(own_host.region), settings->region);
	copy_text(own_host.caller_address, sizeof(own_host.caller_address),
		  settings->callers);
	daemon->version_listener.on_version = on_version;
	operator_feed_init(&daemon->operator_feed, &daemon->store.base, timers,
			   &daemon->config, &daemon->version_listener,
			   &daemon->log, &daemon->counters);
	daemon->operator_feed.evacuations = &daemon->evacuations;
	server_feed_init(&daemon->server_feed, &daemon->store.base, timers,
			 &daemon->fleet, &daemon->log, &daemon->counters);
	discovery_init(&daemon->discovery, &daemon->store.base, timers,
		       &own_host, &daemon->log, &daemon->counters);
}

/* Writes a name that is unique among the writers to a partition. */
static void writer_name(const struct entry_daemon *daemon, const char *part,
			char *out)
{
	snprintf(out, TOPIC_NAME_BYTES, "%.32s-%016" PRIx64 "-%s",
		 daemon->settings.name, daemon->incarnation, part);
}

static void init_batches(struct entry_daemon *daemon)
{
	char writer[TOPIC_NAME_BYTES];

	writer_name(daemon, "batch", writer);
	batch_set_init(&daemon->batches, &daemon->store.base,
		       &daemon->reactor.timers, writer, &daemon->counters);
	batch_api_init(&daemon->batch_api, &daemon->reactor, &daemon->batches,
		       &daemon->store.base, &daemon->config, &daemon->log,
		       &daemon->counters, daemon->settings.name,
		       daemon->incarnation);
	batch_runner_init(&daemon->batch_runner, &daemon->reactor,
			  &daemon->server_pool, &daemon->fleet, &daemon->config,
			  &daemon->store.base, &daemon->log, &daemon->counters,
			  daemon->settings.data_centre,
			  daemon->incarnation + 3);
	partition_claimer_init(&daemon->batch_claimer, &daemon->reactor,
			       &daemon->batches, &daemon->batch_runner,
			       &daemon->discovery, &daemon->log);
}

static struct entry_daemon *
daemon_of_load_listener(struct weight_board_listener *listener)
{
	return container_of(listener, struct entry_daemon, load_listener);
}

static void on_load(struct weight_board_listener *listener,
		    const struct weight_load *load)
{
	struct entry_daemon *daemon = daemon_of_load_listener(listener);

	batch_runner_weight_load_changed(&daemon->batch_runner, load->engine,
					 load->model, load->version,
					 load->loaded);
}

static struct entry_daemon *
daemon_of_need_listener(struct batch_demand_listener *listener)
{
	return container_of(listener, struct entry_daemon, need_listener);
}

static uint64_t on_named_version(struct batch_demand_listener *listener,
				 const char *model)
{
	return named_versions_get(&daemon_of_need_listener(listener)->named,
				  model);
}

/* Publishes the need to the daemon that holds the duty. */
static void on_need(struct batch_demand_listener *listener,
		    const struct batch_demand *demand)
{
	struct entry_daemon *daemon = daemon_of_need_listener(listener);
	struct weight_need need = {
		.min_version = demand->min_version,
		.named_version = demand->named_version,
		.tokens = demand->tokens,
		.items = demand->items,
		.single_version = demand->single_version,
	};

	if (copy_text(need.model, sizeof(need.model), demand->model) ||
	    copy_text(need.service, sizeof(need.service), demand->service))
		return;
	weight_board_publish_need(&daemon->weight_board, &need,
				  daemon->settings.name);
}

static const struct batch_demand_listener_vtable need_listener_vtable = {
	.named_version = on_named_version,
	.changed = on_need,
};

static void init_duties(struct entry_daemon *daemon)
{
	const struct entry_settings *settings = &daemon->settings;
	struct timer_service *timers = &daemon->reactor.timers;
	struct topic_log *store = &daemon->store.base;
	char writer[TOPIC_NAME_BYTES];

	duty_calls_init(&daemon->duty_calls, &daemon->reactor,
			&daemon->store_pool, &daemon->server_pool,
			settings->duties);
	duty_lease_init(&daemon->duty_lease, store, timers, settings->name,
			daemon->incarnation, settings->lease_ms, &daemon->log,
			&daemon->counters);
	writer_name(daemon, "count", writer);
	usage_counter_init(&daemon->usage_counter, store, timers,
			   settings->name, daemon->incarnation, writer,
			   settings->usage_window_s, &daemon->counters);
	writer_name(daemon, "close", writer);
	usage_duty_init(&daemon->usage_duty, store, timers, &daemon->duty_lease,
			&daemon->duty_calls.base, settings->name, writer,
			settings->usage_window_s, settings->usage_late_s,
			settings->reports_usage, &daemon->log,
			&daemon->counters);
	writer_name(daemon, "board", writer);
	weight_board_init(&daemon->weight_board, store, timers, writer,
			  &daemon->log, &daemon->counters);
	daemon->load_listener.load = on_load;
	weight_board_add_listener(&daemon->weight_board,
				  &daemon->load_listener);
	daemon->need_listener.vt = &need_listener_vtable;
	daemon->batch_runner.demand_listener = &daemon->need_listener;
	version_duty_init(&daemon->version_duty, timers, &daemon->duty_lease,
			  &daemon->weight_board, &daemon->duty_calls.base,
			  &daemon->fleet, &daemon->config, &daemon->named,
			  settings->name, &daemon->log, &daemon->counters);
	server_duty_init(&daemon->server_duty, timers, &daemon->duty_lease,
			 &daemon->weight_board, &daemon->duty_calls.base,
			 &daemon->fleet, &daemon->config, settings->name,
			 settings->orders_servers, &daemon->log,
			 &daemon->counters);
}

static void on_hosts_changed(struct discovery_listener *listener)
{
	struct entry_daemon *daemon =
		container_of(listener, struct entry_daemon, host_listener);

	partition_claimer_hosts_changed(&daemon->batch_claimer);
	cold_senders_update(&daemon->cold_senders);
}

static void init_callers(struct entry_daemon *daemon)
{
	const struct entry_settings *settings = &daemon->settings;
	uint32_t ttl_ms = ADDRESS_TTL_MS;

	if (ttl_ms > settings->address_ttl_max_ms)
		ttl_ms = settings->address_ttl_max_ms;
	forwarder_init(&daemon->forwarder, &daemon->reactor,
		       &daemon->server_pool, &daemon->fleet, &daemon->config,
		       &daemon->log, &daemon->counters, settings->data_centre,
		       daemon->incarnation);
	caller_port_init(&daemon->caller_port, &daemon->config,
			 &daemon->forwarder, &daemon->batch_api.port,
			 &daemon->log, &daemon->counters);
	service_port_init(&daemon->service_port, &daemon->discovery,
			  &daemon->counters, ttl_ms, daemon->incarnation + 1);
}

static void init_status(struct entry_daemon *daemon)
{
	struct status_sources *status = &daemon->status;
	const struct status_topic topics[] = {
		{ "operators", &daemon->operator_feed.follower },
		{ "servers", &daemon->server_feed.follower },
		{ "hosts", &daemon->discovery.follower },
		{ "duties", &daemon->duty_lease.follower },
		{ "weights", &daemon->weight_board.follower },
	};

	status->settings = &daemon->settings;
	status->incarnation = daemon->incarnation;
	status->clock = &daemon->reactor.clock;
	status->config = &daemon->config;
	status->discovery = &daemon->discovery;
	status->fleet = &daemon->fleet;
	status->batches = &daemon->batches;
	status->runner = &daemon->batch_runner;
	status->lease = &daemon->duty_lease;
	status->named = &daemon->named;
	memcpy(status->topics, topics, sizeof(topics));
	status->topic_count = ARRAY_SIZE(topics);
	status_port_init(&daemon->status_port, status, &daemon->counters);
}

static int make_room(void *arg)
{
	struct entry_daemon *daemon = arg;

	return net_pool_close_one_idle(&daemon->server_pool) ||
	       net_server_make_room(&daemon->callers);
}

static void init_descriptors(struct entry_daemon *daemon)
{
	daemon->descriptors.make_room = make_room;
	daemon->descriptors.arg = daemon;
}

static int listen_on(struct entry_daemon *daemon, struct net_server *server,
		     const char *address, struct net_handler *handler,
		     struct error *err)
{
	const struct net_limits none = { 0 }; /* until all are applied */

	if (!address[0])
		return 0;
	return net_server_init(server, &daemon->reactor, address, &none,
			       handler, err);
}

static int init_ports(struct entry_daemon *daemon, struct error *err)
{
	const struct entry_settings *settings = &daemon->settings;
	struct net_handler *service = &daemon->service_port.handler;

	if (listen_on(daemon, &daemon->callers, settings->callers,
		      &daemon->caller_port.handler, err) ||
	    listen_on(daemon, &daemon->ready, settings->ready, service, err) ||
	    listen_on(daemon, &daemon->addresses, settings->addresses, service,
		      err) ||
	    listen_on(daemon, &daemon->metrics, settings->metrics,
		      &daemon->status_port.handler, err))
		return -1;
	entry_daemon_apply_limits(daemon);
	daemon->callers.descriptors = &daemon->descriptors;
	daemon->callers.displaced = caller_port_on_displaced;
	daemon->callers.displaced_arg = &daemon->caller_port;
	daemon->ready.displaced = service_port_on_displaced;
	daemon->ready.displaced_arg = &daemon->service_port;
	daemon->addresses.displaced = service_port_on_displaced;
	daemon->addresses.displaced_arg = &daemon->service_port;
	return 0;
}

/* The port given on the command line overrides the settings. */
static void set_metrics_address(struct entry_settings *settings, uint16_t port)
{
	size_t ip_len = strcspn(settings->callers, ":");

	if (port)
		snprintf(settings->metrics, sizeof(settings->metrics),
			 "%.*s:%u", (int)ip_len, settings->callers, port);
}

int entry_daemon_init(struct entry_daemon *daemon, const char *settings_path,
		      uint16_t metrics_port, struct error *err)
{
	struct entry_settings settings;

	memset(daemon, 0, sizeof(*daemon));
	if (platform_settings_read_file(settings_path, &settings, err))
		return -1;
	set_metrics_address(&settings, metrics_port);
	daemon->settings = settings;
	daemon->caller_limits = initial_limits;
	if (copy_text(daemon->settings_path, sizeof(daemon->settings_path),
		      settings_path))
		return error_set(err, ERROR_INVALID,
				 "path of the settings file is too long");
	random_bytes(&daemon->incarnation, sizeof(daemon->incarnation));
	if (reactor_init(&daemon->reactor, err))
		return -1;
	counter_set_init(&daemon->counters);
	record_log_init(&daemon->log, STDOUT_FILENO, settings.name,
			&daemon->reactor.timers, &daemon->counters);
	entry_log_lifecycle_event(daemon, "start", NULL);
	config_holder_init(&daemon->config, &daemon->log);
	daemon->config.changed = on_config;
	daemon->config.arg = daemon;
	key_trust_set_bound(&daemon->config.trust, settings.key_expiry_ms);
	fleet_init(&daemon->fleet);
	evacuations_init(&daemon->evacuations, &daemon->fleet, &daemon->log,
			 &daemon->counters);
	cold_limits_init(&daemon->cold_limits, &daemon->fleet, &daemon->log,
			 &daemon->counters, daemon->settings.name);
	init_descriptors(daemon);
	init_store(daemon);
	init_feeds(daemon);
	init_batches(daemon);
	init_duties(daemon);
	cold_senders_init(&daemon->cold_senders, &daemon->cold_limits,
			  &daemon->config, &daemon->discovery,
			  &daemon->batches);
	daemon->host_listener.changed = on_hosts_changed;
	daemon->discovery.listener = &daemon->host_listener;
	init_callers(daemon);
	init_status(daemon);
	crash_watch_init(&daemon->crash_watch, &daemon->discovery,
			 &daemon->fleet, &daemon->reactor.clock, &daemon->log,
			 &daemon->counters);
	daemon->forwarder.crashes = &daemon->crash_watch;
	if (settings.reports_usage)
		daemon->forwarder.team_attempts = &daemon->usage_counter.base;
	if (init_ports(daemon, err) || entry_lifecycle_init(daemon, err))
		return -1;
	operator_feed_start(&daemon->operator_feed);
	server_feed_start(&daemon->server_feed);
	discovery_start(&daemon->discovery);
	duty_lease_start(&daemon->duty_lease);
	weight_board_start(&daemon->weight_board);
	entry_lifecycle_start(daemon);
	return 0;
}

void entry_daemon_run(struct entry_daemon *daemon)
{
	reactor_run(&daemon->reactor);
}

void entry_daemon_finish(struct entry_daemon *daemon)
{
	forwarder_finish(&daemon->forwarder);
	crash_watch_finish(&daemon->crash_watch);
	batch_api_finish(&daemon->batch_api);
	batch_runner_finish(&daemon->batch_runner);
	partition_claimer_finish(&daemon->batch_claimer);
	server_duty_finish(&daemon->server_duty);
	version_duty_finish(&daemon->version_duty);
	weight_board_finish(&daemon->weight_board);
	usage_duty_finish(&daemon->usage_duty);
	usage_counter_finish(&daemon->usage_counter);
	duty_lease_finish(&daemon->duty_lease);
	batch_set_finish(&daemon->batches);
	net_server_finish(&daemon->callers);
	net_server_finish(&daemon->ready);
	net_server_finish(&daemon->addresses);
	net_server_finish(&daemon->metrics);
	discovery_finish(&daemon->discovery);
	server_feed_finish(&daemon->server_feed);
	operator_feed_finish(&daemon->operator_feed);
	store_finish(&daemon->store);
	net_pool_finish(&daemon->server_pool);
	net_pool_finish(&daemon->store_pool);
	fleet_finish(&daemon->fleet);
	cold_limits_finish(&daemon->cold_limits);
	evacuations_finish(&daemon->evacuations);
	config_holder_finish(&daemon->config);
	named_versions_finish(&daemon->named);
	entry_lifecycle_finish(daemon);
	record_log_finish(&daemon->log);
	counter_set_finish(&daemon->counters);
	reactor_finish(&daemon->reactor);
}
