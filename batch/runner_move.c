#include <string.h>

#include "batch/batch_runner_private.h"
#include "batch/runner_choice.h"
#include "policy/item_move.h"

/* What a run is worth elsewhere shows after some events. */
#define MOVE_AGE_NS (300 * NS_PER_MS)
/* Moves in one look: the engines' loads change with each. */
#define MOVES_AT_ONCE 4
/* An engine this much slower than the best one is worth a closer look. */
#define SLOWER_FACTOR 1.25

/* A run that would end sooner elsewhere. */
struct better_place {
	struct item_run *run;
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

static void look_elsewhere(struct batch_runner *runner, struct item_run *run,
			   const struct engine_list *list, double best_ns,
			   struct better_place *best)
{
	struct item_move move;
	struct item_need need;
	struct place_engine view;
	struct engine_state *other;
	double gain_ns;

	move.here_ns = runner_token_ns(runner, list, run->engine,
				       run->engine->running);
	if (move.here_ns < SLOWER_FACTOR * best_ns)
		return;
	runner_item_need(run->item, list->service, &need);
	other = runner_choose_engine(runner, run->item, list, &need,
				     run->engine, &view);
	if (!other || other->starts_over)
		return;
	move.tokens_left = need.tokens_left;
	move.there_ns =
		runner_token_ns(runner, list, other, other->running + 1);
	gain_ns = item_move_gain_ns(&move);
	if (gain_ns <= best->gain_ns)
		return;
	best->run = run;
	best->engine = other;
	best->gain_ns = gain_ns;
}

static int is_movable(const struct batch_runner *runner,
		      const struct item_run *run, const char *service)
{
	return runner_now_ns(runner) - run->began_ns >= MOVE_AGE_NS &&
	       !strcmp(run->engine->server->entry.service, service);
}

/* Returns 0 if no run of the service is better off elsewhere. */
static int move_one(struct batch_runner *runner, const char *service)
{
	struct better_place best = { 0 };
	struct engine_list list;
	double best_ns;

	runner_list_engines(runner, service, "", &list);
	best_ns = best_token_ns(runner, &list);
	if (!best_ns)
		return 0;
	for (struct item_run *r = runner->run_owner.runs; r; r = r->next)
		if (is_movable(runner, r, service))
			look_elsewhere(runner, r, &list, best_ns, &best);
	if (!best.run)
		return 0;
	runner_move(runner, best.run, best.engine);
	return 1;
}

void runner_move_items(struct batch_runner *runner)
{
	const struct entry_config *config = runner->config->current;

	if (!runner->run_owner.runs || !config)
		return;
	for (uint32_t i = 0; i < config->service_count; i++) {
		uint32_t moves = 0;

		if (!config->services[i].is_engine)
			continue;
		while (moves < MOVES_AT_ONCE &&
		       move_one(runner, config->services[i].name))
			moves++;
	}
}
