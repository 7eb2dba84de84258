#ifndef BATCH_BATCH_RUNNER_PRIVATE_H
#define BATCH_BATCH_RUNNER_PRIVATE_H

#include "batch/batch_runner.h"

/* Model of an item; that of its batch if it names none. */
const char *runner_model(const struct run_item *item);

/* The route by which an item runs now; NULL if there is none any more. */
const struct entry_route *runner_route(const struct batch_runner *runner,
				       const struct run_item *item);

int64_t runner_now_ns(const struct batch_runner *runner);

/* Starts waiting items as far as engines have room. */
void runner_place_items(struct batch_runner *runner);

/* Appends the result of an item that is complete, or given up. */
void runner_store_result(struct batch_runner *runner, struct run_item *item,
			 enum batch_item_state state, const char *reason);

/* The item's text is whole: gets its score if it needs one, or stores it. */
void runner_take_text(struct batch_runner *runner, struct run_item *item,
		      const char *reason);

void runner_rewards_init(struct batch_runner *runner,
			 struct counter_set *counters);

/* Looks after items whose score is owed for long. */
void runner_watch_rewards(struct batch_runner *runner,
			  const struct run_batch *batch);

/* Appends what the item's runs have made, for a later owner. */
void runner_note_text(struct batch_runner *runner, const struct run_item *item);

/* Appends what open items' runs have made so far. */
void runner_store_progress(struct batch_runner *runner,
			   struct owned_partition *owned);

/* Looks after runs: silent engines, leaving ones, time that is over. */
void runner_watch(struct batch_runner *runner);

/* Moves runs to engines where they end sooner. */
void runner_move_items(struct batch_runner *runner);

/* Goes on with the run's item at another engine. */
void runner_move(struct batch_runner *runner, struct item_run *run,
		 struct engine_state *engine);

/* Ends a run; its item waits again. */
void runner_requeue(struct batch_runner *runner, struct item_run *run,
		    const char *reason);

/* Reads what the batch was submitted with, and lets its items run. */
void runner_load_batch(struct run_batch *batch);

/*
 * Reads the texts that an earlier owner of the partition has noted. Returns 0
 * if there are none; else calls runner_start_batch() when it has.
 */
int runner_load_progress(struct run_batch *batch);

/* All that there is of the batch has been read: its items may run. */
void runner_start_batch(struct run_batch *batch);

/* Takes a batch of an owned partition over; nothing if it is done. */
void runner_add_batch(struct owned_partition *owned, struct batch *batch);
void runner_remove_batch(struct owned_partition *owned,
			 struct run_batch *batch);
struct run_batch *runner_find_batch(struct owned_partition *owned,
				    const struct batch *batch);

#endif
