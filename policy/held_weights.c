#include "policy/held_weights.h"

/* Versions that the engine is ahead of the oldest usable one; -1: too old. */
static int64_t versions_to_spare(const struct plan_engine *engine,
				 const struct plan_model *model, uint32_t index)
{
	uint64_t oldest = version_plan_oldest_allowed(model);

	if (!model->is_active || engine->versions[index] < oldest)
		return -1;
	return (int64_t)(engine->versions[index] - oldest);
}

int32_t held_weights_model(const struct plan_engine *engine,
			   const struct plan_model *models, uint32_t count)
{
	int64_t most = -1;
	int32_t best = -1;

	for (uint32_t m = 0; m < count; m++) {
		int64_t spare = versions_to_spare(engine, &models[m], m);

		if (spare == most)
			best = -1;
		if (spare <= most)
			continue;
		most = spare;
		best = (int32_t)m;
	}
	return best;
}

void held_weights_assign(const struct plan_model *models, uint32_t model_count,
			 struct plan_engine *engines, uint32_t engine_count)
{
	for (uint32_t i = 0; i < engine_count; i++)
		if (engines[i].usable && engines[i].share < 0)
			engines[i].share = held_weights_model(
				&engines[i], models, model_count);
}
