#include "usage/usage_reporter.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/backoff.h"

#define RECORD_TIMEOUT_NS (10 * NS_PER_S)
#define RETRY_MIN_NS (1 * NS_PER_S)
#define RETRY_MAX_NS (10 * NS_PER_S)

void usage_reporter_init(struct usage_reporter *reporter,
			 struct log_client *client, struct lease_keeper *keeper,
			 struct usage_port *port, struct clock *clock,
			 const char *own_partition,
			 const struct usage_schedule *schedule,
			 struct counter_set *counters,
			 const struct log_part *log)
{
	memset(reporter, 0, sizeof(*reporter));
	reporter->client = client;
	reporter->keeper = keeper;
	reporter->port = port;
	reporter->clock = clock;
	reporter->schedule = *schedule;
	reporter->log = *log;
	copy_text(reporter->own_partition, sizeof(reporter->own_partition),
		  own_partition);
	if (!counters)
		return;
	reporter->reports = counter_get(counters, "usage_reports_total");
	reporter->failed_reports =
		counter_get(counters, "usage_report_failures_total");
	reporter->conflicts =
		counter_get(counters, "usage_report_conflicts_total");
}

void usage_reporter_finish(struct usage_reporter *reporter)
{
	for (uint32_t i = 0; i < reporter->count; i++)
		if (reporter->partitions[i].in_flight)
			log_client_give_up(reporter->client,
					   &reporter->partitions[i].waiter);
}

static void add_partition(struct usage_reporter *reporter, const char *name)
{
	struct usage_partition *partition;

	for (uint32_t i = 0; i < reporter->count; i++)
		if (!strcmp(reporter->partitions[i].name, name))
			return;
	if (reporter->count == USAGE_REPORTER_PARTITIONS)
		return;
	partition = &reporter->partitions[reporter->count++];
	memset(partition, 0, sizeof(*partition));
	copy_text(partition->name, sizeof(partition->name), name);
	snprintf(partition->lease, sizeof(partition->lease), "usage/%s", name);
}

/*
 * Must not be called under the log client's lock: the lease keeper reads the
 * state under its own lock.
 */
static void request_lease(struct usage_reporter *reporter,
			  struct usage_partition *partition)
{
	int near = !strcmp(partition->name, reporter->own_partition);

	if (partition->is_requested)
		return;
	partition->is_requested = 1;
	lease_keeper_request(reporter->keeper, partition->lease,
			     lease_keeper_spread_ns(reporter->keeper,
						    partition->lease, near),
			     NULL);
}

static void add_logged_partitions(const struct state *state, void *arg)
{
	const struct usage_carry *carries;
	uint32_t count = state_usage_carries(state, &carries);

	for (uint32_t i = 0; i < count; i++)
		add_partition(arg, carries[i].partition);
}

/* Pending work of a partition, copied out of the state. */
struct partition_work {
	const struct usage_reporter *reporter;
	const struct usage_partition *partition;
	uint64_t wall_s;
	int closes;
	uint64_t close_start_s;
	int reports;
	struct usage_window window; /* owns its copy of the figures */
};

static void find_work(const struct state *state, void *arg)
{
	struct partition_work *work = arg;
	const char *name = work->partition->name;
	const struct usage_window *window = usage_report_due(state, name);
	size_t bytes;

	work->closes = usage_close_due(state, name, work->wall_s,
				       &work->reporter->schedule,
				       &work->close_start_s);
	work->reports = window != NULL;
	if (!window)
		return;
	work->window = *window;
	bytes = window->figure_count * sizeof(*window->figures);
	work->window.figures = xmalloc(bytes);
	if (bytes)
		memcpy(work->window.figures, window->figures, bytes);
}

static void begin(struct usage_reporter *reporter,
		  struct usage_partition *partition,
		  const Currant__Record *record)
{
	memset(&partition->waiter, 0, sizeof(partition->waiter));
	partition->begun_ns = clock_now_ns(reporter->clock);
	partition->in_flight = !log_client_begin(reporter->client, record,
						 LOG_SUBMIT_URGENT,
						 &partition->waiter, NULL);
}

