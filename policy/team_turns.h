#ifndef POLICY_TEAM_TURNS_H
#define POLICY_TEAM_TURNS_H

#include <stdint.h>

/*
 * Whose items run next where several teams' batches want the same model.
 * Load pattern: one team submits thousands of long items, another one a small
 * batch a moment later; by length alone (policy/item_order.h) the small one
 * would wait for all long items to start, and its trainer would stand still
 * for the other's whole step. More urgent teams go first; among equally
 * urgent ones always the team with the fewest running items goes on, so that
 * each gets an equal part of the slots, and what it leaves goes to the
 * others. Pure.
 */
struct turn_team {
	uint32_t priority; /* 0 is the most urgent */
	uint32_t running; /* items; those that get a turn are added */
};

/*
 * `team_of` has the team, an index, of each item, in the order in which its
 * team wants them. `order` takes the items' indices in the order of turns.
 */
void team_turns_order(struct turn_team *teams, uint32_t team_count,
		      const uint32_t *team_of, uint32_t count, uint32_t *order);

#endif
