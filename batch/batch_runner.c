#include "batch/batch_runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "base/hash.h"
#include "batch/batch_runner_private.h"

#define WATCH_PERIOD_NS (100 * NS_PER_MS)
/* No attempt is sent to an engine for this time after it rejected one. */
#define REJECTED_BACKOFF_NS (60 * NS_PER_MS)
/* A weight load whose end is not reported counts as over after this time. */
#define WEIGHT_LOAD_TIMEOUT_NS (2500 * NS_PER_MS)
/* Minimum delay after a cut attempt; prevents a busy retry loop. */
#define CUT_DELAY_NS (10 * NS_PER_MS)
/*
 * From this number of cuts in a row without a new event, each further cut
 * doubles the delay, to spare engines that are failing. The maximum is short
 * because the item is still due: a step is due 7.5 s after its submission, and
 * its longest items take 6.4 s.
 */
#define CUTS_BEFORE_BACKOFF 3
#define CUT_BACKOFF_MAX_NS (500 * NS_PER_MS)

const char *runner_model(const struct active_item *item)
{
	const char *model = item->spec->model;

	return *model ? model : item->owner->batch->model;
}

struct item_text_key runner_text_key(const struct active_item *item)
{
	struct item_text_key key = {
		.team = item->owner->batch->team,
		.model = runner_model(item),
		.id = active_item_id(item),
	};

	return key;
}

const struct entry_route *runner_route(const struct batch_runner *runner,
				       const struct active_item *item)
{
	if (!runner->config->current)
		return NULL;
	return entry_config_route(runner->config->current,
				  item->owner->batch->host, item->spec->path);
}

int64_t runner_now_ns(const struct batch_runner *runner)
{
	return reactor_now_ns(runner->reactor);
}

static struct owned_partition *owned_of(struct batch_table_listener *listener)
{
	return (struct owned_partition *)listener;
}

void batch_runner_weight_load_changed(struct batch_runner *runner,
				      const char *server, const char *model,
				      uint64_t version, int loaded)
{
	struct fleet_server *found = fleet_find(runner->fleet, server);
	struct engine_state *engine;

	if (!found)
		return;
	engine = engine_state_get(found, &runner->engines);
	if (loaded)
		engine_state_set_seen_version(engine, model, version);
	engine_state_block(
		engine, model,
		loaded ? 0 : runner_now_ns(runner) + WEIGHT_LOAD_TIMEOUT_NS);
	batch_runner_wake(runner);
}

static void on_schedule(void *arg, int64_t now_ns)
{
	struct batch_runner *runner = arg;

	(void)now_ns;
	runner->schedule_pending = 0;
	runner_place_items(runner);
}

void batch_runner_wake(struct batch_runner *runner)
{
	if (runner->schedule_pending || !runner->owned)
		return;
	runner->schedule_pending = 1;
	timer_subscribe_once(&runner->reactor->timers, &runner->schedule_timer,
			     0, on_schedule, runner);
}

static void on_watch(void *arg, int64_t now_ns)
{
	(void)now_ns;
	runner_watch(arg);
}

static int has_batches(const struct batch_runner *runner)
{
	const struct owned_partition *owned = runner->owned;

	while (owned && !owned->batches)
		owned = owned->next;
	return owned != NULL;
}

/* The watch timer runs only while there are batches to run. */
static void update_watch(struct batch_runner *runner)
{
	int wanted = has_batches(runner);

	if (wanted == runner->watching)
		return;
	runner->watching = wanted;
	if (wanted)
		timer_subscribe(&runner->reactor->timers, &runner->watch_timer,
				WATCH_PERIOD_NS, on_watch, runner);
	else
		timer_unsubscribe(&runner->reactor->timers,
				  &runner->watch_timer);
}

static void on_accepted(struct batch_table_listener *listener,
			struct batch *batch)
{
	struct owned_partition *owned = owned_of(listener);

	runner_add_batch(owned, batch);
	update_watch(owned->runner);
}

static void on_listed(struct batch_table_listener *listener,
		      struct batch *batch, uint32_t listed)
{
	struct owned_partition *owned = owned_of(listener);
	struct active_batch *active_batch = runner_find_batch(owned, batch);
	struct active_item *item;

	if (!active_batch)
		return;
	item = &active_batch->items[listed];
	if (item->attempt)
		item_attempt_cancel(item->attempt);
	if (item->reward)
		reward_call_cancel(item->reward);
	active_item_set_state(item, ACTIVE_ITEM_DONE);
	if (active_batch->is_loaded)
		active_batch->groups[item->group].left--;
	if (batch_is_done(batch))
		runner_remove_batch(owned, active_batch);
	update_watch(owned->runner);
	batch_runner_wake(owned->runner);
}

/*
 * Incomplete groups may be submitted again with the trainer's next batch,
 * including those of their items whose results the trainer already has.
 */
static void cache_incomplete_groups(struct batch_runner *runner,
				    const struct active_batch *active_batch)
{
	const struct batch *batch = active_batch->batch;

	if (!active_batch->is_loaded)
		return;
	for (uint32_t i = 0; i < batch->item_count; i++) {
		const struct active_item *item = &active_batch->items[i];
		struct item_text_key key = runner_text_key(item);

		if (active_batch->groups[item->group].left)
			item_text_cache_put(&runner->text_cache, &key,
					    &item->output);
	}
}