static void close_window(struct usage_reporter *reporter,
			 struct usage_partition *partition,
			 const struct lease_hold *hold, uint64_t start_s)
{
	Currant__UsageClose body = CURRANT__USAGE_CLOSE__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	body.window_start_s = start_s;
	body.partition = partition->name;
	body.lease_position = hold->position;
	record.body_case = CURRANT__RECORD__BODY_USAGE_CLOSE;
	record.usage_close = &body;
	begin(reporter, partition, &record);
}

static void acknowledge(struct usage_reporter *reporter,
			struct usage_partition *partition, uint64_t start_s)
{
	Currant__UsageAcknowledged body = CURRANT__USAGE_ACKNOWLEDGED__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;

	body.window_start_s = start_s;
	body.partition = partition->name;
	record.body_case = CURRANT__RECORD__BODY_USAGE_ACKNOWLEDGED;
	record.usage_acknowledged = &body;
	begin(reporter, partition, &record);
}

static void record_failure(struct usage_reporter *reporter,
			   struct usage_partition *partition,
			   const struct usage_window *window,
			   const struct error *why)
{
	partition->retry_ns =
		clock_now_ns(reporter->clock) +
		backoff_ns(RETRY_MIN_NS, RETRY_MAX_NS, partition->failures);
	partition->failures++;
	counter_add(reporter->failed_reports, 1);
	if (why->code == ERROR_CONFLICT)
		counter_add(reporter->conflicts, 1);
	log_warning(&reporter->log,
		    "cannot report window %" PRIu64 " of '%s': %s",
		    window->start_s, window->partition, why->text);
}

static void report(struct usage_reporter *reporter,
		   struct usage_partition *partition,
		   const struct lease_hold *hold,
		   const struct usage_window *window)
{
	struct error why = ERROR_INIT;

	if (clock_now_ns(reporter->clock) < partition->retry_ns)
		return;
	if (reporter->port->vt->report(reporter->port, window, hold->epoch,
				       hold->deadline_ns, &why)) {
		record_failure(reporter, partition, window, &why);
		return;
	}
	partition->failures = 0;
	counter_add(reporter->reports, 1);
	acknowledge(reporter, partition, window->start_s);
}

/* Returns whether a record of this partition is still in flight. */
static int wait_for_record(struct usage_reporter *reporter,
			   struct usage_partition *partition)
{
	int64_t age_ns = clock_now_ns(reporter->clock) - partition->begun_ns;

	if (!partition->in_flight)
		return 0;
	if (!log_client_poll(reporter->client, &partition->waiter)) {
		if (age_ns < RECORD_TIMEOUT_NS)
			return 1;
		log_client_give_up(reporter->client, &partition->waiter);
	}
	partition->in_flight = 0;
	return 0;
}

static void step_partition(struct usage_reporter *reporter,
			   struct usage_partition *partition, uint64_t wall_s)
{
	struct partition_work work = { .reporter = reporter,
				       .partition = partition,
				       .wall_s = wall_s };
	struct lease_hold hold;

	if (wait_for_record(reporter, partition) ||
	    !lease_keeper_held(reporter->keeper, partition->lease,
			       clock_now_ns(reporter->clock), &hold))
		return;
	log_client_with_state(reporter->client, find_work, &work);
	if (work.closes)
		close_window(reporter, partition, &hold, work.close_start_s);
	else if (work.reports)
		report(reporter, partition, &hold, &work.window);
	free(work.window.figures);
}

void usage_reporter_step(struct usage_reporter *reporter, uint64_t wall_s)
{
	if (!log_client_recovered(reporter->client))
		return;
	add_partition(reporter, reporter->own_partition);
	log_client_with_state(reporter->client, add_logged_partitions,
			      reporter);
	for (uint32_t i = 0; i < reporter->count; i++) {
		request_lease(reporter, &reporter->partitions[i]);
		step_partition(reporter, &reporter->partitions[i], wall_s);
	}
}
