#ifndef POLICY_HELD_WEIGHTS_H
#define POLICY_HELD_WEIGHTS_H

#include "policy/version_plan.h"

/*
 * Assigns engines whose share is not known to the models whose weights they
 * hold. Load pattern: several trainers share the engines, and the host that
 * plans the loads is lost while steps are under way. Its successor sees which
 * versions each engine holds, but not whose share it was in. If it divided the
 * engines afresh, most would have to load another model first, and the steps of
 * all trainers would wait for a few loads at a time. Pure functions.
 */

/*
 * The active model whose newest step the engine can run with the most versions
 * to spare; -1 if it can run none, or several equally well.
 */
int32_t held_weights_model(const struct plan_engine *engine,
			   const struct plan_model *models, uint32_t count);

/* Sets the share of each usable engine that has none and holds such a model. */
void held_weights_assign(const struct plan_model *models, uint32_t model_count,
			 struct plan_engine *engines, uint32_t engine_count);

#endif
