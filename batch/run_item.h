#ifndef BATCH_RUN_ITEM_H
#define BATCH_RUN_ITEM_H

#include "base/strbuf.h"
#include "batch/batch.h"
#include "batch/items_load.h"

/* An open item of a batch that this daemon runs, and what came of it. */
#define ITEM_VERSIONS_MAX 8

enum run_item_state {
	RUN_ITEM_WAITING = 0,
	RUN_ITEM_RUNNING,
	RUN_ITEM_SCORING, /* its text is whole, and its score is owed */
	RUN_ITEM_STORING, /* its result is being appended */
	RUN_ITEM_DONE,
};

/* What runs have brought of an item's text. */
struct item_text {
	struct strbuf text; /* data of all events, separated by line feeds */
	int64_t last_event; /* -1: none */
	uint64_t versions[ITEM_VERSIONS_MAX]; /* that made an event of it */
	uint32_t version_count;
	int complete;
};

struct item_run;
struct reward_call;
struct owned_partition;
struct run_batch;

struct run_item {
	struct run_batch *owner;
	const Currant__Topic__BatchItem *spec; /* once it was read */
	uint32_t number; /* in the batch */
	enum run_item_state state;
	struct item_text made;
	uint32_t failed_runs; /* answers of the engine that it failed */
	uint32_t runs; /* that were started */
	uint32_t cuts; /* runs that broke off in a row, without a new event */
	int64_t cut_event; /* the last event then */
	uint64_t failed_at; /* hash of the last server's id where one failed */
	int64_t not_before_ns; /* no run is started earlier */
	struct item_run *run;
	struct reward_call *reward; /* that runs */
	char *score; /* of the text; NULL: none yet */
	int64_t whole_ns; /* when the text was whole */
	int is_noted; /* the whole text stands in the log */
	uint32_t reward_calls; /* that were sent */
	uint32_t failed_rewards; /* answers of 500 to them */
	uint32_t lost_rewards; /* calls in a row without a good answer */
	uint32_t group; /* index */
};

struct run_group {
	const char *name; /* of its items' specs */
	uint32_t size;
	uint32_t left; /* items that are not listed */
	int is_required; /* it was in an earlier batch */
};

/* A batch of a partition that this daemon runs. */
struct run_batch {
	struct batch *batch;
	struct owned_partition *owned;
	struct items_load load; /* of what it was submitted with */
	struct topic_read progress; /* texts that an earlier owner noted */
	int reading_progress;
	int is_loaded;
	int64_t load_at_ns; /* a load that failed is tried again then */
	struct run_item *items;
	struct run_group *groups;
	uint32_t group_count;
	uint32_t waiting; /* items in that state */
	uint32_t scoring; /* likewise */
	struct run_batch *next;
};

/* As its caller named it. */
const char *run_item_id(const struct run_item *item);

/* Changes the state, and the counts of the item's batch with it. */
void run_item_set_state(struct run_item *item, enum run_item_state state);

void item_text_init(struct item_text *made);
void item_text_finish(struct item_text *made);
void item_text_reset(struct item_text *made);
void item_text_copy(struct item_text *to, const struct item_text *from);

/* Adds one event; -1 if too many versions made the text. */
int item_text_add(struct item_text *made, int64_t event, const char *data,
		  size_t len, uint64_t version);

/* Whether the text may stand in a batch with these bounds. */
int item_text_fits(const struct item_text *made, uint64_t min_version,
		   int single_version);

#endif
