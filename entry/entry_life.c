#include "entry/entry_life.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

#include "base/alloc.h"
#include "platform/settings_decode.h"
#include "policy/partition_owner.h"

#define UPKEEP_PERIOD_NS (500 * NS_PER_MS)
/* Old batches only cost memory; a look at all of them is not for each tick. */
#define FORGET_PERIOD_NS (10 * NS_PER_S)
/* Clocks of hosts differ by seconds. */
#define FORGET_MARGIN_MS 10000
/* Until the daemon is ready, callers may have no other one to ask. */
#define UPKEEP_STARTING_NS (20 * NS_PER_MS)
/* The end of a graceful stop: idle connections close, then the rest. */
#define STOP_IDLE_MS 1200
#define STOP_LAST_MS 500
#define STOP_POLL_NS (50 * NS_PER_MS)
/* Rank among the hosts for the duties; partitions have smaller numbers. */
#define DUTY_RANK 1000000
/* How many hosts may claim the duties, and how far apart they do. */
#define DUTY_CANDIDATES 5
#define DUTY_STEP_NS (250 * NS_PER_MS)

void entry_report_life(struct entry_daemon *daemon, const char *event,
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
		    daemon->server_feed.follower.is_listed &&
		    discovery_is_listed(&daemon->discovery) && !daemon->leaving;

	if (ready == daemon->is_ready)
		return;
	daemon->is_ready = ready;
	daemon->service_port.ready = ready;
	discovery_set_ready(&daemon->discovery, ready);
	entry_report_life(daemon, ready ? "ready" : "not_ready", NULL);
}

/* The strongest hosts by rank claim the duties first. */
static void update_rank(struct entry_daemon *daemon)
{
	struct owner_candidate candidates[DISCOVERY_CANDIDATES_MAX];
	uint32_t count = discovery_candidates(&daemon->discovery, candidates);
	uint32_t position;

	position = partition_owner_position(candidates, count, DUTY_RANK,
					    daemon->settings.name);
	duty_lease_set_wanted(&daemon->duty_lease,
			      daemon->is_ready && position < DUTY_CANDIDATES,
			      position * DUTY_STEP_NS);
}

static int64_t file_mtime_ns(const char *path)
{
	struct stat info;

	if (stat(path, &info))
		return 0;
	return info.st_mtim.tv_sec * NS_PER_S + info.st_mtim.tv_nsec;
}

/* What may change while the daemon runs: where the platform is, bounds. */
static void reload(struct entry_daemon *daemon, const char *reason)
{
	struct entry_settings settings;
	struct error err = ERROR_INIT;

	daemon->settings_mtime_ns = file_mtime_ns(daemon->settings_path);
	if (platform_settings_read_file(daemon->settings_path, &settings,
					&err)) {
		entry_report_life(daemon, "reload_failed", err.text);
		return;
	}
	daemon->settings = settings;
	key_trust_set_bound(&daemon->config.trust, settings.key_expiry_ms);
	copy_text(daemon->store.address, sizeof(daemon->store.address),
		  settings.store);
	entry_report_life(daemon, "reloaded", reason);
}

static void on_upkeep(void *arg, int64_t at_ns);

static void subscribe_upkeep(struct entry_daemon *daemon)
{
	timer_subscribe_once(&daemon->reactor.timers, &daemon->upkeep,
			     daemon->is_ready || daemon->leaving
				     ? UPKEEP_PERIOD_NS
				     : UPKEEP_STARTING_NS,
			     on_upkeep, daemon);
}

static void on_upkeep(void *arg, int64_t at_ns)
{
	struct entry_daemon *daemon = arg;

	(void)at_ns;
	update_ready(daemon);
	update_rank(daemon);
	subscribe_upkeep(daemon);
	if (file_mtime_ns(daemon->settings_path) != daemon->settings_mtime_ns)
		reload(daemon, "file_changed");
}

/* Results that may still be read stay, and so does what waits for them. */
static void on_forget(void *arg, int64_t at_ns)
{
	struct entry_daemon *daemon = arg;
	const struct entry_settings *settings = &daemon->settings;
	int64_t kept_ms = settings->results_keep_ms;
	int64_t stored_ms = (int64_t)settings->store_retention_s * 1000;
	int64_t before_ms =
		clock_wall_ms(&daemon->reactor.clock) - FORGET_MARGIN_MS;

	(void)at_ns;
	batch_set_forget(&daemon->batches, before_ms - kept_ms,
			 before_ms -
				 (stored_ms > kept_ms ? stored_ms : kept_ms));
}

static void on_hangup(void *arg)
{
	reload(arg, "signal");
}

static int is_quiet(const struct entry_daemon *daemon)
{
	return !daemon->callers.busy_count;
}

static void on_stop_step(void *arg, int64_t at_ns)
{
	struct entry_daemon *daemon = arg;
	int64_t left_ms = daemon->settings.grace_ms -
			  (at_ns - daemon->leaving_since_ns) / NS_PER_MS;

	if (left_ms <= STOP_IDLE_MS)
		net_server_close_idle(&daemon->callers);
	if ((left_ms <= STOP_IDLE_MS && is_quiet(daemon)) ||
	    left_ms <= STOP_LAST_MS) {
		entry_report_life(daemon, "stopped",
				  is_quiet(daemon) ? "quiet" : "time_over");
		reactor_stop(&daemon->reactor);
		return;
	}
	timer_subscribe_once(&daemon->reactor.timers, &daemon->stop,
			     STOP_POLL_NS, on_stop_step, daemon);
}

/*
 * Callers go on using the addresses that they were told, so the daemon serves
 * until its grace is nearly over, while nobody is told its address any more.
 */
static void on_terminate(void *arg)
{
	struct entry_daemon *daemon = arg;

	if (daemon->leaving)
		return;
	daemon->leaving = 1;
	daemon->leaving_since_ns = reactor_now_ns(&daemon->reactor);
	entry_report_life(daemon, "stopping", "signal");
	update_ready(daemon);
	discovery_set_leaving(&daemon->discovery);
	partition_keeper_leave(&daemon->partition_keeper);
	duty_lease_release(&daemon->duty_lease);
	usage_counter_flush(&daemon->usage_counter);
	net_server_drain(&daemon->callers);
	on_stop_step(daemon, daemon->leaving_since_ns);
}

static const struct {
	int number;
	void (*fn)(void *arg);
} watched[ENTRY_SIGNALS] = {
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

void entry_life_hold_reload(void)
{
	mask_signal(SIG_BLOCK, SIGHUP);
}

int entry_life_init(struct entry_daemon *daemon, struct error *err)
{
	daemon->settings_mtime_ns = file_mtime_ns(daemon->settings_path);
	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < ENTRY_SIGNALS; i++)
		if (reactor_on_signal(&daemon->reactor, watched[i].number,
				      watched[i].fn, daemon,
				      &daemon->signals[i], err))
			return -1;
	mask_signal(SIG_UNBLOCK, SIGHUP);
	return 0;
}

void entry_life_start(struct entry_daemon *daemon)
{
	subscribe_upkeep(daemon);
	timer_subscribe(&daemon->reactor.timers, &daemon->forget,
			FORGET_PERIOD_NS, on_forget, daemon);
}

void entry_life_finish(struct entry_daemon *daemon)
{
	for (size_t i = 0; i < ENTRY_SIGNALS; i++) {
		if (!daemon->signals[i])
			continue;
		/* Without a handler it would end the process by itself. */
		mask_signal(SIG_BLOCK, watched[i].number);
		reactor_off_signal(daemon->signals[i]);
	}
}
