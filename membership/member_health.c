#include "membership/member_health.h"

#include <string.h>

#include "base/clock.h"

/* 3.5 periods: three consecutive heartbeats are missing. */
#define SUSPECT_AFTER_HALF_PERIODS 7

/* A gone member returns to unknown, and is retried, after this time. */
#define RETRY_GONE_PERIODS 120

/* The flap count drops by one after each such time without a flap. */
#define FLAP_DECAY_PERIODS 60
#define MAX_FLAPS 6

#define MIN_PERIOD_MS 10
#define MAX_PERIOD_MS 60000

void member_health_init(struct member_health *health, int64_t period_ns)
{
	memset(health, 0, sizeof(*health));
	health->period_ns = period_ns;
	health->expected_since_ns = HEALTH_NEVER;
	health->last_seen_ns = HEALTH_NEVER;
	health->not_received_since_ns = HEALTH_NEVER;
	health->stable_since_ns = HEALTH_NEVER;
	health->last_flap_ns = HEALTH_NEVER;
}

void member_health_expect(struct member_health *health, int expected,
			  int64_t now_ns)
{
	if (!expected)
		health->expected_since_ns = HEALTH_NEVER;
	else if (health->expected_since_ns == HEALTH_NEVER)
		health->expected_since_ns = now_ns;
}

void member_health_restart_wait(struct member_health *health, int64_t now_ns)
{
	if (health->expected_since_ns != HEALTH_NEVER)
		health->expected_since_ns = now_ns;
}

static int64_t suspect_after_ns(const struct member_health *health)
{
	return health->period_ns * SUSPECT_AFTER_HALF_PERIODS / 2;
}

static int is_past(const struct member_health *health, uint64_t incarnation)
{
	uint32_t count = health->past_count;

	if (count > HEALTH_PAST_INCARNATIONS)
		count = HEALTH_PAST_INCARNATIONS;
	for (uint32_t i = 0; i < count; i++)
		if (health->past[i] == incarnation)
			return 1;
	return 0;
}

/*
 * Incarnations are random, so only the order of arrival separates old from
 * new. A late message of an old one may replace the new one; this is corrected
 * when the old one stays silent and the new one continues to send.
 */
static int accepts_incarnation(const struct member_health *health,
			       uint64_t incarnation, int64_t now_ns)
{
	if (!is_past(health, incarnation))
		return 1;
	return now_ns - health->last_seen_ns > suspect_after_ns(health);
}

static void replace_incarnation(struct member_health *health,
				uint64_t incarnation)
{
	if (health->last_seen_ns != HEALTH_NEVER)
		health->past[health->past_count++ % HEALTH_PAST_INCARNATIONS] =
			health->incarnation;
	health->incarnation = incarnation;
	health->reported_leaving = 0;
	health->not_received_since_ns = HEALTH_NEVER;
	if (health->state == MEMBER_LEAVING)
		health->state = MEMBER_UNKNOWN;
}

static void apply_period(struct member_health *health, uint32_t period_ms)
{
	if (period_ms >= MIN_PERIOD_MS && period_ms <= MAX_PERIOD_MS)
		health->period_ns = period_ms * NS_PER_MS;
}

int member_health_on_heartbeat(struct member_health *health,
			       uint64_t incarnation,
			       const Currant__Heartbeat *heartbeat,
			       int64_t now_ns)
{
	if (health->last_seen_ns == HEALTH_NEVER ||
	    incarnation != health->incarnation) {
		if (!accepts_incarnation(health, incarnation, now_ns))
			return 0;
		replace_incarnation(health, incarnation);
	}
	if (health->last_seen_ns == HEALTH_NEVER ||
	    now_ns - health->last_seen_ns > suspect_after_ns(health))
		health->stable_since_ns = now_ns;
	health->last_seen_ns = now_ns;
	apply_period(health, heartbeat->period_ms);
	health->reported_leaving |= heartbeat->leaving;
	if (heartbeat->hears_receiver) {
		if (health->not_received_since_ns != HEALTH_NEVER)
			health->stable_since_ns = now_ns;
		health->not_received_since_ns = HEALTH_NEVER;
	} else if (health->not_received_since_ns == HEALTH_NEVER) {
		health->not_received_since_ns = now_ns;
	}
	member_health_tick(health, now_ns);
	return 1;
}

