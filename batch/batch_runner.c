#include "batch/batch_runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "base/hash.h"
#include "batch/batch_runner_private.h"

#define WATCH_PERIOD_NS (100 * NS_PER_MS)
/* An engine that refused a run is asked again after this time. */
#define REFUSED_PAUSE_NS (60 * NS_PER_MS)
/* A load of weights whose end is not told is taken for over after this. */
#define LOAD_MAX_NS (2500 * NS_PER_MS)
/* An item whose run was cut waits this long, so that no loop spins. */
#define CUT_PAUSE_NS (10 * NS_PER_MS)
/*
 * From then on each cut without a new event doubles the pause, so that an
 * item does not hammer engines that are being lost. It is still owed: a step
 * is due 7.5 s after its submission, and its longest items take 6.4 s.
 */
#define CUTS_IN_VAIN 3
#define CUT_PAUSE_MAX_NS (500 * NS_PER_MS)

const char *runner_model(const struct run_item *item)
{
	const char *model = item->spec->model;

	return *model ? model : item->owner->batch->model;
}

const struct entry_route *runner_route(const struct batch_runner *runner,
				       const struct run_item *item)
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

void batch_runner_note_load(struct batch_runner *runner, const char *server,
			    const char *model, uint64_t version, int loaded)
{
	struct fleet_server *found = fleet_find(runner->fleet, server);
	struct engine_state *engine;

	if (!found)
		return;
	engine = engine_state_get(found, &runner->engines);
	if (loaded)
		engine_state_saw_version(engine, model, version);
	engine_state_block(engine, model,
			   loaded ? 0 : runner_now_ns(runner) + LOAD_MAX_NS);
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
	timer_subscribe_once(&runner->reactor->timers, &runner->schedule, 0,
			     on_schedule, runner);
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

/* Watches as long as there is something to run. */
static void update_watch(struct batch_runner *runner)
{
	int wanted = has_batches(runner);

	if (wanted == runner->watching)
		return;
	runner->watching = wanted;
	if (wanted)
		timer_subscribe(&runner->reactor->timers, &runner->watch,
				WATCH_PERIOD_NS, on_watch, runner);
	else
		timer_unsubscribe(&runner->reactor->timers, &runner->watch);
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
	struct run_batch *run_batch = runner_find_batch(owned, batch);
	struct run_item *item;

	if (!run_batch)
		return;
	item = &run_batch->items[listed];
	if (item->run)
		item_run_cancel(item->run);
	if (item->reward)
		reward_call_cancel(item->reward);
	run_item_set_state(item, RUN_ITEM_DONE);
	if (run_batch->is_loaded)
		run_batch->groups[item->group].left--;
	if (batch_is_done(batch))
		runner_remove_batch(owned, run_batch);
	update_watch(owned->runner);
	batch_runner_wake(owned->runner);
}

/*
 * Groups that are not whole may come again with the trainer's next batch,
 * those of their items included that the trainer has.
 */
static void keep_texts(struct batch_runner *runner,
		       const struct run_batch *run_batch)
{
	const struct batch *batch = run_batch->batch;

	if (!run_batch->is_loaded)
		return;
	for (uint32_t i = 0; i < batch->item_count; i++) {
		const struct run_item *item = &run_batch->items[i];

		if (run_batch->groups[item->group].left)
			carried_texts_keep(&runner->carried, batch->items[i].id,
					   &item->made);
	}
}

static void on_ended(struct batch_table_listener *listener, struct batch *batch)
{
	struct owned_partition *owned = owned_of(listener);
	struct run_batch *run_batch = runner_find_batch(owned, batch);

	if (!run_batch)
		return;
	keep_texts(owned->runner, run_batch);
	runner_remove_batch(owned, run_batch);
	update_watch(owned->runner);
	batch_runner_wake(owned->runner);
}

static void report_run(struct batch_runner *runner, const struct item_run *run,
		       const char *outcome)
{
	struct record record;

	record_begin(&record, runner->log, "items", "run_ended");
	record_text(&record, "batch", run->item->owner->batch->id);
	record_text(&record, "item", run_item_id(run->item));
	record_text(&record, "server", run->engine->server->entry.id);
	record_text(&record, "outcome", outcome);
	record_int(&record, "status", run->answer.status);
	record_int(&record, "events", run->event_count);
	record_int(&record, "last_event", run->item->made.last_event);
	record_int(&record, "version", (int64_t)run->version);
	record_ms(&record, "took_ms", runner_now_ns(runner) - run->began_ns);
	record_end(&record);
}

static void wait_again(struct run_item *item, int64_t not_before_ns)
{
	run_item_set_state(item, RUN_ITEM_WAITING);
	item->not_before_ns = not_before_ns;
}

void runner_requeue(struct batch_runner *runner, struct item_run *run,
		    const char *reason)
{
	struct run_item *item = run->item;

	report_run(runner, run, reason);
	counter_add(runner->moved, 1);
	item_run_cancel(run);
	wait_again(item, 0);
	batch_runner_wake(runner);
}

/* The engine does not take the run: others do meanwhile. */
static void learn_refusal(struct batch_runner *runner, struct item_run *run)
{
	struct fleet_server *server = run->engine->server;
	int64_t now_ns = runner_now_ns(runner);

	if (run->answer.status)
		engine_state_block(run->engine, run->model,
				   now_ns + REFUSED_PAUSE_NS);
	else
		circuit_failed(&server->circuit, &runner->rng, now_ns);
}

static void give_up_or_wait(struct batch_runner *runner, struct run_item *item)
{
	item->failed_runs++;
	if (item->failed_runs >= item->owner->batch->max_attempts)
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    "failed_runs");
}

