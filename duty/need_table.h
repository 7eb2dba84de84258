#ifndef DUTY_NEED_TABLE_H
#define DUTY_NEED_TABLE_H

#include "base/clock.h"
#include "duty/weight_board.h"
#include "policy/version_plan.h"

/* The newest reported weight need of a model's batches at one service. */
struct model_need {
	struct weight_need need;
	int64_t received_ns;
};

struct need_table {
	/* Room for PLAN_MODELS_MAX; one of each model and service. */
	struct model_need *models;
	uint32_t count;
};

void need_table_init(struct need_table *table);
void need_table_finish(struct need_table *table);

/* Adds or replaces; returns -1 if the need is new and the table is full. */
int need_table_put(struct need_table *table, const struct weight_need *need,
		   int64_t now_ns);

#endif
