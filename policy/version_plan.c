#include "policy/version_plan.h"

#include <string.h>

/*
 * An engine changes its share only if its model has this much more than its
 * part, in engines, so that shares don't swing with every step.
 */
#define SURPLUS_TO_MOVE 0.6

static double total_tokens(const struct plan_model *models, uint32_t count)
{
	double total = 0;

	for (uint32_t i = 0; i < count; i++)
		if (models[i].is_active)
			total += models[i].tokens;
	return total;
}

static uint32_t count_usable(const struct plan_engine *engines, uint32_t count)
{
	uint32_t usable = 0;

	for (uint32_t i = 0; i < count; i++)
		usable += engines[i].usable != 0;
	return usable;
}

static void count_shares(const struct plan_engine *engines, uint32_t count,
			 uint32_t *shares)
{
	memset(shares, 0, PLAN_MODELS_MAX * sizeof(*shares));
	for (uint32_t i = 0; i < count; i++)
		if (engines[i].usable && engines[i].share >= 0)
			shares[engines[i].share]++;
}

/* The active model that lacks most of its part; -1 if there is none. */
static int32_t neediest(const struct plan_model *models, uint32_t count,
			const double *parts, const uint32_t *shares)
{
	double most = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		double lack = parts[i] - shares[i];

		if (!models[i].is_active)
			continue;
		/* A model without any engine comes before all others. */
		if (!shares[i])
			lack += 1000;
		if (best < 0 || lack > most) {
			best = (int32_t)i;
			most = lack;
		}
	}
	return best;
}

/* The engine of the model that costs least to give away; -1 if none. */
static int32_t weakest_member(const struct plan_engine *engines, uint32_t count,
			      int32_t model, int32_t to)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (!engines[i].usable || engines[i].share != model)
			continue;
		if (best < 0 ||
		    engines[i].versions[to] > engines[best].versions[to])
			best = (int32_t)i;
	}
	return best;
}

static void give_shares(const struct plan_model *models, uint32_t model_count,
			struct plan_engine *engines, uint32_t engine_count,
			const double *parts)
{
	uint32_t shares[PLAN_MODELS_MAX];

	count_shares(engines, engine_count, shares);
	for (uint32_t i = 0; i < engine_count; i++) {
		int32_t to;

		if (!engines[i].usable || engines[i].share >= 0)
			continue;
		to = neediest(models, model_count, parts, shares);
		engines[i].share = to;
		if (to >= 0)
			shares[to]++;
	}
}

/* Moves one engine from a model with too many; returns 0 if none has. */
static int move_one(const struct plan_model *models, uint32_t model_count,
		    struct plan_engine *engines, uint32_t engine_count,
		    const double *parts)
{
	uint32_t shares[PLAN_MODELS_MAX];
	int32_t to;

	count_shares(engines, engine_count, shares);
	to = neediest(models, model_count, parts, shares);
	if (to < 0 || shares[to] >= parts[to])
		return 0;
	for (uint32_t from = 0; from < model_count; from++) {
		int32_t moved;

		/* The last engine is taken only from a model without batches.
		 */
		if (shares[from] <= (models[from].is_active ? 1u : 0u) ||
		    (shares[from] - parts[from] < SURPLUS_TO_MOVE &&
		     shares[to]))
			continue;
		moved = weakest_member(engines, engine_count, (int32_t)from,
				       to);
		if (moved < 0)
			continue;
		engines[moved].share = to;
		return 1;
	}
	return 0;
}

void version_plan_shares(const struct plan_model *models, uint32_t model_count,
			 struct plan_engine *engines, uint32_t engine_count)
{
	double total = total_tokens(models, model_count);
	uint32_t usable = count_usable(engines, engine_count);
	double parts[PLAN_MODELS_MAX] = { 0 };

	if (total <= 0)
		return;
	for (uint32_t i = 0; i < model_count; i++)
		if (models[i].is_active)
			parts[i] = usable * models[i].tokens / total;
	give_shares(models, model_count, engines, engine_count, parts);
	for (uint32_t i = 0; i < engine_count; i++)
		if (!move_one(models, model_count, engines, engine_count,
			      parts))
			break;
}

static uint64_t oldest_fit(const struct plan_model *model)
{
	return model->named > model->lag ? model->named - model->lag : 1;
}

static uint32_t count_loading(const struct plan_engine *engines, uint32_t count)
{
	uint32_t loading = 0;

	for (uint32_t i = 0; i < count; i++)
		loading += engines[i].is_loading != 0;
	return loading;
}

static int can_load(const struct plan_engine *engine, uint32_t model,
		    uint64_t version)
{
	return engine->usable && !engine->is_loading &&
	       engine->share == (int32_t)model && engine->versions[model] &&
	       engine->versions[model] < version;
}