static void wait_after_cut(struct run_item *item, int64_t now_ns)
{
	int64_t pause_ns = CUT_PAUSE_NS;

	if (item->made.last_event > item->cut_event)
		item->cuts = 0;
	item->cut_event = item->made.last_event;
	item->cuts++;
	for (uint32_t i = CUTS_IN_VAIN;
	     i < item->cuts && pause_ns < CUT_PAUSE_MAX_NS; i++)
		pause_ns *= 2;
	item->not_before_ns = now_ns + pause_ns;
}

static void on_run_ended(struct item_run_owner *owner, struct item_run *run,
			 enum item_run_end end)
{
	struct batch_runner *runner = (struct batch_runner *)owner;
	struct run_item *item = run->item;
	int64_t now_ns = runner_now_ns(runner);

	counter_add(runner->runs_ended[end], 1);
	report_run(runner, run, item_run_end_name(end));
	wait_again(item, 0);
	if (end != ITEM_RUN_COMPLETE)
		item->failed_at = hash_text(run->engine->server->entry.id, 0);
	switch (end) {
	case ITEM_RUN_COMPLETE:
		circuit_succeeded(&run->engine->server->circuit);
		runner_take_text(runner, item, NULL);
		break;
	case ITEM_RUN_NOT_RUN:
		learn_refusal(runner, run);
		break;
	case ITEM_RUN_FAILED:
		give_up_or_wait(runner, item);
		break;
	case ITEM_RUN_REJECTED:
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    "rejected");
		break;
	case ITEM_RUN_CUT:
		circuit_failed(&run->engine->server->circuit, &runner->rng,
			       now_ns);
		wait_after_cut(item, now_ns);
		break;
	case ITEM_RUN_UNFIT:
		engine_state_block(run->engine, run->model,
				   now_ns + REFUSED_PAUSE_NS);
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
	.listed = on_listed,
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
	runner->run_owner.ended = on_run_ended;
	runner->run_owner.log = log;
	runner->reactor = reactor;
	runner->pool = pool;
	runner->fleet = fleet;
	runner->config = config;
	runner->store = store;
	runner->log = log;
	runner->data_centre = data_centre;
	rng_init(&runner->rng, seed);
	runner->sample_seed = seed;
	carried_texts_init(&runner->carried);
	runner_rewards_init(runner, counters);
	runner->fleet_listener.changed = on_server_changed;
	runner->fleet_listener.removed = on_server_changed;
	fleet_add_listener(fleet, &runner->fleet_listener);
	runner->runs_started = counter_get(counters, "item_runs_total");
	for (uint32_t i = 0; i < ARRAY_SIZE(runner->runs_ended); i++) {
		snprintf(name, sizeof(name),
			 "item_runs_ended_total{outcome=\"%s\"}",
			 item_run_end_name((enum item_run_end)i));
		runner->runs_ended[i] = counter_get(counters, name);
	}
	runner->results = counter_get(counters, "item_results_total");
	runner->moved = counter_get(counters, "item_runs_moved_total");
	runner->reused_texts = counter_get(counters, "item_texts_reused_total");
}

static void free_owned(struct owned_partition *owned)
{
	struct run_batch *batch = owned->batches;

	batch_table_remove_listener(&owned->partition->table, &owned->listener);
	while (batch) {
		struct run_batch *next = batch->next;

		runner_remove_batch(owned, batch);
		batch = next;
	}
	free(owned);
}

void batch_runner_finish(struct batch_runner *runner)
{
	struct owned_partition *owned = runner->owned;
	struct engine_state *engine;

	timer_unsubscribe(&runner->reactor->timers, &runner->schedule);
	timer_unsubscribe(&runner->reactor->timers, &runner->watch);
	timer_unsubscribe(&runner->reactor->timers, &runner->rewards);
	while (owned) {
		struct owned_partition *next = owned->next;

		free_owned(owned);
		owned = next;
	}
	runner->owned = NULL;
	engine = runner->engines;
	while (engine) {
		struct engine_state *next = engine->next;

		engine_state_drop(engine, &runner->engines);
		engine = next;
	}
	carried_texts_finish(&runner->carried);
}

static struct owned_partition **
find_place(struct batch_runner *runner, const struct batch_partition *partition)
{
	struct owned_partition **at = &runner->owned;

	while (*at && (*at)->partition != partition)
		at = &(*at)->next;
	return at;
}

int batch_runner_has(const struct batch_runner *runner,
		     const struct batch_partition *partition)
{
	const struct owned_partition *owned = runner->owned;

	while (owned && owned->partition != partition)
		owned = owned->next;
	return owned != NULL;
}

void batch_runner_take(struct batch_runner *runner,
		       struct batch_partition *partition)
{
	struct owned_partition *owned;

	if (batch_runner_has(runner, partition))
		return;
	owned = xcalloc(1, sizeof(*owned));
	owned->listener = listener_calls;
	owned->runner = runner;
	owned->partition = partition;
	owned->next = runner->owned;
	runner->owned = owned;
	batch_table_add_listener(&partition->table, &owned->listener);
	topic_follower_want(&partition->follower);
	for (struct batch *b = partition->table.oldest; b; b = b->newer)
		runner_add_batch(owned, b);
	update_watch(runner);
}

void batch_runner_leave(struct batch_runner *runner,
			struct batch_partition *partition, int hand_over)
{
	struct owned_partition **at = find_place(runner, partition);
	struct owned_partition *owned = *at;

	if (!owned)
		return;
	if (hand_over)
		runner_store_progress(runner, owned);
	*at = owned->next;
	topic_follower_unwant(&partition->follower);
	free_owned(owned);
	update_watch(runner);
}
