#include "sample/group_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

void group_table_init(struct group_table *table)
{
	memset(table, 0, sizeof(*table));
	for (uint32_t i = 0; i < GROUP_SHARDS; i++)
		pthread_mutex_init(&table->shards[i].lock, NULL);
}

static void remove_group(struct group_shard *shard, struct group **at)
{
	struct group *group = *at;

	*at = group->next;
	shard->count--;
	job_unref(group->job);
	free(group);
}

void group_table_finish(struct group_table *table)
{
	for (uint32_t i = 0; i < GROUP_SHARDS; i++) {
		struct group_shard *shard = &table->shards[i];

		while (shard->first)
			remove_group(shard, &shard->first);
		pthread_mutex_destroy(&shard->lock);
	}
}

static uint64_t trainer_hash(const struct group_id *id)
{
	return hash_text(id->trainer, hash_text(id->team, 0));
}

/*
 * All groups of a trainer share a shard, so that drop_earlier_steps() finds
 * them there.
 */
static struct group_shard *shard_of(struct group_table *table,
				    const struct group_id *id)
{
	return &table->shards[trainer_hash(id) % GROUP_SHARDS];
}

static int same_trainer(const struct group_id *a, const struct group_id *b)
{
	return !strcmp(a->trainer, b->trainer) && !strcmp(a->team, b->team);
}

static int same_group(const struct group_id *a, const struct group_id *b)
{
	return a->group == b->group && a->step == b->step && same_trainer(a, b);
}

static void drop_earlier_steps(struct group_shard *shard,
			       const struct group_id *id)
{
	struct group **at = &shard->first;

	while (*at) {
		if (same_trainer(&(*at)->id, id) && (*at)->id.step < id->step)
			remove_group(shard, at);
		else
			at = &(*at)->next;
	}
}

static struct group *find_group(struct group_shard *shard,
				const struct group_id *id)
{
	struct group *group = shard->first;

	while (group && !same_group(&group->id, id))
		group = group->next;
	return group;
}

static struct group *add_group(struct group_shard *shard,
			       const struct group_id *id, struct job *job)
{
	struct group *group;

	drop_earlier_steps(shard, id);
	if (shard->count == GROUPS_PER_SHARD_MAX)
		return NULL;
	group = xcalloc(1, sizeof(*group));
	group->id = *id;
	group->job = job;
	job_ref(job);
	group->next = shard->first;
	shard->first = group;
	shard->count++;
	return group;
}

struct job *group_table_find_or_add(struct group_table *table,
				    const struct group_id *id, struct job *job,
				    int64_t now_ns, int *found)
{
	struct group_shard *shard = shard_of(table, id);
	struct group *group;
	struct job *result = NULL;

	pthread_mutex_lock(&shard->lock);
	group = find_group(shard, id);
	*found = group != NULL;
	if (!group)
		group = add_group(shard, id, job);
	if (group) {
		group->last_request_ns = now_ns;
		result = group->job;
		job_ref(result);
	}
	pthread_mutex_unlock(&shard->lock);
	return result;
}

void group_table_remove(struct group_table *table, const struct group_id *id)
{
	struct group_shard *shard = shard_of(table, id);
	struct group **at = &shard->first;

	pthread_mutex_lock(&shard->lock);
	while (*at && !same_group(&(*at)->id, id))
		at = &(*at)->next;
	if (*at)
		remove_group(shard, at);
	pthread_mutex_unlock(&shard->lock);
}

uint32_t group_table_expire(struct group_table *table, int64_t before_ns)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < GROUP_SHARDS; i++) {
		struct group_shard *shard = &table->shards[i];
		struct group **at = &shard->first;

		pthread_mutex_lock(&shard->lock);
		while (*at) {
			if ((*at)->last_request_ns >= before_ns) {
				at = &(*at)->next;
				continue;
			}
			remove_group(shard, at);
			count++;
		}
		pthread_mutex_unlock(&shard->lock);
	}
	return count;
}
