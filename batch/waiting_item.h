#ifndef BATCH_WAITING_ITEM_H
#define BATCH_WAITING_ITEM_H

#include "batch/runner_choice.h"
#include "policy/item_order.h"

/* An item that waits, with its place in the order. */
struct waiting_item {
	struct run_item *item;
	const char *service;
	struct item_need need;
	struct item_rank rank;
};

/*
 * Lets the teams that want the same model take turns: its items, which stand
 * in the order that their teams want, change places among themselves. Between
 * models the order stays; their shares of the engines decide there.
 */
void runner_take_turns(const struct batch_runner *runner,
		       struct waiting_item *waiting, uint32_t count);

#endif
