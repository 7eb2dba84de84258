#ifndef POLICY_REWARD_TURN_H
#define POLICY_REWARD_TURN_H

#include "policy/plain_choice.h"

/*
 * When a whole text's reward call is sent, and where. Load pattern: the texts
 * of a step become whole in bursts, and their calls go to the few servers that
 * also answer people, whose requests come singly and are due much sooner. So
 * calls take only a part of a server's slots, counting what other hosts have
 * there by its last answer, and the others wait here, in order: a group counts
 * once its last item has its score, so items of groups with the least left go
 * first. A call that has waited for long may take every slot, so that a steady
 * load of requests doesn't hold steps up for ever. Pure.
 */
struct reward_rank {
	int is_required; /* its group was in an earlier batch */
	uint64_t step; /* of its batch */
	uint32_t group_left; /* items of its group that are not listed */
	int64_t whole_ns; /* when the text was whole */
	uint32_t number; /* in its batch; breaks ties */
};

/* Negative if `a` goes first. */
int reward_turn_compare(const struct reward_rank *a,
			const struct reward_rank *b);

/*
 * Index of the server for a call that has waited so long; -1 if it goes on
 * waiting. Clears `usable` of servers without room.
 */
int32_t reward_turn_place(struct plain_server *servers, uint32_t count,
			  int64_t waited_ns, struct rng *rng);

#endif
