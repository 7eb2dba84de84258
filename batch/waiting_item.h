#ifndef BATCH_WAITING_ITEM_H
#define BATCH_WAITING_ITEM_H

#include "batch/runner_choice.h"
#include "policy/item_order.h"

/* A waiting item with its rank in the order of placement. */
struct waiting_item {
	struct active_item *item;
	const char *service;
	struct item_need need;
	struct item_rank rank;
};

/*
 * Interleaves teams that use the same model: the model's items, each team's in
 * its own order, are reordered among the positions that they occupy. The order
 * between models stays, since their shares of the engines decide there.
 */
void runner_interleave_teams(const struct batch_runner *runner,
			     struct waiting_item *waiting, uint32_t count);

#endif
