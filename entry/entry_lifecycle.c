#include "entry/entry_lifecycle.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "base/alloc.h"
#include "platform/settings_decode.h"
#include "policy/partition_owner.h"

#define UPKEEP_PERIOD_NS (500 * NS_PER_MS)
/* Scans all batches; infrequent, because old ones only cost memory. */
#define BATCH_EVICTION_PERIOD_NS (10 * NS_PER_S)
/* Allows for clock differences of seconds between hosts. */
#define BATCH_EVICTION_MARGIN_MS 10000
/* Used until the daemon is ready: callers may have no other host to use. */
#define UPKEEP_STARTING_PERIOD_NS (20 * NS_PER_MS)
/*
 * Remaining grace period at which a graceful stop closes idle connections and
 * answers reads that wait, at which it answers whatever has no answer yet, and
 * at which it ends what is still open, that is, streams.
 */
#define STOP_CLOSE_IDLE_MS 1200
#define STOP_ANSWER_ALL_MS 700
#define STOP_CLOSE_ALL_MS 500
#define STOP_POLL_NS (50 * NS_PER_MS)
/*
 * Pseudo partition number that ranks the hosts for the duties; partitions have
 * smaller numbers.
 */
#define DUTY_RANK_PARTITION 1000000
/* Number of hosts that may claim the duties, and the delay between claims. */
#define DUTY_CANDIDATES 5
#define DUTY_CLAIM_STEP_NS (250 * NS_PER_MS)

void entry_log_lifecycle_event(struct entry_daemon *daemon, const char *event,
			       const char *reason)
{
	struct record record;

	record_begin_essential(&record, &daemon->log, "daemon", event);
	record_text(&record, "data_centre", daemon->settings.data_centre);
	record_int(&record, "incarnation", (int64_t)(daemon->incarnation >> 1));
	record_int(&record, "config",
		   daemon->config.current
			   ? (int64_t)daemon->config.current->version
			   : -1);
	record_int(&record, "running", daemon->forwarder.running);
	record_text(&record, "reason", reason);
	record_end(&record);
}

static void update_ready(struct entry_daemon *daemon)
{
	int ready = daemon->config.current &&
		    operator_feed_is_listed(&daemon->operator_feed) &&
		    daemon->server_feed.follower.is_listed &&
		    discovery_is_listed(&daemon->discovery) && !daemon->leaving;

	if (ready == daemon->is_ready)
		return;
	daemon->is_ready = ready;
	daemon->service_port.ready = ready;
	discovery_set_ready(&daemon->discovery, ready);
	entry_log_lifecycle_event(daemon, ready ? "ready" : "not_ready", NULL);
}

/* Hosts claim the duties by rank; a larger CPU share tends to rank higher. */
static void update_duty_rank(struct entry_daemon *daemon)
{
	struct owner_candidate candidates[DISCOVERY_CANDIDATES_MAX];
	uint32_t count = discovery_candidates(&daemon->discovery, candidates);
	uint32_t position;

	position = partition_owner_position(
		candidates, count, DUTY_RANK_PARTITION, daemon->settings.name);
	duty_lease_set_eligible(&daemon->duty_lease,
				daemon->is_ready && position < DUTY_CANDIDATES,
				position * DUTY_CLAIM_STEP_NS);
}

static int64_t file_mtime_ns(const char *path)
{
	struct stat info;

	if (stat(path, &info))
		return 0;
	return info.st_mtim.tv_sec * NS_PER_S + info.st_mtim.tv_nsec;
}

/*
 * Reloads the settings. The store's address and the limits may change while the
 * daemon runs.
 */
static void reload(struct entry_daemon *daemon, const char *reason)
{
	struct entry_settings settings;
	struct error err = ERROR_INIT;

	daemon->settings_mtime_ns = file_mtime_ns(daemon->settings_path);
	if (platform_settings_read_file(daemon->settings_path, &settings,
					&err)) {
		entry_log_lifecycle_event(daemon, "reload_failed", err.text);
		return;
	}
	daemon->settings = settings;
	entry_daemon_apply_limits(daemon);
	key_trust_set_bound(&daemon->config.trust, settings.key_expiry_ms);
	copy_text(daemon->store.address, sizeof(daemon->store.address),
		  settings.store);
	entry_log_lifecycle_event(daemon, "reloaded", reason);
}

static void on_upkeep(void *arg, int64_t at_ns);

static void subscribe_upkeep(struct entry_daemon *daemon)
{
	timer_subscribe_once(&daemon->reactor.timers, &daemon->upkeep,
			     daemon->is_ready || daemon->leaving
				     ? UPKEEP_PERIOD_NS
				     : UPKEEP_STARTING_PERIOD_NS,
			     on_upkeep, daemon);
}

static void on_upkeep(void *arg, int64_t at_ns)
{
	struct entry_daemon *daemon = arg;

	(void)at_ns;
	update_ready(daemon);
	update_duty_rank(daemon);
	cold_senders_update(&daemon->cold_senders);
	subscribe_upkeep(daemon);
	if (file_mtime_ns(daemon->settings_path) != daemon->settings_mtime_ns)
		reload(daemon, "file_changed");
}