/* How many of the model's engines have weights that are new enough. */
static uint32_t count_fit(uint32_t index, const struct plan_engine *engines,
			  uint32_t count, uint64_t oldest)
{
	uint32_t fit = 0;

	for (uint32_t i = 0; i < count; i++)
		if (engines[i].usable && !engines[i].is_loading &&
		    engines[i].share == (int32_t)index &&
		    engines[i].versions[index] >= oldest)
			fit++;
	return fit;
}

/* Engines of the model's share that are loading, fit or not. */
static uint32_t count_share_loading(uint32_t model,
				    const struct plan_engine *engines,
				    uint32_t count)
{
	uint32_t loading = 0;

	for (uint32_t i = 0; i < count; i++)
		loading += engines[i].is_loading &&
			   engines[i].share == (int32_t)model;
	return loading;
}

/*
 * Of the models with an engine to load, the one whose steps have the fewest
 * engines for their tokens; -1 if there is none.
 */
static int32_t hungriest(const struct plan_model *models, uint32_t count,
			 const uint32_t *next, uint32_t engine_count,
			 const uint32_t *fit)
{
	int32_t best = -1;

	for (uint32_t m = 0; m < count; m++) {
		if (!models[m].is_active || next[m] == engine_count)
			continue;
		if (best < 0 ||
		    fit[m] * models[best].tokens < fit[best] * models[m].tokens)
			best = (int32_t)m;
	}
	return best;
}

static uint32_t next_to_load(const struct plan_engine *engines, uint32_t count,
			     uint32_t from, uint32_t model, uint64_t oldest)
{
	while (from < count && !can_load(&engines[from], model, oldest))
		from++;
	return from;
}

/* Engines that are too old for the newest step of their model. */
static uint32_t add_urgent(const struct plan_model *models,
			   uint32_t model_count,
			   const struct plan_engine *engines,
			   uint32_t engine_count, uint32_t room,
			   struct plan_load *out)
{
	uint32_t next[PLAN_MODELS_MAX];
	uint32_t fit[PLAN_MODELS_MAX];
	uint32_t count = 0;

	for (uint32_t m = 0; m < model_count; m++) {
		uint64_t oldest = oldest_fit(&models[m]);

		next[m] = next_to_load(engines, engine_count, 0, m, oldest);
		fit[m] = count_fit(m, engines, engine_count, oldest) +
			 count_share_loading(m, engines, engine_count);
	}
	while (count < room) {
		int32_t m =
			hungriest(models, model_count, next, engine_count, fit);

		if (m < 0)
			break;
		out[count].engine = next[m];
		out[count].model = (uint32_t)m;
		count++;
		fit[m]++;
		next[m] = next_to_load(engines, engine_count, next[m] + 1,
				       (uint32_t)m, oldest_fit(&models[m]));
	}
	return count;
}

/* Whether the older half of a share that is all fit may load ahead. */
static int loads_ahead(const struct plan_model *model, uint32_t index,
		       const struct plan_engine *engines, uint32_t count)
{
	uint64_t oldest = oldest_fit(model);
	uint32_t fit = count_fit(index, engines, count, oldest);
	uint32_t fit_next = count_fit(index, engines, count, oldest + 1) +
			    count_share_loading(index, engines, count);

	return model->is_active && model->lag && fit > 1 &&
	       fit_next < (fit + 1) / 2;
}

static uint32_t add_ahead(const struct plan_model *models, uint32_t model_count,
			  const struct plan_engine *engines,
			  uint32_t engine_count, uint32_t room,
			  struct plan_load *out)
{
	uint32_t count = 0;

	for (uint32_t m = 0; m < model_count && count < room; m++) {
		if (!loads_ahead(&models[m], m, engines, engine_count))
			continue;
		for (uint32_t i = 0; i < engine_count; i++) {
			if (!can_load(&engines[i], m, models[m].named))
				continue;
			out[count].engine = i;
			out[count].model = m;
			count++;
			break;
		}
	}
	return count;
}

uint32_t version_plan_loads(const struct plan_model *models,
			    uint32_t model_count,
			    const struct plan_engine *engines,
			    uint32_t engine_count, uint32_t at_once,
			    struct plan_load *out)
{
	uint32_t loading = count_loading(engines, engine_count);
	uint32_t room = loading < at_once ? at_once - loading : 0;
	uint32_t count = add_urgent(models, model_count, engines, engine_count,
				    room, out);

	/* Ahead only where nothing urgent waits. */
	if (count)
		return count;
	return add_ahead(models, model_count, engines, engine_count, room, out);
}
