#include "policy/item_place.h"

/* Increase of the step time per additional run, relative to a single run. */
#define STEP_PER_RUN 0.045
/* Discounts on the cost of an engine. */
#define SAME_DATA_CENTRE_GAIN 0.02
#define PREFIX_GAIN 0.02
/* An engine at which the item failed is used only if there is no other. */
#define FAILED_FACTOR 10
/* A cold engine takes what the others have no room for. */
#define COLD_FACTOR 1.25

double place_step_time(uint32_t running)
{
	return 1 + STEP_PER_RUN * (running ? running - 1 : 0);
}

double place_token_time(const struct place_engine *engine, uint32_t running)
{
	double speed = engine->speed > 0 ? engine->speed : 1;

	return place_step_time(running) / speed;
}

static double engine_cost(const struct place_engine *engine)
{
	double time = place_token_time(engine, engine->running + 1);
	uint32_t ahead = engine->running + engine->waiting;

	/* If all slots are in use, the item waits for another one to end. */
	if (engine->slots && ahead >= engine->slots)
		time *= 2 + (double)(ahead - engine->slots) / engine->slots;
	if (engine->failed_before)
		time *= FAILED_FACTOR;
	if (engine->cold)
		time *= COLD_FACTOR;
	if (engine->same_data_centre)
		time *= 1 - SAME_DATA_CENTRE_GAIN;
	if (engine->holds_prefix)
		time *= 1 - PREFIX_GAIN;
	return time;
}

int32_t item_place(const struct place_engine *engines, uint32_t count,
		   const struct place_item *item)
{
	double best_cost = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		double cost;

		if (!engines[i].usable ||
		    engines[i].memory_tokens < item->memory_tokens ||
		    (item->needs_dear && engines[i].cheap))
			continue;
		cost = engine_cost(&engines[i]);
		if (best >= 0 && cost >= best_cost)
			continue;
		best = (int32_t)i;
		best_cost = cost;
	}
	return best;
}
