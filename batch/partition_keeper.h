#ifndef BATCH_PARTITION_KEEPER_H
#define BATCH_PARTITION_KEEPER_H

#include "batch/batch_runner.h"
#include "discovery/discovery.h"

/*
 * Which partitions this daemon runs: claims those that have open batches and
 * no living owner, by the rule in policy/partition_owner.h, and gives up what
 * another one has claimed.
 */
struct partition_keeper;

struct kept_partition {
	struct batch_table_listener listener;
	struct partition_keeper *keeper;
	struct batch_partition *partition;
	struct topic_refresh refresh;
	int refreshing;
	int has_new_batch; /* that this process has just accepted */
	struct batch_write *claim; /* that is being stored */
	int64_t checked_ns; /* when it was last read for want of an owner */
};

struct partition_keeper {
	struct reactor *reactor;
	struct batch_set *set;
	struct batch_runner *runner;
	struct discovery *discovery;
	struct record_log *log;
	struct kept_partition *kept; /* one a partition */
	struct timer timer;
	struct timer soon;
	int soon_pending;
	int leaving;
};

void partition_keeper_init(struct partition_keeper *keeper,
			   struct reactor *reactor, struct batch_set *set,
			   struct batch_runner *runner,
			   struct discovery *discovery, struct record_log *log);
void partition_keeper_finish(struct partition_keeper *keeper);

/* A host leaves or came: looks whether its partitions are to be taken. */
void partition_keeper_hosts_changed(struct partition_keeper *keeper);

/* Gives up all partitions, with what their runs have made so far. */
void partition_keeper_leave(struct partition_keeper *keeper);

/* Whether claims and releases are still being stored. */
int partition_keeper_is_quiet(const struct partition_keeper *keeper);

#endif
