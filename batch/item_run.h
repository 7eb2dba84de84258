#ifndef BATCH_ITEM_RUN_H
#define BATCH_ITEM_RUN_H

#include "base/record_log.h"
#include "batch/engine_state.h"
#include "batch/run_item.h"
#include "entry/caller_request.h"
#include "forward/event_splitter.h"
#include "net/net_client.h"

/*
 * One run of an item at an engine: asks for its events, from the last one
 * that came on, and adds them to the item's text as they come.
 */
enum item_run_end {
	ITEM_RUN_COMPLETE = 0, /* the stream came to its end */
	ITEM_RUN_NOT_RUN, /* the engine refused it, or could not be reached */
	ITEM_RUN_FAILED, /* the engine's own failure: a run that counts */
	ITEM_RUN_REJECTED, /* the engine says that it can never be done */
	ITEM_RUN_CUT, /* the stream broke off; another run goes on */
	ITEM_RUN_UNFIT, /* made by weights that the batch does not allow */
};

const char *item_run_end_name(enum item_run_end end);

struct item_run;

struct item_run_owner {
	struct item_run *runs; /* that are running */
	struct record_log *log;
	/* The run is over; it is freed afterwards. */
	void (*ended)(struct item_run_owner *owner, struct item_run *run,
		      enum item_run_end end);
};

struct item_run {
	struct net_call net;
	struct item_run_owner *owner;
	struct run_item *item;
	struct engine_state *engine;
	struct reactor *reactor;
	struct strbuf head;
	struct event_splitter events;
	struct server_answer answer;
	char *model;
	uint64_t version; /* that makes the events now */
	double memory_tokens;
	int64_t began_ns;
	int64_t event_ns; /* the last event, or the start */
	int64_t moved_ns; /* the item was at another engine until then */
	uint32_t event_count;
	int unfit;
	struct item_run *next; /* of the owner */
	struct item_run **at;
};

struct item_run_start {
	struct net_pool *pool;
	struct reactor *reactor;
	const char *model;
	const char *team;
	int32_t priority; /* -1: not said */
	double memory_tokens;
};

struct item_run *item_run_start(struct item_run_owner *owner,
				struct run_item *item,
				struct engine_state *engine,
				const struct item_run_start *start);

/* Ends the run without a call to its owner, and frees it. */
void item_run_cancel(struct item_run *run);

#endif
