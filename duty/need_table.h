#ifndef DUTY_NEED_TABLE_H
#define DUTY_NEED_TABLE_H

#include "base/clock.h"
#include "duty/weight_board.h"
#include "policy/step_pace.h"
#include "policy/version_plan.h"

/* A model whose need is not reported again keeps its engines this long. */
#define NEED_RETENTION_NS (30 * NS_PER_S)

/* The newest reported weight need of a model's batches at one service. */
struct model_need {
	struct weight_need need;
	int64_t reported_ns;
	struct step_pace pace;
};

struct need_table {
	/* Room for PLAN_MODELS_MAX; one of each model and service. */
	struct model_need *models;
	uint32_t count;
};

void need_table_init(struct need_table *table);
void need_table_finish(struct need_table *table);

/* Whether batches still have the need, as far as they report it. */
int need_is_active(const struct model_need *need, int64_t now_ns);

/*
 * Adds or replaces. A full table drops the need that was reported longest ago;
 * returns -1 if all of them are active.
 */
int need_table_put(struct need_table *table, const struct weight_need *need,
		   int64_t reported_ns, int64_t now_ns);

#endif
