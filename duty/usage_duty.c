#include "duty/usage_duty.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "duty/usage_counter.h"
#include "proto/topic.pb-c.h"
#include "store/topic_message.h"

#define TICK_NS (250 * NS_PER_MS)
#define CALL_TIMEOUT_NS (1500 * NS_PER_MS)
/*
 * Delay from a window's end to its close, as a share of the time until the
 * report is due. Hosts append their sums within about a second, a slow store
 * takes longer, and the report itself needs time to arrive.
 */
#define CLOSE_DELAY_SHARE 0.35
/* Reported windows are retained until they are this many windows old. */
#define RETAINED_WINDOWS 20

static struct usage_duty *duty_from_follower(struct topic_follower *follower)
{
	return (struct usage_duty *)follower;
}

static void on_apply(struct topic_follower *follower, uint64_t offset,
		     const uint8_t *data, size_t len)
{
	(void)offset;
	usage_ledger_apply(&duty_from_follower(follower)->ledger, data, len);
}

static int is_active(struct usage_duty *duty)
{
	return !duty->fenced && duty_lease_holds(duty->lease);
}

static int is_busy(const struct usage_duty *duty)
{
	return duty->refreshing || duty->writing || duty->sending;
}

/* Number of the window that contains the current wall-clock time. */
static uint64_t current_window(const struct usage_duty *duty)
{
	return (uint64_t)(clock_wall_ms(duty->timers->clock) / 1000) /
	       duty->window_s;
}

/*
 * Before this host gained the lease, other holders closed windows in the
 * records that were dropped. Those that are still open after the records that
 * are left are newer than all of them. Afterwards nobody else closes windows.
 */
static void on_skipped(struct topic_follower *follower, uint64_t from,
		       uint64_t to)
{
	struct usage_duty *duty = duty_from_follower(follower);
	struct record record;

	record_begin(&record, duty->log, "usage", "skipped");
	record_int(&record, "from", (int64_t)from);
	record_int(&record, "to", (int64_t)to);
	record_int(&record, "closed_before",
		   (int64_t)duty->ledger.closed_before);
	record_end(&record);
	if (!duty->ledger_unread)
		return;
	usage_ledger_forget(&duty->ledger);
	if (duty->first_window)
		duty->first_window = current_window(duty);
}

static const struct topic_follower_vtable follower_vtable = {
	.apply = on_apply,
	.skipped = on_skipped,
};

static int64_t window_age_ms(const struct usage_duty *duty, uint64_t window)
{
	return clock_wall_ms(duty->timers->clock) -
	       (int64_t)((window + 1) * duty->window_s) * 1000;
}

static int close_is_due(const struct usage_duty *duty)
{
	uint64_t window =
		usage_ledger_next_open(&duty->ledger, duty->first_window);

	return window_age_ms(duty, window) >=
	       (int64_t)(duty->late_s * 1000 * CLOSE_DELAY_SHARE);
}

static void refresh_if_due(struct usage_duty *duty);

/* A closed window is reported at once: the store may fail by the next tick. */
static void on_written(struct topic_write *write,
		       enum topic_write_outcome outcome)
{
	struct usage_duty *duty = write->arg;

	if (outcome == TOPIC_WRITE_DONE)
		topic_follower_apply_own(&duty->follower, write->offset,
					 &write->records);
	duty->writing = 0;
	topic_write_free(write);
	refresh_if_due(duty);
}

static void write_record(struct usage_duty *duty,
			 const Currant__Topic__UsageRecord *record)
{
	struct topic_write *write = topic_write_new(on_written, duty);

	topic_add_message(&write->records, &record->base);
	write->record_count = 1;
	duty->writing = 1;
	topic_writer_add(&duty->writer, write);
}

static void log_event(struct usage_duty *duty, const char *event,
		      uint64_t window, uint64_t requests, const char *reason)
{
	struct record record;

	record_begin(&record, duty->log, "usage", event);
	record_int(&record, "window", (int64_t)window);
	record_int(&record, "requests", (int64_t)requests);
	record_int(&record, "fence", (int64_t)duty->fence);
	record_int(&record, "age_ms", window_age_ms(duty, window));
	record_text(&record, "reason", reason);
	record_end(&record);
}

static uint64_t total_requests(const struct usage_window *window)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; window && i < window->count; i++)
		sum += window->counts[i].requests;
	return sum;
}

/* Appends a record that fixes the counts of the next open window. */
static void close_window(struct usage_duty *duty)
{
	uint64_t number =
		usage_ledger_next_open(&duty->ledger, duty->first_window);
	const struct usage_window *window =
		usage_ledger_find(&duty->ledger, number);
	uint32_t count = window ? window->count : 0;
	Currant__Topic__UsageRecord record = CURRANT__TOPIC__USAGE_RECORD__INIT;
	Currant__Topic__UsageClose close = CURRANT__TOPIC__USAGE_CLOSE__INIT;
	Currant__Topic__TeamCount *counts = xcalloc(count + 1, sizeof(*counts));

	close.counts = xcalloc(count + 1, sizeof(void *));
	for (uint32_t i = 0; i < count; i++) {
		currant__topic__team_count__init(&counts[i]);
		counts[i].team = window->counts[i].team;
		counts[i].requests = window->counts[i].requests;
		close.counts[close.n_counts++] = &counts[i];
	}
	close.window = number;
	close.host = (char *)duty->holder;
	record.kind_case = CURRANT__TOPIC__USAGE_RECORD__KIND_CLOSE;
	record.close = &close;
	log_event(duty, "closing", number, total_requests(window), NULL);
	write_record(duty, &record);
	free(close.counts);
	free(counts);
}

