#ifndef POLICY_ITEM_ORDER_H
#define POLICY_ITEM_ORDER_H

#include <stdint.h>

/*
 * Orders the items of the open batches for dispatch. Load pattern: a trainer
 * waits for a fraction of the groups of a step to complete, and the lengths of
 * their items are long-tailed, so the last items of the last groups decide when
 * the step ends. Items of groups that the trainer needs in any case come first;
 * then the longest ones, by the tokens left according to their hints, because a
 * long item that starts late ends the step late; groups that have started come
 * before those that have not. Pure functions.
 */
struct item_rank {
	uint64_t step; /* of its batch */
	int is_required; /* its group was in an earlier batch */
	double tokens_left; /* expected */
	uint32_t group_left; /* incomplete items of its group */
	uint32_t group_size;
	uint32_t number; /* in its batch; breaks ties */
};

/* Negative if `a` runs first. */
int item_order_compare(const struct item_rank *a, const struct item_rank *b);

/*
 * Expected output tokens: the caller's estimate, corrected by the tokens
 * received so far. An estimate is right at the median but often far off, so an
 * item that exceeds its estimate is expected to continue in proportion.
 */
double item_expected_tokens(uint32_t hint, uint32_t max_tokens,
			    double tokens_done);

#endif
