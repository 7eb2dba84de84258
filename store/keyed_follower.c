#include "store/keyed_follower.h"

#include <string.h>

#include "base/alloc.h"
#include "base/backoff.h"

#define RETRY_FIRST_NS (50 * NS_PER_MS)
#define RETRY_MAX_NS (400 * NS_PER_MS)
/* The log counts as lost when reads have failed for longer than this. */
#define LOST_AFTER_NS (1 * NS_PER_S)
#define READ_MAX_BYTES (1024 * 1024)

static void on_page(struct topic_newest *newest);
static void on_read(struct topic_read *read);
static void on_item(struct topic_newest *newest, const char *key,
		    const void *value, size_t len, uint64_t offset);

void keyed_follower_init(struct keyed_follower *follower,
			 const struct keyed_follower_vtable *vt,
			 struct topic_log *log, struct timer_service *timers,
			 const struct keyed_follower_settings *settings,
			 struct counter_set *counters)
{
	struct topic_newest *newest = &follower->newest;
	struct topic_read *read = &follower->read;

	memset(follower, 0, sizeof(*follower));
	follower->vt = vt;
	follower->log = log;
	follower->timers = timers;
	follower->clock = timers->clock;
	follower->pause_ns = settings->pause_ns;
	follower->last_success_ns = INT64_MIN;
	copy_text(newest->topic, sizeof(newest->topic), settings->topic);
	strbuf_init(&newest->after);
	follower->page_limit_ns = settings->timeout_ns;
	/* No two hosts start at the same time by this clock. */
	rng_init(&follower->rng, (uint64_t)clock_now_ns(timers->clock));
	newest->each = on_item;
	newest->done = on_page;
	newest->arg = follower;
	copy_text(read->topic, sizeof(read->topic), settings->topic);
	read->max_bytes = READ_MAX_BYTES;
	read->wait_ns = settings->watch_ns;
	read->timeout_ns = settings->timeout_ns;
	strbuf_init(&read->records);
	read->done = on_read;
	read->arg = follower;
	if (!counters)
		return;
	follower->reads = counter_get(counters, "store_reads_total");
	follower->failed_reads =
		counter_get(counters, "store_reads_failed_total");
}

void keyed_follower_finish(struct keyed_follower *follower)
{
	if (follower->running)
		follower->log->vt->cancel(
			follower->log, follower->listing ? follower->newest.call
							 : follower->read.call);
	timer_unsubscribe(follower->timers, &follower->timer);
	strbuf_finish(&follower->newest.after);
	strbuf_finish(&follower->read.records);
}

static void start_call(struct keyed_follower *follower)
{
	follower->running = 1;
	follower->call_start_ns = clock_now_ns(follower->clock);
	counter_add(follower->reads, 1);
	if (follower->listing) {
		follower->newest.timeout_ns = list_patience_limit_ns(
			&follower->patience, follower->page_limit_ns);
		follower->log->vt->newest(follower->log, &follower->newest);
		return;
	}
	follower->read.from = follower->next;
	follower->log->vt->read(follower->log, &follower->read);
}

static void on_timer(void *arg, int64_t now_ns)
{
	(void)now_ns;
	start_call(arg);
}

static void call_after(struct keyed_follower *follower, int64_t delay_ns)
{
	if (delay_ns <= 0)
		start_call(follower);
	else
		timer_subscribe_once(follower->timers, &follower->timer,
				     delay_ns, on_timer, follower);
}

static void start_listing(struct keyed_follower *follower)
{
	follower->listing = 1;
	follower->has_listing_end = 0;
	strbuf_reset(&follower->newest.after);
	if (follower->vt->listing)
		follower->vt->listing(follower);
}

void keyed_follower_start(struct keyed_follower *follower)
{
	follower->last_success_ns = clock_now_ns(follower->clock);
	start_listing(follower);
	start_call(follower);
}

static void on_success(struct keyed_follower *follower)
{
	int64_t outage_ns = follower->call_start_ns - follower->last_success_ns;

	if (follower->failures && follower->vt->gap)
		follower->vt->gap(follower, outage_ns);
	follower->failures = 0;
	follower->last_success_ns = follower->call_start_ns;
	if (!follower->is_lost)
		return;
	follower->is_lost = 0;
	if (follower->vt->regained)
		follower->vt->regained(follower, outage_ns);
}

