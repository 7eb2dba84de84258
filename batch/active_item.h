#ifndef BATCH_ACTIVE_ITEM_H
#define BATCH_ACTIVE_ITEM_H

#include "base/strbuf.h"
#include "batch/batch.h"
#include "batch/items_load.h"

/* An open item of a batch that this daemon runs, and its progress. */
#define ITEM_VERSIONS_MAX 8

enum active_item_state {
	ACTIVE_ITEM_WAITING = 0,
	ACTIVE_ITEM_RUNNING,
	ACTIVE_ITEM_SCORING, /* its text is complete, its score is not known yet
			      */
	ACTIVE_ITEM_STORING, /* its result is being appended */
	ACTIVE_ITEM_DONE,
};

/* The part of an item's text that attempts have produced. */
struct item_text {
	struct strbuf text; /* data of all events, separated by line feeds */
	int64_t last_event; /* id; -1: none */
	uint64_t versions[ITEM_VERSIONS_MAX]; /* of weights */
	uint32_t version_count;
	int complete;
};

struct item_attempt;
struct reward_call;
struct owned_partition;
struct active_batch;

struct active_item {
	struct active_batch *owner;
	const Currant__Topic__BatchItem *spec; /* NULL until it is read */
	uint32_t number; /* index in the batch */
	enum active_item_state state;
	struct item_text output;
	uint32_t failed_runs; /* failures answered by engines */
	uint32_t attempt_count; /* attempts started */
	uint32_t cuts_in_a_row; /* without a new event */
	int64_t event_at_cut; /* id of the last event at the latest cut */
	uint64_t failed_server_hash; /* of the last one, by id; 0: none */
	int64_t not_before_ns; /* of the next attempt or call */
	struct item_attempt *attempt;
	struct reward_call *reward; /* in flight; NULL: none */
	char *score; /* of the text; NULL: not known yet */
	int64_t completed_ns; /* when the text was complete */
	int is_text_stored; /* the complete text is in the log */
	uint32_t reward_calls; /* reward calls sent */
	uint32_t failed_rewards; /* of these, answered with 500 */
	uint32_t lost_reward_calls; /* consecutive calls without a score */
	uint32_t group; /* index in the batch's groups */
};

struct active_group {
	const char *name; /* from the specs of its items */
	uint32_t size;
	uint32_t left; /* items without a listed result */
	int is_required; /* its items were in an earlier batch */
};

/* A batch of an owned partition that this daemon runs. */
struct active_batch {
	struct batch *batch;
	struct owned_partition *owned;
	struct items_load load; /* reads the submitted items */
	struct topic_read progress; /* reads texts stored by an earlier owner */
	int reading_progress;
	int is_loaded;
	int64_t load_at_ns; /* when to retry a failed load; 0: not set */
	int64_t awaited_since_ns; /* see runner_awaits_config(); 0: not */
	struct active_item *items;
	struct active_group *groups;
	uint32_t group_count;
	uint32_t waiting; /* number of items in this state */
	uint32_t scoring; /* number of items in this state */
	uint64_t named_version; /* of its model, when the batch was loaded */
	int64_t demand_told_ns; /* when its model's demand was last told */
	uint64_t demand_services; /* hash of the services in that demand */
	struct active_batch *next;
};

/* The id that the caller gave the item. */
const char *active_item_id(const struct active_item *item);

/* Changes the state and updates the counts of the batch. */
void active_item_set_state(struct active_item *item,
			   enum active_item_state state);

void item_text_init(struct item_text *output);
void item_text_finish(struct item_text *output);
void item_text_reset(struct item_text *output);
void item_text_copy(struct item_text *to, const struct item_text *from);

/* Appends one event; returns -1 if it would exceed ITEM_VERSIONS_MAX. */
int item_text_add(struct item_text *output, int64_t event, const char *data,
		  size_t len, uint64_t version);

/* Whether the text's weight versions are allowed by these bounds. */
int item_text_versions_allowed(const struct item_text *output,
			       uint64_t min_version, int single_version);

#endif