static void on_ended(struct batch_table_listener *listener, struct batch *batch)
{
	struct owned_partition *owned = owned_of(listener);
	struct active_batch *active_batch = runner_find_batch(owned, batch);

	if (!active_batch)
		return;
	cache_incomplete_groups(owned->runner, active_batch);
	runner_remove_batch(owned, active_batch);
	update_watch(owned->runner);
	batch_runner_wake(owned->runner);
}

static void report_attempt_end(struct batch_runner *runner,
			       const struct item_attempt *attempt,
			       const char *outcome)
{
	struct record record;

	record_begin(&record, runner->log, "items", "run_ended");
	record_text(&record, "batch", attempt->item->owner->batch->id);
	record_text(&record, "item", active_item_id(attempt->item));
	record_text(&record, "server", attempt->engine->server->entry.id);
	record_text(&record, "outcome", outcome);
	record_int(&record, "status", attempt->answer.status);
	record_int(&record, "events", attempt->event_count);
	record_int(&record, "last_event", attempt->item->output.last_event);
	record_int(&record, "version", (int64_t)attempt->version);
	record_ms(&record, "took_ms",
		  runner_now_ns(runner) - attempt->started_ns);
	record_end(&record);
}

static void set_waiting(struct active_item *item, int64_t not_before_ns)
{
	active_item_set_state(item, ACTIVE_ITEM_WAITING);
	item->not_before_ns = not_before_ns;
}

void runner_requeue(struct batch_runner *runner, struct item_attempt *attempt,
		    const char *reason)
{
	struct active_item *item = attempt->item;

	report_attempt_end(runner, attempt, reason);
	counter_add(runner->attempts_moved, 1);
	item_attempt_cancel(attempt);
	set_waiting(item, 0);
	batch_runner_wake(runner);
}

/* Keeps attempts away from an engine that ran none or lacks fit weights. */
static void back_off_server(struct batch_runner *runner,
			    struct item_attempt *attempt)
{
	struct circuit *circuit = &attempt->engine->server->circuit;
	int64_t now_ns = runner_now_ns(runner);

	if (!attempt->answer.status) {
		circuit_failed(circuit, &runner->rng, now_ns);
		return;
	}
	circuit_answered(circuit);
	engine_state_block(attempt->engine, attempt->model,
			   now_ns + REJECTED_BACKOFF_NS);
}

static void count_failed_attempt(struct batch_runner *runner,
				 struct active_item *item)
{
	item->failed_runs++;
	if (item->failed_runs >= item->owner->batch->max_attempts)
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    "failed_runs");
}

static void back_off_after_cut(struct active_item *item, int64_t now_ns)
{
	int64_t delay_ns = CUT_DELAY_NS;

	if (item->output.last_event > item->event_at_cut)
		item->cuts_in_a_row = 0;
	item->event_at_cut = item->output.last_event;
	item->cuts_in_a_row++;
	for (uint32_t i = CUTS_BEFORE_BACKOFF;
	     i < item->cuts_in_a_row && delay_ns < CUT_BACKOFF_MAX_NS; i++)
		delay_ns *= 2;
	item->not_before_ns = now_ns + delay_ns;
}

static void on_attempt_ended(struct item_attempt_owner *owner,
			     struct item_attempt *attempt,
			     enum item_attempt_outcome outcome)
{
	struct batch_runner *runner = (struct batch_runner *)owner;
	struct circuit *circuit = &attempt->engine->server->circuit;
	struct active_item *item = attempt->item;
	int64_t now_ns = runner_now_ns(runner);

	counter_add(runner->attempts_ended[outcome], 1);
	load_counters_add(&runner->load_counters, &attempt->answer);
	report_attempt_end(runner, attempt, item_attempt_outcome_name(outcome));
	set_waiting(item, 0);
	if (outcome != ITEM_ATTEMPT_COMPLETE)
		item->failed_server_hash =
			hash_text(attempt->engine->server->entry.id, 0);
	switch (outcome) {
	case ITEM_ATTEMPT_COMPLETE:
		circuit_succeeded(circuit);
		runner_complete_text(runner, item, NULL);
		break;
	case ITEM_ATTEMPT_NOT_RUN:
	case ITEM_ATTEMPT_UNFIT:
		back_off_server(runner, attempt);
		break;
	case ITEM_ATTEMPT_FAILED:
		circuit_answered(circuit);
		count_failed_attempt(runner, item);
		break;
	case ITEM_ATTEMPT_REJECTED:
		circuit_answered(circuit);
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    "rejected");
		break;
	case ITEM_ATTEMPT_CUT:
		circuit_failed(circuit, &runner->rng, now_ns);
		back_off_after_cut(item, now_ns);
		break;
	case ITEM_ATTEMPT_TOO_LARGE:
		/* Another engine may end the text in time. */
		item_text_finish(&item->output);
		item_text_init(&item->output);
		engine_state_block(attempt->engine, attempt->model,
				   now_ns + REJECTED_BACKOFF_NS);
		back_off_after_cut(item, now_ns);
		break;
	}
	batch_runner_wake(runner);
}

