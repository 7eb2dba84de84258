#include "policy/version_plan.h"

#include <string.h>

/*
 * An engine changes its share only if its model has this much more than its
 * part, in engines, so that shares don't swing with every step.
 */
#define SURPLUS_TO_MOVE 0.6
/*
 * A load ahead waits until its model is this much worse off than one whose
 * step is here: half of a share is what loads ahead at most.
 */
#define AHEAD_FACTOR 2.0

/*
 * The platform bears loads on a fifth of the engines at once, rounded to the
 * nearest whole number, and on two (sheets of the users' deployments: 2 of 9,
 * 2 of 11, 9 of 44, 10 of 48, 16 of 81).
 */
#define AT_ONCE_DENOMINATOR 5
#define AT_ONCE_MIN 2

uint32_t version_plan_at_once(uint32_t engine_count)
{
	uint32_t at_once =
		(engine_count + AT_ONCE_DENOMINATOR / 2) / AT_ONCE_DENOMINATOR;

	return at_once < AT_ONCE_MIN ? AT_ONCE_MIN : at_once;
}

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

/* What may be loaded for one model, and what it has already. */
struct load_demand {
	uint32_t urgent; /* next engine too old for the newest step */
	uint32_t ahead; /* next engine too old for the step after it */
	uint32_t fit; /* engines for the newest step, loading ones too */
	uint32_t fit_next; /* likewise, for the step after it */
	int has_ahead; /* one of the round was given */
};

static uint32_t next_to_load(const struct plan_engine *engines, uint32_t count,
			     uint32_t from, uint32_t model, uint64_t oldest)
{
	while (from < count && !can_load(&engines[from], model, oldest))
		from++;
	return from;
}

static void view_demand(const struct plan_model *model, uint32_t index,
			const struct plan_engine *engines, uint32_t count,
			struct load_demand *out)
{
	uint64_t oldest = oldest_fit(model);
	uint32_t loading = count_share_loading(index, engines, count);

	out->urgent = next_to_load(engines, count, 0, index, oldest);
	out->ahead = next_to_load(engines, count, 0, index, model->named);
	out->fit = count_fit(index, engines, count, oldest) + loading;
	out->fit_next = count_fit(index, engines, count, oldest + 1) + loading;
	out->has_ahead = 0;
}

/*
 * Whether the older part of a share that is all fit may load ahead, one engine
 * at a time: the others run what there is.
 */
static int loads_ahead(const struct plan_model *model,
		       const struct load_demand *demand, uint32_t engine_count)
{
	return model->lag && !demand->has_ahead && demand->fit > 1 &&
	       demand->ahead < engine_count &&
	       demand->fit_next < (demand->fit + 1) / 2;
}

/*
 * How well off the model is, in engines for its tokens; the one with the least
 * loads next. A load ahead counts as if its step had more engines already:
 * an urgent one goes first unless the step after would find almost none.
 * Negative: there is nothing to load.
 */
static double supply(const struct plan_model *model,
		     const struct load_demand *demand, uint32_t engine_count)
{
	if (!model->is_active)
		return -1;
	if (demand->urgent < engine_count)
		return demand->fit / model->tokens;
	if (loads_ahead(model, demand, engine_count))
		return AHEAD_FACTOR * demand->fit_next / model->tokens;
	return -1;
}

static int32_t hungriest(const struct plan_model *models, uint32_t count,
			 const struct load_demand *demands,
			 uint32_t engine_count)
{
	double least = 0;
	int32_t best = -1;

	for (uint32_t m = 0; m < count; m++) {
		double has = supply(&models[m], &demands[m], engine_count);

		if (has < 0 || (best >= 0 && has >= least))
			continue;
		best = (int32_t)m;
		least = has;
	}
	return best;
}

/* Takes the engine that the model loads next. */
static uint32_t take_next(const struct plan_model *model, uint32_t index,
			  const struct plan_engine *engines, uint32_t count,
			  struct load_demand *demand)
{
	uint32_t engine = demand->urgent;

	demand->fit_next++;
	if (engine == count) {
		demand->has_ahead = 1;
		return demand->ahead;
	}
	demand->fit++;
	demand->urgent = next_to_load(engines, count, engine + 1, index,
				      oldest_fit(model));
	return engine;
}

uint32_t version_plan_loads(const struct plan_model *models,
			    uint32_t model_count,
			    const struct plan_engine *engines,
			    uint32_t engine_count, uint32_t at_once,
			    struct plan_load *out)
{
	struct load_demand demands[PLAN_MODELS_MAX];
	uint32_t loading = count_loading(engines, engine_count);
	uint32_t count = 0;

	for (uint32_t m = 0; m < model_count; m++)
		view_demand(&models[m], m, engines, engine_count, &demands[m]);
	while (loading + count < at_once) {
		int32_t m =
			hungriest(models, model_count, demands, engine_count);

		if (m < 0)
			break;
		out[count].engine = take_next(&models[m], (uint32_t)m, engines,
					      engine_count, &demands[m]);
		out[count].model = (uint32_t)m;
		count++;
	}
	return count;
}
