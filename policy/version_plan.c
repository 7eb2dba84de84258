#include "policy/version_plan.h"

#include <string.h>

#include "policy/held_weights.h"

/*
 * An engine changes its share only if its model has this many engines more than
 * its part, so that shares do not oscillate with every step.
 */
#define MIN_SURPLUS_TO_MOVE 0.6
/*
 * A preload waits until its model is supplied worse by this factor than one
 * whose step is current: at most half of a share is preloaded.
 */
#define PRELOAD_FACTOR 2.0

/*
 * The platform supports loads on a fifth of the engines at once, rounded to the
 * nearest whole number, and on at least two (figures of the users' deployments:
 * 2 of 9, 2 of 11, 9 of 44, 10 of 48, 16 of 81).
 */
#define AT_ONCE_DENOMINATOR 5
#define AT_ONCE_MIN 2

uint32_t version_plan_max_loads(uint32_t engine_count)
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

/* The active model that is furthest below its part; -1 if there is none. */
static int32_t model_with_largest_deficit(const struct plan_model *models,
					  uint32_t count, const double *parts,
					  const uint32_t *shares)
{
	double most = 0;
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		double deficit = parts[i] - shares[i];

		if (!models[i].is_active)
			continue;
		/*
		 * A model without any engine takes precedence over all others.
		 */
		if (!shares[i])
			deficit += 1000;
		if (best < 0 || deficit > most) {
			best = (int32_t)i;
			most = deficit;
		}
	}
	return best;
}

/* Whether `a` loses less than `b` by a move from one model to another. */
static int moves_before(const struct plan_engine *a,
			const struct plan_engine *b, int32_t from, int32_t to)
{
	if (a->versions[to] != b->versions[to])
		return a->versions[to] > b->versions[to];
	return a->versions[from] < b->versions[from];
}

/*
 * The engine of the model that has the newest weights of model `to`; of
 * several, the one with the oldest weights of its own. -1 if there is none.
 */
static int32_t engine_to_move(const struct plan_engine *engines, uint32_t count,
			      int32_t model, int32_t to)
{
	int32_t best = -1;

	for (uint32_t i = 0; i < count; i++) {
		if (!engines[i].usable || engines[i].share != model)
			continue;
		if (best < 0 ||
		    moves_before(&engines[i], &engines[best], model, to))
			best = (int32_t)i;
	}
	return best;
}

static void assign_new_engines(const struct plan_model *models,
			       uint32_t model_count,
			       struct plan_engine *engines,
			       uint32_t engine_count, const double *parts)
{
	uint32_t shares[PLAN_MODELS_MAX];

	count_shares(engines, engine_count, shares);
	for (uint32_t i = 0; i < engine_count; i++) {
		int32_t to;

		if (!engines[i].usable || engines[i].share >= 0)
			continue;
		to = model_with_largest_deficit(models, model_count, parts,
						shares);
		engines[i].share = to;
		if (to >= 0)
			shares[to]++;
	}
}

