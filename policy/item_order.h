#ifndef POLICY_ITEM_ORDER_H
#define POLICY_ITEM_ORDER_H

#include <stdint.h>

/*
 * Which item of the open batches runs next. Load pattern: a trainer waits for
 * a share of whole groups of a step, whose items have long-tailed lengths, so
 * the last items of the last groups decide when the step ends. Items of
 * groups that the trainer needs in any case go first; then the longest ones,
 * by what their hints leave to do, because a long item that starts late ends
 * the step late; groups that have begun go before those that have not. Pure.
 */
struct item_rank {
	uint64_t step; /* of its batch */
	int is_required; /* its group was in an earlier batch */
	double tokens_left; /* expected */
	uint32_t group_left; /* open items of its group */
	uint32_t group_size;
	uint32_t number; /* in its batch; breaks ties */
};

/* Negative if `a` goes first. */
int item_order_compare(const struct item_rank *a, const struct item_rank *b);

/*
 * Expected output tokens: what the caller estimates, corrected by what came
 * already. An estimate is right at the median but often far off, so an item
 * that outlived its estimate is expected to go on in proportion.
 */
double item_expected_tokens(uint32_t hint, uint32_t max_tokens,
			    double tokens_done);

#endif
