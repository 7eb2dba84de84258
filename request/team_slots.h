#ifndef REQUEST_TEAM_SLOTS_H
#define REQUEST_TEAM_SLOTS_H

#include <pthread.h>
#include <stdint.h>

#include "state/config.h"

/*
 * Requests in flight by team, and how many each team may have on this
 * daemon: its part of the team's limit, which is split anew now and then
 * (app/team_shares.h). A limit that was not split yet is split equally. In
 * shards by team, each under its lock.
 */
#define TEAM_SLOTS_SHARDS 16

struct team_slot {
	char team[NAME_BYTES];
	uint32_t in_flight;
	uint32_t refused; /* since it was last asked */
	uint32_t limit; /* that `part` is of; 0: not split */
	uint32_t part;
	struct team_slot *next;
};

struct team_slots_shard {
	pthread_mutex_t lock;
	struct team_slot *first;
};

struct team_slots {
	struct team_slots_shard shards[TEAM_SLOTS_SHARDS];
	uint32_t members; /* daemons that split; 0: not known, no part */
};

void team_slots_init(struct team_slots *slots);
void team_slots_finish(struct team_slots *slots);

/*
 * Counts one request of the team in, whose limit over all daemons is `limit`
 * (0: none). Returns -1, and counts a refusal, if the daemon's part is used.
 */
int team_slots_take(struct team_slots *slots, const char *team, uint32_t limit);

/* One request that was counted in has ended. */
void team_slots_give_back(struct team_slots *slots, const char *team);

/* Sets the daemon's part of the team's limit. */
void team_slots_set_part(struct team_slots *slots, const char *team,
			 uint32_t limit, uint32_t part);

/* Sets among how many daemons limits are split that have no part yet. */
void team_slots_set_members(struct team_slots *slots, uint32_t members);

/* Drops all parts: every limit is split equally again. */
void team_slots_forget_parts(struct team_slots *slots);

struct team_use {
	uint32_t in_flight;
	uint32_t refused; /* since the last look */
	uint32_t part; /* of the limit that was asked for */
};

/* Tells what a team uses, and counts its refusals from 0 again. */
void team_slots_look(struct team_slots *slots, const char *team, uint32_t limit,
		     struct team_use *use);

#endif