static void write_reported(struct usage_duty *duty, uint64_t window)
{
	Currant__Topic__UsageRecord record = CURRANT__TOPIC__USAGE_RECORD__INIT;
	Currant__Topic__UsageReported reported =
		CURRANT__TOPIC__USAGE_REPORTED__INIT;

	reported.window = window;
	record.kind_case = CURRANT__TOPIC__USAGE_RECORD__KIND_REPORTED;
	record.reported = &reported;
	write_record(duty, &record);
}

static void on_reported(struct duty_call *call)
{
	struct usage_duty *duty = call->arg;
	struct usage_report *report = &duty->report;

	duty->sending = 0;
	log_event(duty, "reported", report->window,
		  total_requests(
			  usage_ledger_find(&duty->ledger, report->window)),
		  duty_outcome_name(call->outcome));
	if (call->outcome == DUTY_DONE) {
		counter_add(duty->reports, 1);
		write_reported(duty, report->window);
		return;
	}
	counter_add(duty->failed_reports, 1);
	if (call->outcome == DUTY_FENCED)
		duty->fenced = 1;
}

static void send_report(struct usage_duty *duty,
			const struct usage_window *window)
{
	struct usage_report *report = &duty->report;

	report->call.holder = duty->holder;
	report->call.fence = duty->fence;
	report->call.timeout_ns = CALL_TIMEOUT_NS;
	report->call.done = on_reported;
	report->call.arg = duty;
	report->window = window->number;
	report->counts = window->counts;
	report->count = window->count;
	duty->sending = 1;
	duty->port->vt->report_usage(duty->port, report);
}

/* If `ok`, all records appended before the refresh are applied. */
static void on_refreshed(struct topic_refresh *refresh, int ok)
{
	struct usage_duty *duty = refresh->arg;
	const struct usage_window *window;

	duty->refreshing = 0;
	duty->ledger_stale = !ok;
	if (!ok || !is_active(duty))
		return;
	duty->ledger_unread = 0;
	usage_ledger_prune(&duty->ledger,
			   current_window(duty) - RETAINED_WINDOWS);
	gauge_set(duty->late_requests, (int64_t)duty->ledger.late_requests);
	window = usage_ledger_next_report(&duty->ledger);
	if (window)
		send_report(duty, window);
	else if (close_is_due(duty))
		close_window(duty);
}

static void refresh_if_due(struct usage_duty *duty)
{
	if (!is_active(duty) || is_busy(duty))
		return;
	if (!duty->ledger_stale && !usage_ledger_next_report(&duty->ledger) &&
	    !close_is_due(duty))
		return;
	duty->refreshing = 1;
	topic_follower_refresh(&duty->follower, &duty->refresh);
}

static void on_tick(void *arg, int64_t now_ns)
{
	(void)now_ns;
	refresh_if_due(arg);
}

static struct usage_duty *duty_from_lease(struct duty_lease_listener *listener)
{
	return container_of(listener, struct usage_duty, lease_listener);
}

static void on_gained(struct duty_lease_listener *listener, uint64_t fence)
{
	struct usage_duty *duty = duty_from_lease(listener);

	duty->fence = fence;
	duty->fenced = 0;
	if (!duty->first_window)
		duty->first_window = current_window(duty);
	timer_subscribe(duty->timers, &duty->timer, TICK_NS, on_tick, duty);
	/* Read which windows other hosts closed but did not report. */
	duty->ledger_stale = 1;
	duty->ledger_unread = 1;
	refresh_if_due(duty);
}

static void on_lost(struct duty_lease_listener *listener)
{
	struct usage_duty *duty = duty_from_lease(listener);

	timer_unsubscribe(duty->timers, &duty->timer);
	if (duty->sending)
		duty->port->vt->cancel(duty->port, &duty->report.call);
	duty->sending = 0;
}

void usage_duty_init(struct usage_duty *duty, struct topic_log *log,
		     struct timer_service *timers, struct duty_lease *lease,
		     struct duty_port *port, const char *holder,
		     const char *writer_name, uint32_t window_s,
		     uint32_t late_s, int reports, struct record_log *records,
		     struct counter_set *counters)
{
	memset(duty, 0, sizeof(*duty));
	topic_follower_init(&duty->follower, &follower_vtable, log, timers,
			    USAGE_TOPIC, 0, counters);
	topic_writer_init(&duty->writer, log, timers, USAGE_TOPIC, 0,
			  writer_name, counters);
	usage_ledger_init(&duty->ledger);
	duty->timers = timers;
	duty->lease = lease;
	duty->port = port;
	duty->log = records;
	duty->holder = holder;
	duty->window_s = window_s;
	duty->late_s = late_s;
	duty->refresh.done = on_refreshed;
	duty->refresh.arg = duty;
	duty->lease_listener.gained = on_gained;
	duty->lease_listener.lost = on_lost;
	if (reports)
		duty_lease_add_listener(lease, &duty->lease_listener);
	duty->reports = counter_get(counters, "usage_reports_total");
	duty->failed_reports =
		counter_get(counters, "usage_reports_failed_total");
	duty->late_requests = gauge_get(counters, "usage_late_requests");
}

void usage_duty_finish(struct usage_duty *duty)
{
	timer_unsubscribe(duty->timers, &duty->timer);
	if (duty->sending)
		duty->port->vt->cancel(duty->port, &duty->report.call);
	topic_writer_finish(&duty->writer);
	topic_follower_finish(&duty->follower);
	usage_ledger_finish(&duty->ledger);
}
