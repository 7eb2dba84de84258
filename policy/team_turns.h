#ifndef POLICY_TEAM_TURNS_H
#define POLICY_TEAM_TURNS_H

#include <stdint.h>

/*
 * Orders the items of several teams' batches for the same model. Load pattern:
 * one team submits thousands of long items, another one a small batch a moment
 * later; if ordered by length alone (policy/item_order.h) the small one would
 * wait until all long items have started, and its trainer would be idle for the
 * other's whole step. More urgent teams come first; among equally urgent ones
 * the team with the fewest running items is always next, so that each gets an
 * equal share of the slots, and slots that it does not need are used by the
 * others. Pure functions.
 */
struct turn_team {
	uint32_t priority; /* 0 is the most urgent */
	uint32_t running; /* items; includes those ordered so far */
};

/*
 * `team_of` has the index of each item's team; the items of a team are in the
 * order in which it is to run them. Writes the indexes of the items to `order`,
 * in the order in which they are to run.
 */
void team_turns_order(struct turn_team *teams, uint32_t team_count,
		      const uint32_t *team_of, uint32_t count, uint32_t *order);

#endif
