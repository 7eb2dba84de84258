#ifndef MEMBERSHIP_MEMBER_HEALTH_H
#define MEMBERSHIP_MEMBER_HEALTH_H

#include <stdint.h>

#include "membership/membership.h"

/*
 * State machine for the health of one member, based on its heartbeats:
 *
 *   - three consecutive heartbeats are missing, or the member reports for that
 *     long that it does not receive this daemon's heartbeats: suspect;
 *   - suspect and no heartbeat for HEALTH_GONE_PERIODS, or leaving and no
 *     heartbeat: gone;
 *   - a suspect whose heartbeats arrive in both directions again is alive at
 *     once the first time, then after a delay that doubles with each repeat;
 *   - a replaced incarnation is ignored while its successor sends heartbeats.
 */
#define HEALTH_GONE_PERIODS 20
#define HEALTH_PAST_INCARNATIONS 4

/* Timestamp of an event that has not happened. */
#define HEALTH_NEVER (-1)

struct member_health {
	enum member_state state;
	int64_t period_ns; /* between its heartbeats */
	int64_t expected_since_ns; /* when it became expected, or NEVER */
	int64_t last_seen_ns; /* or NEVER */
	int64_t not_received_since_ns; /* our heartbeats lost, or NEVER */
	int64_t stable_since_ns; /* both directions work, or NEVER */
	int64_t suspect_since_ns; /* end of the last alive or unknown state */
	int64_t last_flap_ns;
	uint32_t flaps;
	uint64_t incarnation;
	uint64_t past[HEALTH_PAST_INCARNATIONS]; /* ring of replaced ones */
	uint32_t past_count; /* total number replaced */
	int reported_leaving;
	int listed_leaving;
};

void member_health_init(struct member_health *health, int64_t period_ns);

/*
 * Sets whether heartbeats are expected from the member: peers to which this
 * daemon sends regularly are expected to answer.
 */
void member_health_expect(struct member_health *health, int expected,
			  int64_t now_ns);

/* Restarts the wait for an expected member after a pause of this process. */
void member_health_restart_wait(struct member_health *health, int64_t now_ns);

/* Applies one heartbeat; returns 0 if it is from a replaced incarnation. */
int member_health_on_heartbeat(struct member_health *health,
			       uint64_t incarnation,
			       const Currant__Heartbeat *heartbeat,
			       int64_t now_ns);

/*
 * Whether the member's heartbeats arrive; this is reported back to it. Also
 * true for a member that is suspect only because it does not receive this
 * daemon's heartbeats.
 */
int member_health_is_fresh(const struct member_health *health, int64_t now_ns);

/* Updates the state for the current time. */
void member_health_tick(struct member_health *health, int64_t now_ns);

#endif
