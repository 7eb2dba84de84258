#ifndef BATCH_BATCH_RUNNER_H
#define BATCH_BATCH_RUNNER_H

#include "base/histogram.h"
#include "base/record_log.h"
#include "base/rng.h"
#include "batch/batch_partition.h"
#include "batch/carried_texts.h"
#include "batch/item_run.h"
#include "batch/reward_call.h"
#include "entry/config_holder.h"
#include "fleet/fleet.h"

/*
 * Runs the items of the partitions that this daemon owns: chooses the next
 * item and its engine, moves runs away from engines that fall silent or
 * leave, and appends each result to the log, whose order decides.
 */
struct batch_runner;

/* One partition that is run here. */
struct owned_partition {
	struct batch_table_listener listener;
	struct batch_runner *runner;
	struct batch_partition *partition;
	struct run_batch *batches;
	struct owned_partition *next;
};

/* Who hears what the batches that are run here need. */
struct batch_need_listener {
	void (*accepted)(struct batch_need_listener *listener,
			 const struct batch *batch, const char *service,
			 uint64_t tokens);
};

struct batch_runner {
	struct item_run_owner run_owner;
	struct fleet_listener fleet_listener;
	struct reactor *reactor;
	struct net_pool *pool;
	struct fleet *fleet;
	struct config_holder *config;
	struct topic_log *store;
	struct record_log *log;
	const char *data_centre;
	uint64_t sample_seed; /* which engines this host looks at */
	struct rng rng;
	struct owned_partition *owned;
	struct engine_state *engines;
	struct batch_need_listener *needs; /* may be NULL */
	struct carried_texts carried;
	struct timer schedule; /* choices are made once a turn */
	int schedule_pending;
	struct timer watch; /* of runs */
	int watching;
	struct reward_call_owner reward_owner;
	struct timer rewards; /* when calls are placed next */
	int64_t rewards_at_ns; /* 0: not set */
	struct counter *runs_started;
	struct counter *runs_ended[6]; /* by item_run_end */
	struct counter *results;
	struct counter *moved;
	struct counter *reused_texts;
	struct counter *rewards_sent;
	struct counter *rewards_ended[REWARD_ENDS]; /* by reward_end */
	struct histogram reward_wait; /* from the whole text to its score */
};

void batch_runner_init(struct batch_runner *runner, struct reactor *reactor,
		       struct net_pool *pool, struct fleet *fleet,
		       struct config_holder *config, struct topic_log *store,
		       struct record_log *log, struct counter_set *counters,
		       const char *data_centre, uint64_t seed);
void batch_runner_finish(struct batch_runner *runner);

/* Runs the open batches of the partition, and those that come. */
void batch_runner_take(struct batch_runner *runner,
		       struct batch_partition *partition);

/*
 * Stops running the partition. `hand_over` appends what its runs have made so
 * far, so that another host can go on with it.
 */
void batch_runner_leave(struct batch_runner *runner,
			struct batch_partition *partition, int hand_over);

int batch_runner_has(const struct batch_runner *runner,
		     const struct batch_partition *partition);

/* An engine loads the version of a model's weights, or has loaded it. */
void batch_runner_note_load(struct batch_runner *runner, const char *server,
			    const char *model, uint64_t version, int loaded);

/* Something changed that may let an item run: looks soon. */
void batch_runner_wake(struct batch_runner *runner);

#endif
