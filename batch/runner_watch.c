#include "batch/batch_runner_private.h"

/*
 * An engine whose stream delivers nothing for this long counts as failed.
 * Events of a healthy one arrive every few tens of milliseconds, and a weight
 * load delays them for about a second.
 */
#define STALL_TIMEOUT_NS (1500 * NS_PER_MS)
/* No attempt is sent to an engine for this time after it stalled. */
#define SUSPECT_NS (2 * NS_PER_S)

static int is_leaving(const struct engine_state *engine)
{
	const struct fleet_server *server = engine->server;

	return server->removed || server->entry.leaving || server->saw_leaving;
}

static void check_attempt(struct batch_runner *runner,
			  struct item_attempt *attempt, int64_t now_ns)
{
	if (is_leaving(attempt->engine)) {
		runner_requeue(runner, attempt, "server_leaves");
		return;
	}
	if (now_ns - attempt->last_event_ns < STALL_TIMEOUT_NS)
		return;
	attempt->engine->suspect_until_ns = now_ns + SUSPECT_NS;
	circuit_failed(&attempt->engine->server->circuit, &runner->rng, now_ns);
	runner_requeue(runner, attempt, "silent");
}

static void check_attempts(struct batch_runner *runner)
{
	int64_t now_ns = runner_now_ns(runner);
	struct item_attempt *attempt = runner->attempt_owner.attempts;

	while (attempt) {
		struct item_attempt *next = attempt->next;

		check_attempt(runner, attempt, now_ns);
		attempt = next;
	}
}

/*
 * Gives up items without a route or past the batch's retention period, after
 * which no caller waits for them. Retries a failed load of the batch.
 *
 * A missing route says nothing while the configuration of the acceptance is
 * awaited. That ends with the next complete read of the operators' records, and
 * with the retention period or the end of the batch if the store fails longer.
 */
static void check_batch(struct batch_runner *runner, struct active_batch *batch)
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
	runner_watch_config(runner, batch);
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		struct active_item *item = &batch->items[i];

		if (item->state == ACTIVE_ITEM_STORING ||
		    item->state == ACTIVE_ITEM_DONE)
			continue;
		if (!is_over &&
		    (batch->awaited_since_ns || runner_route(runner, item)))
			continue;
		if (item->attempt)
			runner_requeue(runner, item->attempt, "given_up");
		if (item->reward)
			reward_call_cancel(item->reward);
		runner_store_result(runner, item, BATCH_ITEM_GIVEN_UP,
				    is_over ? "retention" : "no_route");
	}
}

/* Frees the state of engines that left the fleet and have no attempts. */
static void drop_engines(struct batch_runner *runner)
{
	struct engine_state *engine = runner->engines;

	while (engine) {
		struct engine_state *next = engine->next;

		if (engine->server->removed && !engine->running)
			engine_state_remove(engine, &runner->engines);
		engine = next;
	}
}

void runner_watch(struct batch_runner *runner)
{
	check_attempts(runner);
	runner_move_items(runner);
	for (struct owned_partition *o = runner->owned; o; o = o->next)
		for (struct active_batch *b = o->batches; b; b = b->next) {
			check_batch(runner, b);
			runner_watch_rewards(runner, b);
		}
	runner_renew_demand(runner);
	drop_engines(runner);
	batch_runner_wake(runner);
}
