#include <string.h>

#include "batch/batch_runner_private.h"
#include "batch/runner_choice.h"
#include "policy/item_move.h"

/*
 * Minimum age of an attempt; the gain of a move can be judged only after some
 * events.
 */
#define MOVE_MIN_AGE_NS (300 * NS_PER_MS)
/*
 * Maximum moves of a service per round, as each move changes the engines'
 * loads.
 */
#define MOVES_PER_ROUND 4
/*
 * Moves are considered only from engines at least this much slower than the
 * best one.
 */
#define SLOWER_FACTOR 1.25

/* An attempt that is expected to end sooner at another engine. */
struct move_candidate {
	struct item_attempt *attempt;
	struct engine_state *engine;
	double gain_ns;
};

static double best_token_ns(const struct batch_runner *runner,
			    const struct engine_list *list)
{
	int64_t now_ns = runner_now_ns(runner);
	double best = 0;

	for (uint32_t i = 0; i < list->count; i++) {
		const struct engine_state *engine = list->engines[i];
		double token_ns = runner_token_ns(runner, list, engine,
						  engine->running + 1);

		if (fleet_server_usable(engine->server, now_ns) &&
		    engine->running < engine->server->entry.slots &&
		    (!best || token_ns < best))
			best = token_ns;
	}
	return best;
}

static void compare_engines(struct batch_runner *runner,
			    struct item_attempt *attempt,
			    const struct engine_list *list, double best_ns,
			    struct move_candidate *best)
{
	struct item_move move;
	struct item_need need;
	struct place_engine view;
	struct engine_state *other;
	double gain_ns;

	move.current_token_ns = runner_token_ns(runner, list, attempt->engine,
						attempt->engine->running);
	if (move.current_token_ns < SLOWER_FACTOR * best_ns)
		return;
	runner_item_need(attempt->item, list->service, &need);
	other = runner_choose_engine(runner, attempt->item, list, &need,
				     attempt->engine, &view);
	if (!other || other->starts_over)
		return;
	move.tokens_left = need.tokens_left;
	move.target_token_ns =
		runner_token_ns(runner, list, other, other->running + 1);
	gain_ns = item_move_gain_ns(&move);
	if (gain_ns <= best->gain_ns)
		return;
	best->attempt = attempt;
	best->engine = other;
	best->gain_ns = gain_ns;
}

static int is_movable(const struct batch_runner *runner,
		      const struct item_attempt *attempt, const char *service)
{
	return runner_now_ns(runner) - attempt->started_ns >= MOVE_MIN_AGE_NS &&
	       !strcmp(attempt->engine->server->entry.service, service);
}

/* Returns 0 if no attempt of the service would end sooner elsewhere. */
static int move_one(struct batch_runner *runner, const char *service)
{
	struct move_candidate best = { 0 };
	struct engine_list list;
	double best_ns;

	runner_list_engines(runner, service, "", &list);
	best_ns = best_token_ns(runner, &list);
	if (!best_ns)
		return 0;
	for (struct item_attempt *r = runner->attempt_owner.attempts; r;
	     r = r->next)
		if (is_movable(runner, r, service))
			compare_engines(runner, r, &list, best_ns, &best);
	if (!best.attempt || !net_pool_find_room(runner->pool))
		return 0;
	runner_move(runner, best.attempt, best.engine);
	return 1;
}

void runner_move_items(struct batch_runner *runner)
{
	const struct entry_config *config = runner->config->current;

	if (!runner->attempt_owner.attempts || !config)
		return;
	for (uint32_t i = 0; i < config->service_count; i++) {
		uint32_t moves = 0;

		if (!config->services[i].is_engine)
			continue;
		while (moves < MOVES_PER_ROUND &&
		       move_one(runner, config->services[i].name))
			moves++;
	}
}