/*
 * Evicts batches whose results can no longer be read. Open batches, whose
 * results are still awaited, are kept.
 */
static void on_batch_eviction(void *arg, int64_t at_ns)
{
	struct entry_daemon *daemon = arg;
	const struct entry_settings *settings = &daemon->settings;
	int64_t readable_ms = settings->results_keep_ms;
	int64_t stored_ms = (int64_t)settings->store_retention_s * 1000;
	int64_t before_ms = clock_wall_ms(&daemon->reactor.clock) -
			    BATCH_EVICTION_MARGIN_MS;

	(void)at_ns;
	batch_set_evict(&daemon->batches, before_ms - readable_ms,
			before_ms - (stored_ms > readable_ms ? stored_ms
							     : readable_ms));
}

static void on_hangup(void *arg)
{
	reload(arg, "signal");
}

static int no_requests_in_flight(const struct entry_daemon *daemon)
{
	return !daemon->callers.busy_count &&
	       !net_server_has_unsent(&daemon->callers);
}

static void answer_before_stop(struct entry_daemon *daemon, int64_t left_ms)
{
	if (left_ms <= STOP_ANSWER_ALL_MS) {
		forwarder_answer_unstarted(&daemon->forwarder);
		batch_api_answer_all(&daemon->batch_api);
	} else if (left_ms <= STOP_CLOSE_IDLE_MS) {
		batch_api_answer_waiting(&daemon->batch_api);
	}
}

static void on_stop_step(void *arg, int64_t at_ns)
{
	struct entry_daemon *daemon = arg;
	int64_t left_ms = daemon->settings.grace_ms -
			  (at_ns - daemon->leaving_since_ns) / NS_PER_MS;

	answer_before_stop(daemon, left_ms);
	if (left_ms <= STOP_CLOSE_IDLE_MS)
		net_server_close_idle(&daemon->callers);
	if ((left_ms <= STOP_CLOSE_IDLE_MS && no_requests_in_flight(daemon)) ||
	    left_ms <= STOP_CLOSE_ALL_MS) {
		entry_log_lifecycle_event(
			daemon, "stopped",
			no_requests_in_flight(daemon) ? "quiet" : "time_over");
		reactor_stop(&daemon->reactor);
		return;
	}
	timer_subscribe_once(&daemon->reactor.timers, &daemon->stop,
			     STOP_POLL_NS, on_stop_step, daemon);
}

/*
 * Callers continue to use the addresses that they received earlier, so the
 * daemon serves until the grace period is almost over, while its address is no
 * longer given out; it refuses what may not end by then if it comes late.
 */
static void on_terminate(void *arg)
{
	struct entry_daemon *daemon = arg;
	int64_t open_ms = daemon->settings.grace_ms - STOP_ANSWER_ALL_MS;

	if (daemon->leaving)
		return;
	daemon->leaving = 1;
	daemon->leaving_since_ns = reactor_now_ns(&daemon->reactor);
	daemon->forwarder.stop.began_ns = daemon->leaving_since_ns;
	daemon->forwarder.stop.ends_ns =
		daemon->leaving_since_ns + open_ms * NS_PER_MS;
	entry_log_lifecycle_event(daemon, "stopping", "signal");
	update_ready(daemon);
	discovery_set_leaving(&daemon->discovery);
	partition_claimer_release_all(&daemon->batch_claimer);
	duty_lease_release(&daemon->duty_lease);
	usage_counter_flush(&daemon->usage_counter);
	net_server_drain(&daemon->callers);
	on_stop_step(daemon, daemon->leaving_since_ns);
}

static const struct {
	int number;
	void (*fn)(void *arg);
} signal_handlers[ENTRY_SIGNALS] = {
	{ SIGTERM, on_terminate },
	{ SIGINT, on_terminate },
	{ SIGHUP, on_hangup },
};

static void mask_signal(int how, int number)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, number);
	pthread_sigmask(how, &set, NULL);
}

void entry_lifecycle_block_reload(void)
{
	mask_signal(SIG_BLOCK, SIGHUP);
}

int entry_lifecycle_init(struct entry_daemon *daemon, struct error *err)
{
	daemon->settings_mtime_ns = file_mtime_ns(daemon->settings_path);
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < ENTRY_SIGNALS; i++)
		if (reactor_add_signal(&daemon->reactor,
				       signal_handlers[i].number,
				       signal_handlers[i].fn, daemon,
				       &daemon->signals[i], err))
			return -1;
	mask_signal(SIG_UNBLOCK, SIGHUP);
	return 0;
}

void entry_lifecycle_start(struct entry_daemon *daemon)
{
	subscribe_upkeep(daemon);
	timer_subscribe(&daemon->reactor.timers, &daemon->batch_eviction,
			BATCH_EVICTION_PERIOD_NS, on_batch_eviction, daemon);
}

void entry_lifecycle_finish(struct entry_daemon *daemon)
{
	for (size_t i = 0; i < ENTRY_SIGNALS; i++) {
		if (!daemon->signals[i])
			continue;
		/* Unhandled, it would terminate the process. */
		mask_signal(SIG_BLOCK, signal_handlers[i].number);
		reactor_remove_signal(daemon->signals[i]);
	}
}
