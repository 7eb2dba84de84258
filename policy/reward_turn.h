#ifndef POLICY_REWARD_TURN_H
#define POLICY_REWARD_TURN_H

#include "policy/plain_choice.h"

/*
 * Schedules the reward calls of complete texts. Load pattern: the texts of a
 * step become complete in bursts, and their calls go to the few servers that
 * also serve interactive requests, which arrive singly and have much tighter
 * deadlines. So calls use only a fraction of a server's slots, counting those
 * of other hosts by the server's last response, and the remaining calls wait in
 * order: a group counts once its last item has its score, so items of groups
 * with the fewest left come first. A call that has waited too long may use
 * every slot, so that a steady load of single requests does not delay steps for
 * ever. Pure functions.
 */
struct reward_rank {
	int is_required; /* its group was in an earlier batch */
	uint64_t step; /* of its batch */
	uint32_t group_left; /* items of its group without a listed result */
	int64_t completed_ns; /* when the text was complete */
	uint32_t number; /* in its batch; breaks ties */
};

/* Negative if `a` is sent first. */
int reward_turn_compare(const struct reward_rank *a,
			const struct reward_rank *b);

/*
 * Index of the server for a call that has waited for `waited_ns`, or -1 if it
 * has to continue waiting. Clears `usable` of servers without room.
 */
int32_t reward_turn_place(struct plain_server *servers, uint32_t count,
			  int64_t waited_ns, struct rng *rng);

#endif
