#include "usage/usage_flush.h"

#include <string.h>

#include "base/alloc.h"
#include "state/usage_figure.h"

void usage_flush_init(struct usage_flush *flush, struct log_client *client,
		      struct usage_meter *meter, const char *partition,
		      int64_t interval_ns, struct counter_set *counters)
{
	memset(flush, 0, sizeof(*flush));
	flush->client = client;
	flush->meter = meter;
	copy_text(flush->partition, sizeof(flush->partition), partition);
	flush->interval_ns = interval_ns;
	if (counters)
		flush->refused =
			counter_get(counters, "usage_partials_refused_total");
}

void usage_flush_finish(struct usage_flush *flush)
{
	if (flush->in_flight)
		log_client_give_up(flush->client, &flush->waiter);
}

static void put_back(struct usage_flush *flush)
{
	usage_meter_put_back(flush->meter, flush->entries, flush->entry_count);
	flush->entry_count = 0;
}

/* Returns whether the partial is still in flight. */
static int wait_for_partial(struct usage_flush *flush, int64_t now_ns)
{
	if (!flush->in_flight)
		return 0;
	if (!log_client_poll(flush->client, &flush->waiter))
		return 1;
	flush->in_flight = 0;
	if (flush->waiter.result.why.code == ERROR_UNKNOWN_OUTCOME) {
		/* It may have been applied; a retry could bill it twice. */
		for (uint32_t i = 0; i < flush->entry_count; i++)
			counter_add(flush->meter->lost,
				    (int64_t)flush->entries[i].figure.requests);
	} else if (!flush->waiter.result.accepted) {
		counter_add(flush->refused, 1);
		put_back(flush);
		flush->due_ns = now_ns + flush->interval_ns;
	}
	flush->entry_count = 0;
	return 0;
}

static int begin(struct usage_flush *flush)
{
	Currant__UsagePartial partial = CURRANT__USAGE_PARTIAL__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;
	Currant__UsageSum sums[USAGE_FLUSH_MAX];
	Currant__UsageSum *list[USAGE_FLUSH_MAX];

	for (uint32_t i = 0; i < flush->entry_count; i++) {
		usage_figure_to_sum(&flush->entries[i].figure, &sums[i]);
		list[i] = &sums[i];
	}
	partial.window_start_s = flush->entries[0].window_start_s;
	partial.partition = flush->partition;
	partial.sums = list;
	partial.n_sums = flush->entry_count;
	record.body_case = CURRANT__RECORD__BODY_USAGE_PARTIAL;
	record.usage_partial = &partial;
	memset(&flush->waiter, 0, sizeof(flush->waiter));
	return log_client_begin(flush->client, &record, 0, &flush->waiter,
				NULL);
}

void usage_flush_step(struct usage_flush *flush, int64_t now_ns)
{
	if (wait_for_partial(flush, now_ns) || now_ns < flush->due_ns)
		return;
	flush->entry_count =
		usage_meter_take(flush->meter, flush->entries, USAGE_FLUSH_MAX);
	/* If more usage is pending, the next partial follows at once. */
	if (!usage_meter_requests(flush->meter))
		flush->due_ns = now_ns + flush->interval_ns;
	if (!flush->entry_count)
		return;
	if (begin(flush)) {
		put_back(flush);
		flush->due_ns = now_ns + flush->interval_ns;
		return;
	}
	flush->in_flight = 1;
}

void usage_flush_now(struct usage_flush *flush)
{
	flush->due_ns = 0;
}

int usage_flush_is_empty(struct usage_flush *flush)
{
	return !flush->in_flight && !usage_meter_requests(flush->meter);
}
