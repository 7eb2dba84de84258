#ifndef POLICY_ITEM_MOVE_H
#define POLICY_ITEM_MOVE_H

/*
 * Whether a running item goes on at another engine. Load pattern: the last
 * long items of a step sit where many others ran or where an engine turned
 * slow, while other engines have become empty. The other engine reads prompt
 * and text again, which takes little beside the rest of a long item. Pure.
 */
struct item_move {
	double tokens_left; /* expected */
	double here_ns; /* for a token, beside the runs that are there */
	double there_ns; /* the same with the item there */
};

/* Time that the move saves; 0 if it does not pay. */
double item_move_gain_ns(const struct item_move *move);

#endif