static int is_late(const struct member_health *health, int64_t now_ns)
{
	int64_t since_ns = health->last_seen_ns;

	if (health->expected_since_ns > since_ns)
		since_ns = health->expected_since_ns;
	return now_ns - since_ns > suspect_after_ns(health);
}

int member_health_is_fresh(const struct member_health *health, int64_t now_ns)
{
	return health->last_seen_ns != HEALTH_NEVER &&
	       now_ns - health->last_seen_ns <= suspect_after_ns(health);
}

static int is_not_received(const struct member_health *health, int64_t now_ns)
{
	return health->not_received_since_ns != HEALTH_NEVER &&
	       now_ns - health->not_received_since_ns >
		       suspect_after_ns(health);
}

/* How long a recovered member must stay stable to count as alive. */
static int64_t damping_ns(const struct member_health *health)
{
	if (health->flaps <= 1)
		return 0;
	return health->period_ns << health->flaps;
}

static void decay_flaps(struct member_health *health, int64_t now_ns)
{
	if (!health->flaps || now_ns - health->last_flap_ns <
				      health->period_ns * FLAP_DECAY_PERIODS)
		return;
	health->flaps--;
	health->last_flap_ns = now_ns;
}

static void become_suspect(struct member_health *health, int64_t now_ns)
{
	if (health->state == MEMBER_SUSPECT)
		return;
	if (health->state == MEMBER_ALIVE) {
		if (health->flaps < MAX_FLAPS)
			health->flaps++;
		health->last_flap_ns = now_ns;
	}
	health->suspect_since_ns = now_ns;
	health->state = MEMBER_SUSPECT;
}

/* Updates the state of a member that is late or never sent a heartbeat. */
static void tick_silent(struct member_health *health, int64_t now_ns)
{
	int expected = health->expected_since_ns != HEALTH_NEVER;
	int64_t since_ns = health->suspect_since_ns;
	int64_t periods;

	if (since_ns < health->last_seen_ns)
		since_ns = health->last_seen_ns;
	periods = (now_ns - since_ns) / health->period_ns;
	switch (health->state) {
	case MEMBER_UNKNOWN:
	case MEMBER_ALIVE:
		if (expected)
			become_suspect(health, now_ns);
		else /* not asked to send heartbeats here */
			health->state = MEMBER_UNKNOWN;
		break;
	case MEMBER_LEAVING:
		health->suspect_since_ns = now_ns;
		health->state = MEMBER_GONE;
		break;
	case MEMBER_SUSPECT:
		if (periods >= HEALTH_GONE_PERIODS)
			health->state = MEMBER_GONE;
		break;
	case MEMBER_GONE:
		if (!expected && periods >= RETRY_GONE_PERIODS)
			health->state = MEMBER_UNKNOWN;
		break;
	}
}

void member_health_tick(struct member_health *health, int64_t now_ns)
{
	decay_flaps(health, now_ns);
	if (is_late(health, now_ns)) {
		tick_silent(health, now_ns);
		return;
	}
	if (health->last_seen_ns == HEALTH_NEVER)
		return;
	if (health->reported_leaving || health->listed_leaving)
		health->state = MEMBER_LEAVING;
	else if (is_not_received(health, now_ns))
		become_suspect(health, now_ns);
	else if (now_ns - health->stable_since_ns >= damping_ns(health))
		health->state = MEMBER_ALIVE;
	else
		health->state = MEMBER_SUSPECT;
}
