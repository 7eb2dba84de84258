#include "request/team_slots.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "base/hash.h"

void team_slots_init(struct team_slots *slots)
{
	memset(slots, 0, sizeof(*slots));
	for (uint32_t i = 0; i < TEAM_SLOTS_SHARDS; i++)
		pthread_mutex_init(&slots->shards[i].lock, NULL);
}

void team_slots_finish(struct team_slots *slots)
{
	for (uint32_t i = 0; i < TEAM_SLOTS_SHARDS; i++) {
		struct team_slot *slot = slots->shards[i].first;

		while (slot) {
			struct team_slot *next = slot->next;

			free(slot);
			slot = next;
		}
		pthread_mutex_destroy(&slots->shards[i].lock);
	}
}

static struct team_slots_shard *shard_of(struct team_slots *slots,
					 const char *team)
{
	return &slots->shards[hash_text(team, 0) % TEAM_SLOTS_SHARDS];
}

/* The shard's lock is held. */
static struct team_slot *find_or_add(struct team_slots_shard *shard,
				     const char *team)
{
	struct team_slot *slot;

	for (slot = shard->first; slot; slot = slot->next)
		if (!strcmp(slot->team, team))
			return slot;
	slot = xcalloc(1, sizeof(*slot));
	copy_text(slot->team, sizeof(slot->team), team);
	slot->next = shard->first;
	shard->first = slot;
	return slot;
}

static uint32_t part_of(struct team_slots *slots, const struct team_slot *slot,
			uint32_t limit)
{
	uint32_t members = __atomic_load_n(&slots->members, __ATOMIC_ACQUIRE);

	if (slot->limit == limit)
		return slot->part;
	return members ? limit / members : 0;
}

int team_slots_take(struct team_slots *slots, const char *team, uint32_t limit)
{
	struct team_slots_shard *shard = shard_of(slots, team);
	struct team_slot *slot;
	int result = 0;

	pthread_mutex_lock(&shard->lock);
	slot = find_or_add(shard, team);
	if (limit && slot->in_flight >= part_of(slots, slot, limit)) {
		slot->refused++;
		result = -1;
	} else {
		slot->in_flight++;
	}
	pthread_mutex_unlock(&shard->lock);
	return result;
}

void team_slots_give_back(struct team_slots *slots, const char *team)
{
	struct team_slots_shard *shard = shard_of(slots, team);
	struct team_slot *slot;

	pthread_mutex_lock(&shard->lock);
	slot = find_or_add(shard, team);
	if (!slot->in_flight)
		BUG("team '%s' gives back more than it took", team);
	slot->in_flight--;
	pthread_mutex_unlock(&shard->lock);
}

void team_slots_set_part(struct team_slots *slots, const char *team,
			 uint32_t limit, uint32_t part)
{
	struct team_slots_shard *shard = shard_of(slots, team);
	struct team_slot *slot;

	pthread_mutex_lock(&shard->lock);
	slot = find_or_add(shard, team);
	slot->limit = limit;
	slot->part = part;
	pthread_mutex_unlock(&shard->lock);
}

void team_slots_set_members(struct team_slots *slots, uint32_t members)
{
	__atomic_store_n(&slots->members, members, __ATOMIC_RELEASE);
}

void team_slots_forget_parts(struct team_slots *slots)
{
	for (uint32_t i = 0; i < TEAM_SLOTS_SHARDS; i++) {
		struct team_slots_shard *shard = &slots->shards[i];
		struct team_slot *slot;

		pthread_mutex_lock(&shard->lock);
		for (slot = shard->first; slot; slot = slot->next)
			slot->limit = 0;
		pthread_mutex_unlock(&shard->lock);
	}
}

void team_slots_look(struct team_slots *slots, const char *team, uint32_t limit,
		     struct team_use *use)
{
	struct team_slots_shard *shard = shard_of(slots, team);
	struct team_slot *slot;

	pthread_mutex_lock(&shard->lock);
	slot = find_or_add(shard, team);
	use->in_flight = slot->in_flight;
	use->refused = slot->refused;
	use->part = part_of(slots, slot, limit);
	slot->refused = 0;
	pthread_mutex_unlock(&shard->lock);
}