/* Moves one engine from a model with too many; returns 0 if there is none. */
static int move_one(const struct plan_model *models, uint32_t model_count,
		    struct plan_engine *engines, uint32_t engine_count,
		    const double *parts)
{
	uint32_t shares[PLAN_MODELS_MAX];
	int32_t to;

	count_shares(engines, engine_count, shares);
	to = model_with_largest_deficit(models, model_count, parts, shares);
	if (to < 0 || shares[to] >= parts[to])
		return 0;
	for (uint32_t from = 0; from < model_count; from++) {
		int32_t moved;

		/*
		 * The last engine is taken only from a model without batches.
		 */
		if (shares[from] <= (models[from].is_active ? 1u : 0u) ||
		    (shares[from] - parts[from] < MIN_SURPLUS_TO_MOVE &&
		     shares[to]))
			continue;
		moved = engine_to_move(engines, engine_count, (int32_t)from,
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
	held_weights_assign(models, model_count, engines, engine_count);
	assign_new_engines(models, model_count, engines, engine_count, parts);
	for (uint32_t i = 0; i < engine_count; i++)
		if (!move_one(models, model_count, engines, engine_count,
			      parts))
			break;
}

uint64_t version_plan_oldest_allowed(const struct plan_model *model)
{
	return model->newest_named > model->lag
		       ? model->newest_named - model->lag
		       : 1;
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

/* Number of the model's engines whose weights are new enough. */
static uint32_t count_ready(uint32_t index, const struct plan_engine *engines,
			    uint32_t count, uint64_t oldest)
{
	uint32_t ready = 0;

	for (uint32_t i = 0; i < count; i++)
		if (engines[i].usable && !engines[i].is_loading &&
		    engines[i].share == (int32_t)index &&
		    engines[i].versions[index] >= oldest)
			ready++;
	return ready;
}

/* Engines of the model's share that are loading, whatever they load. */
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

static uint32_t count_share(uint32_t model, const struct plan_engine *engines,
			    uint32_t count)
{
	uint32_t share = 0;

	for (uint32_t i = 0; i < count; i++)
		share += engines[i].usable &&
			 engines[i].share == (int32_t)model;
	return share;
}

uint32_t version_plan_due_loads(const struct plan_model *model, uint32_t index,
				const struct plan_engine *engines,
				uint32_t count)
{
	uint64_t oldest = version_plan_oldest_allowed(model);
	uint32_t loads = 0;

	for (uint32_t i = 0; i < count; i++)
		loads += can_load(&engines[i], index, oldest);
	if (!loads)
		return 0;
	return loads + (count_share_loading(index, engines, count) + 1) / 2;
}

/* Loads that are possible for one model, and its current supply. */
struct load_demand {
	uint32_t urgent; /* next engine too old for the newest step */
	uint32_t preload; /* next engine too old for the step after it */
	uint32_t ready; /* engines for the newest step, or loading */
	uint32_t ready_next; /* likewise, for the step after it */
	uint32_t share; /* engines, of which so many load */
	uint32_t loading;
	int has_preload; /* a preload of this round is planned */
};

/* Whether engine `a` of the model loads before engine `b`. */
static int loads_before(const struct plan_engine *engines, uint32_t a,
			uint32_t b, uint32_t model)
{
	uint64_t version_a = engines[a].versions[model];
	uint64_t version_b = engines[b].versions[model];

	return version_a != version_b ? version_a < version_b : a < b;
}

/*
 * The engine to load after engine `last`, or first if that is `count`: the one
 * with the oldest weights, since a load pauses the runs of its engine, and the
 * fewest open steps can run there. `count` if there is none.
 */
static uint32_t next_to_load(const struct plan_engine *engines, uint32_t count,
			     uint32_t last, uint32_t model, uint64_t oldest)
{
	uint32_t best = count;

	for (uint32_t i = 0; i < count; i++) {
		if (!can_load(&engines[i], model, oldest) ||
		    (last < count && !loads_before(engines, last, i, model)))
			continue;
		if (best == count || loads_before(engines, i, best, model))
			best = i;
	}
	return best;
}

static void init_demand(const struct plan_model *model, uint32_t index,
			const struct plan_engine *engines, uint32_t count,
			struct load_demand *out)
{
	uint64_t oldest = version_plan_oldest_allowed(model);
	uint32_t loading = count_share_loading(index, engines, count);

	out->urgent = next_to_load(engines, count, count, index, oldest);
	out->preload =
		next_to_load(engines, count, count, index, model->newest_named);
	out->ready = count_ready(index, engines, count, oldest) + loading;
	out->ready_next =
		count_ready(index, engines, count, oldest + 1) + loading;
	out->share = count_share(index, engines, count);
	out->loading = loading;
	out->has_preload = 0;
}

/*
 * Whether the older half of a share may preload, one engine at a time, once all
 * engines of the share can run the newest step: the others run the current
 * work.
 */
static int may_preload(const struct plan_model *model,
		       const struct load_demand *demand, uint32_t engine_count)
{
	return model->lag && !demand->has_preload && demand->ready > 1 &&
	       demand->preload < engine_count &&
	       demand->ready_next < (demand->ready + 1) / 2;
}

/*
 * Engines per token of the model; the model with the lowest value loads next. A
 * preload counts as if its step had more engines than it has: an urgent load
 * comes first unless the next step would find almost no engine. Negative: there
 * is nothing to load.
 */
static double supply(const struct plan_model *model,
		     const struct load_demand *demand, uint32_t engine_count)
{
	if (!model->is_active)
		return -1;
	if (demand->urgent < engine_count)
		return demand->ready / model->tokens;
	if (may_preload(model, demand, engine_count))
		return PRELOAD_FACTOR * demand->ready_next / model->tokens;
	return -1;
}

/* Whether the model may load beyond the bound for any load. */
static int may_load_more(const struct load_demand *demand,
			 uint32_t engine_count)
{
	return demand->urgent < engine_count &&
	       (demand->loading + 1) * 2 <= demand->share;
}

static int32_t least_supplied(const struct plan_model *models, uint32_t count,
			      const struct load_demand *demands,
			      uint32_t engine_count, int beyond_any)
{
	double least = 0;
	int32_t best = -1;

	for (uint32_t m = 0; m < count; m++) {
		double value = supply(&models[m], &demands[m], engine_count);

		if (value < 0 || (best >= 0 && value >= least) ||
		    (beyond_any && !may_load_more(&demands[m], engine_count)))
			continue;
		best = (int32_t)m;
		least = value;
	}
	return best;
}

/* Returns the engine that the model loads next and updates `demand`. */
static uint32_t take_engine(const struct plan_model *model, uint32_t index,
			    const struct plan_engine *engines, uint32_t count,
			    struct load_demand *demand)
{
	uint32_t engine = demand->urgent;

	demand->ready_next++;
	demand->loading++;
	if (engine == count) {
		demand->has_preload = 1;
		return demand->preload;
	}
	demand->ready++;
	demand->urgent = next_to_load(engines, count, engine, index,
				      version_plan_oldest_allowed(model));
	return engine;
}

uint32_t version_plan_loads(const struct plan_model *models,
			    uint32_t model_count,
			    const struct plan_engine *engines,
			    uint32_t engine_count, struct plan_bound bound,
			    struct plan_load *out)
{
	struct load_demand demands[PLAN_MODELS_MAX];
	uint32_t loading = count_loading(engines, engine_count);
	uint32_t count = 0;

	for (uint32_t m = 0; m < model_count; m++)
		init_demand(&models[m], m, engines, engine_count, &demands[m]);
	while (loading + count < bound.any || loading + count < bound.urgent) {
		int32_t m = least_supplied(models, model_count, demands,
					   engine_count,
					   loading + count >= bound.any);

		if (m < 0)
			break;
		out[count].engine = take_engine(&models[m], (uint32_t)m,
						engines, engine_count,
						&demands[m]);
		out[count].model = (uint32_t)m;
		count++;
	}
	return count;
}
