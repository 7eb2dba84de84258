#ifndef BATCH_PARTITION_CLAIMER_H
#define BATCH_PARTITION_CLAIMER_H

#include "batch/batch_runner.h"
#include "discovery/discovery.h"

/*
 * Decides which partitions this daemon runs: claims partitions without a live
 * owner that have open batches, or to which those of a configured model would
 * come, by the rule in policy/partition_owner.h, and stops running those that
 * another host has claimed.
 */
struct partition_claimer;

/* Ownership state of one partition. */
struct claim_state {
	struct batch_table_listener listener;
	struct partition_claimer *keeper;
	struct batch_partition *partition;
	struct topic_refresh refresh;
	int refresh_pending;
	int has_new_batch; /* this process has just accepted a batch */
	struct batch_write *claim_write; /* in flight; NULL: none */
	int64_t last_read_ns; /* last read because it had no owner */
};

struct partition_claimer {
	struct reactor *reactor;
	struct batch_set *set;
	struct batch_runner *runner;
	struct discovery *discovery;
	struct record_log *log;
	struct claim_state *states; /* by partition number */
	struct timer timer; /* periodic check */
	struct timer update_timer; /* one-shot, after records are applied */
	int update_pending;
	int64_t ready_ns; /* since when this host is ready; 0: it isn't */
	int leaving;
};

void partition_claimer_init(struct partition_claimer *keeper,
			    struct reactor *reactor, struct batch_set *set,
			    struct batch_runner *runner,
			    struct discovery *discovery,
			    struct record_log *log);
void partition_claimer_finish(struct partition_claimer *keeper);

/* Checks for partitions to take over after a host left or joined. */
void partition_claimer_hosts_changed(struct partition_claimer *keeper);

/* Releases all partitions; partial texts are stored for the next owner. */
void partition_claimer_release_all(struct partition_claimer *keeper);

/* Whether no write to a partition, such as a release, is pending. */
int partition_claimer_is_idle(const struct partition_claimer *keeper);

#endif
