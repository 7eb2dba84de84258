#include "batch/batch_runner_private.h"

/*
 * An engine whose stream brings nothing for this long is taken for dead;
 * events of a sound one come every few tens of milliseconds, and a load of
 * weights holds them up for about a second.
 */
#define SILENCE_NS (1500 * NS_PER_MS)
/* How long no run goes to an engine that fell silent. */
#define SUSPECT_NS (2 * NS_PER_S)

static int is_leaving(const struct engine_state *engine)
{
	const struct fleet_server *server = engine->server;

	return server->gone || server->entry.leaving || server->saw_leaving;
}

static void check_run(struct batch_runner *runner, struct item_run *run,
		      int64_t now_ns)
{
	if (is_leaving(run->engine)) {
		runner_requeue(runner, run, "server_leaves");
		return;
	}
	if (now_ns - run->event_ns < SILENCE_NS)
		return;
	run->engine->suspect_until_ns = now_ns + SUSPECT_NS;
	circuit_failed(&run->engine->server->circuit, &runner->rng, now_ns);
	runner_requeue(runner, run, "silent");
}

static void check_runs(struct batch_runner *runner)
{
	int64_t now_ns = runner_now_ns(runner);
	struct item_run *run = runner->run_owner.runs;

	while (run) {
		struct item_run *next = run->next;

		check_run(runner, run, now_ns);
		run = next;
	}
}

/* Items that may be given up, since nobody waits for them that long. */
static void check_batch(struct batch_runner *runner, struct run_batch *batch)
{
	int64_t age_ms = clock_wall_ms(&runner->reactor->clock) -
			 batch->batch->accepted_ms;
	int is_over = batch->batch->retention_ms &&
		      age_ms > batch->batch->retention_ms;

	if (!batch->is_loaded) {
		if (batch->load_at_ns &&
		    runner_now_ns(runner) >= batch->load_at_ns)
			runner_load_batch(batch);
		return;
	}
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct run_item *item = &batch->items[i];

		if (item->state == RUN_ITEM_STORING ||
		    item->state == RUN_ITEM_DONE)
			continue;
		if (!is_over && runner_route(runner, item))
			continue;
		if (item->run)
			runner_requeue(runner, item->run, "given_up");
		if (item->reward)
			reward_call_cancel(item->reward);
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    is_over ? "retention" : "no_route");
	}
}

/* Engines that left the fleet and have no run any more. */
static void drop_engines(struct batch_runner *runner)
{
	struct engine_state *engine = runner->engines;

	while (engine) {
		struct engine_state *next = engine->next;

		if (engine->server->gone && !engine->running)
			engine_state_drop(engine, &runner->engines);
		engine = next;
	}
}

void runner_watch(struct batch_runner *runner)
{
	check_runs(runner);
	runner_move_items(runner);
	for (struct owned_partition *o = runner->owned; o; o = o->next)
		for (struct run_batch *b = o->batches; b; b = b->next) {
			check_batch(runner, b);
			runner_watch_rewards(runner, b);
		}
	drop_engines(runner);
	batch_runner_wake(runner);
}
