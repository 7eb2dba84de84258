#ifndef BATCH_BATCH_RUNNER_PRIVATE_H
#define BATCH_BATCH_RUNNER_PRIVATE_H

#include "batch/batch_runner.h"

/* Model of the item, or that of its batch if the item names none. */
const char *runner_model(const struct active_item *item);

/* Of the item's text in the cache; valid while the item is. */
struct item_text_key runner_text_key(const struct active_item *item);

/* The item's route in the current configuration; NULL if there is none. */
const struct entry_route *runner_route(const struct batch_runner *runner,
				       const struct active_item *item);

/*
 * Whether this daemon has yet to read the configuration under which the batch
 * was accepted. Its own one says nothing about the batch's routes until then:
 * no item of the batch is given up for a missing route, and neither an item
 * nor a reward call is sent anywhere.
 */
int runner_awaits_config(const struct batch_runner *runner,
			 const struct batch *batch);

/* Reports when the wait for the batch's configuration begins or has ended. */
void runner_watch_config(struct batch_runner *runner,
			 struct active_batch *batch);

/* Adds the versions in force and of the acceptance to a line of the log. */
void runner_record_configs(struct record *record,
			   const struct batch_runner *runner,
			   const struct batch *batch);

int64_t runner_now_ns(const struct batch_runner *runner);

/* Starts attempts of waiting items while engines have free slots. */
void runner_place_items(struct batch_runner *runner);

/* Appends the result of an item that is complete or given up. */
void runner_store_result(struct batch_runner *runner, struct active_item *item,
			 enum batch_item_state state, const char *reason);

/*
 * Called when the item's text is complete: stores the result, or first obtains
 * a score if the item needs one.
 */
void runner_complete_text(struct batch_runner *runner, struct active_item *item,
			  const char *reason);

void runner_rewards_init(struct batch_runner *runner,
			 struct counter_set *counters);

/* Stores texts that have waited for their score for a long time. */
void runner_watch_rewards(struct batch_runner *runner,
			  const struct active_batch *batch);

/* Appends the item's text and failure counts, for a later owner. */
void runner_store_item_progress(struct batch_runner *runner,
				const struct active_item *item);

/* Appends the progress of all open items of the partition. */
void runner_store_progress(struct batch_runner *runner,
			   struct owned_partition *owned);

/* Periodic checks: unresponsive or leaving engines, expired batches. */
void runner_watch(struct batch_runner *runner);

/* Moves attempts to engines where they are expected to end sooner. */
void runner_move_items(struct batch_runner *runner);

/* Ends the attempt and continues its item at another engine. */
void runner_move(struct batch_runner *runner, struct item_attempt *attempt,
		 struct engine_state *engine);

/* Ends the attempt and returns its item to the waiting state. */
void runner_requeue(struct batch_runner *runner, struct item_attempt *attempt,
		    const char *reason);

/* Reads the items that the batch was submitted with, then starts it. */
void runner_load_batch(struct active_batch *batch);

/*
 * Reads the texts that an earlier owner of the partition stored. Returns 0 if
 * there are none; otherwise runner_start_batch() is called after the read.
 */
int runner_load_progress(struct active_batch *batch);

/*
 * Tells the listener what the loaded batches of the model need of each service
 * that runs items of theirs.
 */
void runner_publish_demand(struct batch_runner *runner,
			   struct owned_partition *owned, const char *model);

/*
 * Tells it again of batches that stay open, before it forgets them, and of
 * those that a new configuration sends to other services.
 */
void runner_renew_demand(struct batch_runner *runner);

/* Called when the batch's items and texts are read: its items may run. */
void runner_start_batch(struct active_batch *batch);

/* Adds a batch of an owned partition, unless it is done or already added. */
void runner_add_batch(struct owned_partition *owned, struct batch *batch);
void runner_remove_batch(struct owned_partition *owned,
			 struct active_batch *batch);
struct active_batch *runner_find_batch(struct owned_partition *owned,
				       const struct batch *batch);

#endif