/* The next try is made after a pause of `pause_min_ns` at least. */
static void on_failure(struct keyed_follower *follower,
		       enum topic_outcome outcome, int64_t pause_min_ns)
{
	int64_t now_ns = clock_now_ns(follower->clock);
	int64_t pause_ns =
		backoff_ns(RETRY_FIRST_NS, RETRY_MAX_NS, follower->failures++);

	counter_add(follower->failed_reads, 1);
	if (!follower->is_lost &&
	    now_ns - follower->last_success_ns > LOST_AFTER_NS) {
		follower->is_lost = 1;
		if (follower->vt->lost)
			follower->vt->lost(follower, outcome);
	}
	call_after(follower, pause_ns > pause_min_ns ? pause_ns : pause_min_ns);
}

static void on_item(struct topic_newest *newest, const char *key,
		    const void *value, size_t len, uint64_t offset)
{
	struct keyed_follower *follower = newest->arg;

	follower->vt->put(follower, key, value, len, offset);
}

static void notify_caught_up(struct keyed_follower *follower, int64_t as_of_ns)
{
	if (follower->vt->caught_up)
		follower->vt->caught_up(follower, as_of_ns);
}

static void end_listing(struct keyed_follower *follower)
{
	follower->listing = 0;
	follower->patience.given_up = 0;
	follower->is_listed = 1;
	follower->next = follower->listing_end;
	if (follower->vt->listed)
		follower->vt->listed(follower, follower->listing_end);
	notify_caught_up(follower, follower->listing_start_ns);
}

static void on_failed_page(struct keyed_follower *follower)
{
	int64_t took_ns =
		clock_now_ns(follower->clock) - follower->call_start_ns;
	int64_t pause_ns = 0;

	if (took_ns >= follower->newest.timeout_ns) {
		/* Goes on behind the last page. */
		follower->patience.given_up++;
		pause_ns = list_patience_pause_ns(&follower->patience,
						  follower->page_limit_ns,
						  rng_unit(&follower->rng));
	} else {
		/* The page may have been read in part. */
		start_listing(follower);
	}
	on_failure(follower, follower->newest.outcome, pause_ns);
}

static void on_page(struct topic_newest *newest)
{
	struct keyed_follower *follower = newest->arg;

	follower->running = 0;
	if (newest->outcome != TOPIC_OK) {
		on_failed_page(follower);
		return;
	}
	on_success(follower);
	if (!follower->has_listing_end) {
		follower->listing_end = newest->end;
		follower->listing_start_ns = follower->call_start_ns;
	}
	follower->has_listing_end = 1;
	if (!newest->has_more)
		end_listing(follower);
	start_call(follower);
}

static void apply_record(struct keyed_follower *follower, const uint8_t *data,
			 size_t len, uint64_t offset)
{
	char key[KEYED_KEY_BYTES];
	const uint8_t *value;
	size_t value_len;

	if (topic_split_keyed(data, len, key, sizeof(key), &value, &value_len))
		return;
	if (value_len)
		follower->vt->put(follower, key, value, value_len, offset);
	else
		follower->vt->drop(follower, key, offset);
}

/* Returns the number of records in the answer. */
static uint32_t apply_answer(struct keyed_follower *follower)
{
	struct topic_read *read = &follower->read;
	const uint8_t *data;
	uint32_t count = 0;
	size_t len;
	size_t at = 0;

	while (topic_next_record(&read->records, &at, &data, &len)) {
		apply_record(follower, data, len, follower->next);
		follower->next++;
		count++;
	}
	strbuf_finish(&read->records);
	return count;
}

static void on_read(struct topic_read *read)
{
	struct keyed_follower *follower = read->arg;
	int has_records;

	follower->running = 0;
	if (read->outcome == TOPIC_FORGOTTEN) {
		on_success(follower);
		start_listing(follower);
		start_call(follower);
		return;
	}
	if (read->outcome != TOPIC_OK) {
		on_failure(follower, read->outcome, 0);
		return;
	}
	on_success(follower);
	has_records = apply_answer(follower) > 0;
	if (follower->next >= read->end)
		notify_caught_up(follower, follower->call_start_ns);
	call_after(follower, has_records ? follower->pause_ns : 0);
}