static void on_server_changed(struct fleet_listener *listener,
			      struct fleet_server *server)
{
	struct batch_runner *runner =
		container_of(listener, struct batch_runner, fleet_listener);

	(void)server;
	batch_runner_wake(runner);
}

static const struct batch_table_listener listener_calls = {
	.accepted = on_accepted,
	.result_added = on_listed,
	.ended = on_ended,
	.dropped = on_ended,
};

void batch_runner_init(struct batch_runner *runner, struct reactor *reactor,
		       struct net_pool *pool, struct fleet *fleet,
		       struct config_holder *config, struct topic_log *store,
		       struct record_log *log, struct counter_set *counters,
		       const char *data_centre, uint64_t seed)
{
	char name[COUNTER_NAME_MAX];

	memset(runner, 0, sizeof(*runner));
	runner->attempt_owner.ended = on_attempt_ended;
	runner->attempt_owner.log = log;
	runner->reactor = reactor;
	runner->pool = pool;
	runner->fleet = fleet;
	runner->config = config;
	runner->store = store;
	runner->log = log;
	runner->data_centre = data_centre;
	rng_init(&runner->rng, seed);
	runner->sample_seed = seed;
	item_text_cache_init(&runner->text_cache);
	runner_rewards_init(runner, counters);
	runner->fleet_listener.changed = on_server_changed;
	runner->fleet_listener.removed = on_server_changed;
	fleet_add_listener(fleet, &runner->fleet_listener);
	load_counters_init(&runner->load_counters, counters);
	runner->attempts_started = counter_get(counters, "item_runs_total");
	for (uint32_t i = 0; i < ARRAY_SIZE(runner->attempts_ended); i++) {
		snprintf(name, sizeof(name),
			 "item_runs_ended_total{outcome=\"%s\"}",
			 item_attempt_outcome_name(
				 (enum item_attempt_outcome)i));
		runner->attempts_ended[i] = counter_get(counters, name);
	}
	runner->results = counter_get(counters, "item_results_total");
	runner->attempts_moved = counter_get(counters, "item_runs_moved_total");
	runner->reused_texts = counter_get(counters, "item_texts_reused_total");
	runner->config_waits =
		counter_get(counters, "batch_config_waits_total");
}

static void free_owned(struct owned_partition *owned)
{
	struct active_batch *batch = owned->batches;

	batch_table_remove_listener(&owned->partition->table, &owned->listener);
	while (batch) {
		struct active_batch *next = batch->next;

		runner_remove_batch(owned, batch);
		batch = next;
	}
	free(owned);
}

void batch_runner_finish(struct batch_runner *runner)
{
	struct owned_partition *owned = runner->owned;
	struct engine_state *engine;

	timer_unsubscribe(&runner->reactor->timers, &runner->schedule_timer);
	timer_unsubscribe(&runner->reactor->timers, &runner->watch_timer);
	timer_unsubscribe(&runner->reactor->timers, &runner->reward_timer);
	while (owned) {
		struct owned_partition *next = owned->next;

		free_owned(owned);
		owned = next;
	}
	runner->owned = NULL;
	engine = runner->engines;
	while (engine) {
		struct engine_state *next = engine->next;

		engine_state_remove(engine, &runner->engines);
		engine = next;
	}
	item_text_cache_finish(&runner->text_cache);
}

static struct owned_partition **
find_owned_link(struct batch_runner *runner,
		const struct batch_partition *partition)
{
	struct owned_partition **at = &runner->owned;

	while (*at && (*at)->partition != partition)
		at = &(*at)->next;
	return at;
}

int batch_runner_has_partition(const struct batch_runner *runner,
			       const struct batch_partition *partition)
{
	const struct owned_partition *owned = runner->owned;

	while (owned && owned->partition != partition)
		owned = owned->next;
	return owned != NULL;
}

void batch_runner_add_partition(struct batch_runner *runner,
				struct batch_partition *partition)
{
	struct owned_partition *owned;

	if (batch_runner_has_partition(runner, partition))
		return;
	owned = xcalloc(1, sizeof(*owned));
	owned->listener = listener_calls;
	owned->runner = runner;
	owned->partition = partition;
	owned->next = runner->owned;
	runner->owned = owned;
	batch_table_add_listener(&partition->table, &owned->listener);
	topic_follower_watch_ref(&partition->follower);
	for (struct batch *b = partition->table.oldest; b; b = b->newer)
		runner_add_batch(owned, b);
	update_watch(runner);
}

void batch_runner_remove_partition(struct batch_runner *runner,
				   struct batch_partition *partition,
				   int hand_over)
{
	struct owned_partition **at = find_owned_link(runner, partition);
	struct owned_partition *owned = *at;

	if (!owned)
		return;
	if (hand_over)
		runner_store_progress(runner, owned);
	*at = owned->next;
	topic_follower_watch_unref(&partition->follower);
	free_owned(owned);
	update_watch(runner);
}
