#ifndef SAMPLE_GROUP_TABLE_H
#define SAMPLE_GROUP_TABLE_H

#include <pthread.h>
#include <stdint.h>

#include "request/job.h"

/*
 * Table of sample groups by identity (team, trainer, step, group), split into
 * shards with a lock each. It makes requests for a group idempotent: a retry
 * joins the job while it runs and gets the same answer once it is done, until
 * the trainer acknowledges the group or requests a later step, or the group
 * expires. A trainer closes its connection before it retries, so that no
 * sample reaches it twice.
 */
#define GROUP_SHARDS 16
#define GROUPS_PER_SHARD_MAX 4096

struct group_id {
	char team[NAME_BYTES];
	char trainer[NAME_BYTES];
	uint64_t step;
	uint64_t group;
};

struct group {
	struct group_id id;
	struct job *job; /* the group holds a reference */
	int64_t last_request_ns;
	struct group *next;
};

struct group_shard {
	pthread_mutex_t lock;
	struct group *first; /* newest first */
	uint32_t count;
};

struct group_table {
	struct group_shard shards[GROUP_SHARDS];
};

void group_table_init(struct group_table *table);
void group_table_finish(struct group_table *table);

/*
 * Finds the group's job, or adds the group with `job`. Returns the job to wait
 * for, with a reference for the caller, and sets `*found` to whether the group
 * existed. Adding a group removes the trainer's groups of earlier steps.
 * Returns NULL if the group's shard is full.
 */
struct job *group_table_find_or_add(struct group_table *table,
				    const struct group_id *id, struct job *job,
				    int64_t now_ns, int *found);

/* Removes a group that failed or was acknowledged. */
void group_table_remove(struct group_table *table, const struct group_id *id);

/* Removes groups last requested before `before_ns`; returns their number. */
uint32_t group_table_expire(struct group_table *table, int64_t before_ns);

#endif
