#ifndef ENTRY_ENTRY_DAEMON_H
#define ENTRY_ENTRY_DAEMON_H

#include "batch/batch_api.h"
#include "batch/partition_claimer.h"
#include "discovery/discovery.h"
#include "duty/usage_counter.h"
#include "duty/server_duty.h"
#include "duty/usage_duty.h"
#include "duty/version_duty.h"
#include "entry/caller_port.h"
#include "entry/cold_senders.h"
#include "entry/entry_settings.h"
#include "entry/named_versions.h"
#include "entry/service_port.h"
#include "entry/status_port.h"
#include "forward/forward.h"
#include "platform/duty_calls.h"
#include "platform/operator_feed.h"
#include "platform/server_feed.h"
#include "platform/store.h"

/* Number of signals that the daemon handles, see signal_handlers. */
#define ENTRY_SIGNALS 3

/*
 * The daemon of an entry host on the users' platform. All parts run on one
 * event loop in one thread.
 */
struct entry_daemon {
	struct entry_settings settings;
	struct caller_limits caller_limits; /* of the configuration */
	char settings_path[256];
	uint64_t incarnation;
	struct reactor reactor;
	struct counter_set counters;
	struct record_log log;
	struct net_descriptors descriptors;
	struct net_pool store_pool;
	struct net_pool server_pool;
	struct store store;
	struct config_holder config;
	struct fleet fleet;
	struct evacuations evacuations;
	struct cold_limits cold_limits;
	struct cold_senders cold_senders;
	struct operator_feed operator_feed;
	struct named_versions named;
	struct operator_feed_listener version_listener;
	struct server_feed server_feed;
	struct discovery discovery;
	struct discovery_listener host_listener;
	struct forwarder forwarder;
	struct batch_set batches;
	struct batch_api batch_api;
	struct batch_runner batch_runner;
	struct partition_claimer batch_claimer;
	struct duty_calls duty_calls;
	struct duty_lease duty_lease;
	struct usage_counter usage_counter;
	struct usage_duty usage_duty;
	struct weight_board weight_board;
	struct weight_board_listener load_listener;
	struct batch_demand_listener need_listener;
	struct version_duty version_duty;
	struct server_duty server_duty;
	struct caller_port caller_port;
	struct service_port service_port;
	struct status_sources status;
	struct status_port status_port;
	struct net_server callers;
	struct net_server ready;
	struct net_server addresses;
	struct net_server metrics;
	struct crash_watch crash_watch;
	struct timer upkeep;
	struct timer batch_eviction;
	struct timer stop;
	struct event *signals[ENTRY_SIGNALS];
	int is_ready;
	int leaving;
	int64_t leaving_since_ns;
	int64_t settings_mtime_ns;
};

/*
 * If `metrics_port` is 0, the metrics address of the settings is used, if any.
 * The settings file is reloaded when it changes. Returns -1 with `err` set on
 * failure.
 */
int entry_daemon_init(struct entry_daemon *daemon, const char *settings_path,
		      uint16_t metrics_port, struct error *err);

/* Derives the limits of all clients from the settings and configuration. */
void entry_daemon_apply_limits(struct entry_daemon *daemon);

/* Serves until the graceful stop after SIGTERM or SIGINT is complete. */
void entry_daemon_run(struct entry_daemon *daemon);

void entry_daemon_finish(struct entry_daemon *daemon);

#endif
