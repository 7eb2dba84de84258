#ifndef POLICY_VERSION_PLAN_H
#define POLICY_VERSION_PLAN_H

#include <stdint.h>

/*
 * Which engines load which model's new weights, and when. Load pattern: each
 * of several trainers names a version every few seconds and asks at once for
 * a step that the version before may still make; a load takes an engine away
 * for its model for about a second, takes longer when many load, and is
 * priced. So each model has its own share of the engines, by the tokens that
 * its steps need; engines whose weights are too old for the newest step load
 * the newest version at once; if all of a share are fit, the older half loads
 * ahead, so that the next step finds half of the share fit. Where more loads
 * are due than may run at once, a model without any engine for its next step
 * loads one before another model gets more for a step that has some. Pure.
 */
#define PLAN_MODELS_MAX 32

struct plan_model {
	uint64_t named; /* newest version */
	uint64_t lag; /* a step may use versions down to named - lag */
	double tokens; /* that its steps need, relative to the other models' */
	int is_active; /* it has batches */
};

struct plan_engine {
	int32_t share; /* index of its model; -1: none yet */
	uint64_t versions[PLAN_MODELS_MAX]; /* of each model; 0: not there */
	int is_loading;
	int usable; /* takes orders */
};

/*
 * Gives each usable engine a share: keeps what it has as far as the models'
 * parts allow, and moves as few as possible.
 */
void version_plan_shares(const struct plan_model *models, uint32_t model_count,
			 struct plan_engine *engines, uint32_t engine_count);

/* How many of so many engines may load at once without slowing each other. */
uint32_t version_plan_at_once(uint32_t engine_count);

struct plan_load {
	uint32_t engine;
	uint32_t model;
};

/*
 * Writes the loads to order now, the most urgent first, so that no more than
 * `at_once` engines load; returns how many.
 */
uint32_t version_plan_loads(const struct plan_model *models,
			    uint32_t model_count,
			    const struct plan_engine *engines,
			    uint32_t engine_count, uint32_t at_once,
			    struct plan_load *out);

#endif
