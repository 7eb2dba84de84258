#include "duty/usage_counter.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "proto/topic.pb-c.h"
#include "store/topic_message.h"

#define FLUSH_PERIOD_NS (1 * NS_PER_S)

struct usage_pending {
	uint64_t window;
	char team[64];
	uint64_t requests;
	struct usage_pending *next;
};

static struct usage_counter *counter_from_base(struct attempt_counter *base)
{
	return (struct usage_counter *)base;
}

static void on_timer(void *arg, int64_t now_ns)
{
	struct usage_counter *counter = arg;

	(void)now_ns;
	counter->timer_pending = 0;
	usage_counter_flush(counter);
}

static void schedule_flush(struct usage_counter *counter)
{
	if (counter->timer_pending)
		return;
	counter->timer_pending = 1;
	timer_subscribe_once(counter->timers, &counter->timer, FLUSH_PERIOD_NS,
			     on_timer, counter);
}

static void on_add(struct attempt_counter *base, const char *team,
		   int64_t began_wall_ms)
{
	struct usage_counter *counter = counter_from_base(base);
	uint64_t window = (uint64_t)(began_wall_ms / 1000) / counter->window_s;
	struct usage_pending *pending = counter->pending;

	counter_add(counter->requests, 1);
	while (pending &&
	       (pending->window != window || strcmp(pending->team, team)))
		pending = pending->next;
	if (!pending) {
		pending = xcalloc(1, sizeof(*pending));
		pending->window = window;
		if (copy_text(pending->team, sizeof(pending->team), team)) {
			free(pending);
			return;
		}
		pending->next = counter->pending;
		counter->pending = pending;
	}
	pending->requests++;
	schedule_flush(counter);
}

static void on_written(struct topic_write *write,
		       enum topic_write_outcome outcome)
{
	(void)outcome; /* never rejected, as it is persistent */
	topic_write_free(write);
}

/* Unlinks the counts of one window and returns them; the caller frees. */
static struct usage_pending *detach_window(struct usage_counter *counter,
					   uint64_t window)
{
	struct usage_pending **at = &counter->pending;
	struct usage_pending *detached = NULL;

	while (*at) {
		struct usage_pending *pending = *at;

		if (pending->window != window) {
			at = &pending->next;
			continue;
		}
		*at = pending->next;
		pending->next = detached;
		detached = pending;
	}
	return detached;
}

static void free_pending(struct usage_pending *pending)
{
	while (pending) {
		struct usage_pending *next = pending->next;

		free(pending);
		pending = next;
	}
}

static void pack_sum(const Currant__Topic__UsageSum *sum, struct strbuf *out)
{
	Currant__Topic__UsageRecord record = CURRANT__TOPIC__USAGE_RECORD__INIT;

	record.kind_case = CURRANT__TOPIC__USAGE_RECORD__KIND_SUM;
	record.sum = (Currant__Topic__UsageSum *)sum;
	topic_add_message(out, &record.base);
}

/* Moves the pending counts of the window to a record of the write. */
static void add_sum(struct usage_counter *counter, uint64_t window,
		    struct topic_write *write)
{
	struct usage_pending *detached = detach_window(counter, window);
	Currant__Topic__UsageSum sum = CURRANT__TOPIC__USAGE_SUM__INIT;
	Currant__Topic__TeamCount *counts;
	uint32_t count = 0;

	for (struct usage_pending *p = detached; p; p = p->next)
		count++;
	counts = xcalloc(count, sizeof(*counts));
	sum.counts = xcalloc(count, sizeof(void *));
	for (struct usage_pending *p = detached; p; p = p->next) {
		Currant__Topic__TeamCount *to = &counts[sum.n_counts];

		currant__topic__team_count__init(to);
		to->team = p->team;
		to->requests = p->requests;
		sum.counts[sum.n_counts++] = to;
	}
	sum.host = counter->host;
	sum.incarnation = counter->incarnation;
	sum.sequence = ++counter->sequence;
	sum.window = window;
	pack_sum(&sum, &write->records);
	write->record_count++;
	free(sum.counts);
	free(counts);
	free_pending(detached);
}

void usage_counter_flush(struct usage_counter *counter)
{
	struct topic_write *write;

	if (!counter->pending)
		return;
	write = topic_write_new(on_written, NULL);
	write->retry_until_done = 1;
	while (counter->pending)
		add_sum(counter, counter->pending->window, write);
	topic_writer_add(&counter->writer, write);
}

void usage_counter_init(struct usage_counter *counter, struct topic_log *log,
			struct timer_service *timers, const char *host,
			uint64_t incarnation, const char *writer_name,
			uint32_t window_s, struct counter_set *counters)
{
	memset(counter, 0, sizeof(*counter));
	counter->base.add = on_add;
	counter->timers = timers;
	counter->incarnation = incarnation;
	counter->window_s = window_s;
	copy_text(counter->host, sizeof(counter->host), host);
	topic_writer_init(&counter->writer, log, timers, USAGE_TOPIC, 0,
			  writer_name, counters);
	counter->requests = counter_get(counters, "usage_requests_total");
}

void usage_counter_finish(struct usage_counter *counter)
{
	timer_unsubscribe(counter->timers, &counter->timer);
	topic_writer_finish(&counter->writer);
	free_pending(counter->pending);
}
