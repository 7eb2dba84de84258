#ifndef POLICY_VERSION_PLAN_H
#define POLICY_VERSION_PLAN_H

#include <stdint.h>

/*
 * Plans which engines load the new weights of which model, and when. Load
 * pattern: each of several trainers names a version every few seconds and
 * immediately requests a step that may still use the previous version; a load
 * takes an engine away from its model for about a second, takes longer when
 * many engines load, and costs money. So each model has its own share of the
 * engines, in proportion to the tokens that its steps need. Engines whose
 * weights are too old for the newest step load the newest version at once, the
 * oldest first. If all engines of a share are new enough, the older half
 * preloads, so that half of the share is ready for the next step. If more loads
 * are due than may run at once, a model without any engine for its next step
 * loads one before another model gets more engines for a step that has some.
 * Pure functions.
 */
#define PLAN_MODELS_MAX 32

struct plan_model {
	uint64_t newest_named; /* newest version that the trainer has named */
	uint64_t lag; /* versions behind the newest that a step may use */
	double tokens; /* needed by its steps, relative to the other models */
	int is_active; /* it has batches */
};

struct plan_engine {
	int32_t share; /* index of its model; -1: none yet */
	uint64_t versions[PLAN_MODELS_MAX]; /* of each model; 0: not loaded */
	int is_loading;
	int usable; /* accepts orders */
};

/*
 * Assigns each usable engine to a model's share: existing shares are kept as
 * far as the models' parts allow, and as few engines as possible are moved. An
 * engine without a share goes to the model whose weights it holds
 * (policy/held_weights.h), or else to the one with the largest deficit.
 */
void version_plan_shares(const struct plan_model *models, uint32_t model_count,
			 struct plan_engine *engines, uint32_t engine_count);

/* The oldest version that the model's newest step may use. */
uint64_t version_plan_oldest_allowed(const struct plan_model *model);

/*
 * How many of `engine_count` engines may load at once without slowing each
 * other.
 */
uint32_t version_plan_max_loads(uint32_t engine_count);

/*
 * Engines of the model's share that are too old for its newest step, and half
 * of those that load, as loads under way are half done on average.
 */
uint32_t version_plan_due_loads(const struct plan_model *model, uint32_t index,
				const struct plan_engine *engines,
				uint32_t count);

struct plan_load {
	uint32_t engine;
	uint32_t model;
};

/* How many engines may load at once. */
struct plan_bound {
	uint32_t any;
	/*
	 * For engines that are too old for the newest step. Beyond `any`, at
	 * most half of a share loads: the rest runs work on older weights.
	 */
	uint32_t urgent;
};

/* Writes the loads to order now, the most urgent first; returns their number.
 */
uint32_t version_plan_loads(const struct plan_model *models,
			    uint32_t model_count,
			    const struct plan_engine *engines,
			    uint32_t engine_count, struct plan_bound bound,
			    struct plan_load *out);

#endif
