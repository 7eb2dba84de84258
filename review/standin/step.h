/* A trainer's steps, and the rule LOST about steps that run out of time. */
#ifndef REVIEW_STEP_H
#define REVIEW_STEP_H

#include "batch.h"

#define STEP_ITEMS_MAX 256
/* The rule's own figures. */
#define STEP_AT_NO_ENGINE_MS 5000
#define STEP_AFTER_NAMING_MS 6000
#define STEP_ENDS_SOON_MS 1000

struct steps {
	struct batch_shape
		shape; /* of each step; `id` and `step` are set here */
	int target_groups; /* the trainer waits for these */
	int64_t budget_ms; /* its time budget */
	/* A step allows its own version alone; else the one before, too. */
	int newest_only;
	struct engine *engines;
	size_t engine_count;
	int daemons;
};

/* To be called by engines: a run of an item begins, and ends. */
void step_run_begins(const char *id);
/* `is_over`: the engine has finished the item, or failed it. */
void step_run_ends(const char *id, int is_over);
/* Number of an item of the present step; -1: of another one. */
int step_item(const char *id);

/*
 * Names a version of the weights, asks for the step that goes with it, reads it
 * until the trainer's groups are whole or its time is up, and ends it. Calls
 * `during` once, `after_ms` after the 202; NULL: not. Returns how many items
 * were lost by the rule.
 */
int step_play(const struct steps *steps, int version, void (*during)(void),
	      int64_t after_ms);
/* Whether the last step's groups were whole in time. */
int step_was_whole(void);

#endif
