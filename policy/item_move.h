#ifndef POLICY_ITEM_MOVE_H
#define POLICY_ITEM_MOVE_H

/*
 * Decides whether a running item continues at another engine. Load pattern: the
 * last long items of a step run where many others ran or where an engine became
 * slow, while other engines have become idle. The other engine processes the
 * prompt and the generated text again, which takes little time compared to the
 * rest of a long item. Pure functions.
 */
struct item_move {
	double tokens_left; /* expected */
	double current_token_ns; /* per token here, with its current runs */
	double target_token_ns; /* per token there, with the item added */
};

/* Nanoseconds that the move saves; 0 if it is not worthwhile. */
double item_move_gain_ns(const struct item_move *move);

#endif
