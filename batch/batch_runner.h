#ifndef BATCH_BATCH_RUNNER_H
#define BATCH_BATCH_RUNNER_H

#include "base/histogram.h"
#include "base/record_log.h"
#include "base/rng.h"
#include "batch/batch_partition.h"
#include "batch/item_attempt.h"
#include "batch/item_text_cache.h"
#include "batch/reward_call.h"
#include "entry/config_holder.h"
#include "fleet/load_metrics.h"

/*
 * Runs the items of the partitions that this daemon owns: chooses the next item
 * and its engine, moves attempts away from engines that stop responding or are
 * leaving, and appends each result to the log. The order of the log decides
 * which result of an item counts.
 */
struct batch_runner;

/* A partition whose batches this daemon runs. */
struct owned_partition {
	struct batch_table_listener listener;
	struct batch_runner *runner;
	struct batch_partition *partition;
	struct active_batch *batches;
	struct owned_partition *next;
};

/*
 * What the open batches of a model need together of one service. All of them
 * run at one host, since they share a partition.
 */
struct batch_demand {
	const char *model;
	const char *service;
	/* Of the batch that needs the newest weights: */
	uint64_t min_version;
	uint64_t named_version; /* newest one named when it was loaded */
	/* Of the batch with the most at this service: */
	uint64_t tokens; /* expected */
	uint32_t items;
	int single_version; /* one of them must not mix versions */
};

struct batch_demand_listener;

struct batch_demand_listener_vtable {
	/* The newest version that the model's trainer has named. */
	uint64_t (*named_version)(struct batch_demand_listener *listener,
				  const char *model);
	/* The demand's texts are valid during the call. */
	void (*changed)(struct batch_demand_listener *listener,
			const struct batch_demand *demand);
};

struct batch_demand_listener {
	const struct batch_demand_listener_vtable *vt;
};

struct batch_runner {
	struct item_attempt_owner attempt_owner;
	struct fleet_listener fleet_listener;
	struct reactor *reactor;
	struct net_pool *pool;
	struct fleet *fleet;
	struct config_holder *config;
	struct topic_log *store;
	struct record_log *log;
	const char *data_centre;
	uint64_t sample_seed; /* selects the engines that this host considers */
	struct rng rng;
	struct owned_partition *owned;
	struct engine_state *engines;
	struct batch_demand_listener *demand_listener; /* may be NULL */
	uint64_t demand_config_version; /* last one compared with demands */
	struct item_text_cache text_cache;
	struct timer schedule_timer; /* places items once per event-loop turn */
	int schedule_pending;
	struct timer watch_timer; /* periodic checks, see runner_watch() */
	int watching;
	struct reward_call_owner reward_owner;
	struct timer reward_timer; /* for the next placement of reward calls */
	int64_t next_rewards_ns; /* when reward_timer fires; 0: not set */
	struct load_counters load_counters;
	struct counter *attempts_started;
	struct counter *attempts_ended[ITEM_ATTEMPT_OUTCOMES];
	struct counter *results;
	struct counter *attempts_moved;
	struct counter *reused_texts;
	struct counter *config_waits; /* batches that waited */
	struct counter *rewards_sent;
	struct counter *rewards_ended[REWARD_OUTCOMES]; /* by reward_outcome */
	struct histogram reward_wait; /* from the complete text to its score */
};

void batch_runner_init(struct batch_runner *runner, struct reactor *reactor,
		       struct net_pool *pool, struct fleet *fleet,
		       struct config_holder *config, struct topic_log *store,
		       struct record_log *log, struct counter_set *counters,
		       const char *data_centre, uint64_t seed);
void batch_runner_finish(struct batch_runner *runner);

/* Starts to run the partition's open batches and those accepted later. */
void batch_runner_add_partition(struct batch_runner *runner,
				struct batch_partition *partition);

/*
 * Stops running the partition. With `hand_over`, appends the text made so far
 * to the log, so that another host can continue from it.
 */
void batch_runner_remove_partition(struct batch_runner *runner,
				   struct batch_partition *partition,
				   int hand_over);

int batch_runner_has_partition(const struct batch_runner *runner,
			       const struct batch_partition *partition);

/* The engine loads this version of a model's weights, or has `loaded` it. */
void batch_runner_weight_load_changed(struct batch_runner *runner,
				      const char *server, const char *model,
				      uint64_t version, int loaded);

/* Schedules a placement of items after a change that may let an item run. */
void batch_runner_wake(struct batch_runner *runner);

#endif
