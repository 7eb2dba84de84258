#ifndef BATCH_ITEM_ATTEMPT_H
#define BATCH_ITEM_ATTEMPT_H

#include "base/record_log.h"
#include "batch/engine_state.h"
#include "batch/active_item.h"
#include "entry/caller_request.h"
#include "forward/event_splitter.h"
#include "net/net_client.h"

/*
 * One attempt of an item at an engine: requests the item's events after the
 * last one received, and appends them to its text as they arrive.
 */
enum item_attempt_outcome {
	ITEM_ATTEMPT_COMPLETE = 0, /* the stream ended as it should */
	ITEM_ATTEMPT_NOT_RUN, /* rejected or unreachable */
	ITEM_ATTEMPT_FAILED, /* engine failure, which counts */
	ITEM_ATTEMPT_REJECTED, /* the engine can never serve the request */
	ITEM_ATTEMPT_CUT, /* the stream was cut; a later attempt continues */
	ITEM_ATTEMPT_UNFIT, /* weight version not allowed by the batch */
	ITEM_ATTEMPT_TOO_LARGE, /* the log does not take a text of this size */
};

#define ITEM_ATTEMPT_OUTCOMES (ITEM_ATTEMPT_TOO_LARGE + 1)

const char *item_attempt_outcome_name(enum item_attempt_outcome outcome);

struct item_attempt;

struct item_attempt_owner {
	struct item_attempt *attempts; /* in flight */
	struct record_log *log;
	/* Called when the attempt has ended; it is freed afterwards. */
	void (*ended)(struct item_attempt_owner *owner,
		      struct item_attempt *attempt,
		      enum item_attempt_outcome outcome);
};

struct item_attempt {
	struct net_call net;
	struct item_attempt_owner *owner;
	struct active_item *item;
	struct engine_state *engine;
	struct reactor *reactor;
	struct strbuf head;
	struct event_splitter events;
	struct server_answer answer;
	char *model;
	uint64_t version; /* weight version of the current events */
	double memory_tokens;
	int64_t started_ns;
	int64_t last_event_ns; /* or of the head, or of the start */
	int64_t moved_ns; /* unused; when the item left another engine */
	uint32_t event_count;
	int unfit;
	int too_large;
	uint32_t max_text_bytes;
	struct item_attempt *next; /* in the owner's list */
	struct item_attempt **pprev;
};

struct item_attempt_start {
	struct net_pool *pool;
	struct reactor *reactor;
	const char *model;
	const char *team;
	int32_t priority; /* -1: not sent */
	double memory_tokens;
	uint32_t max_text_bytes; /* of the item's text */
};

struct item_attempt *item_attempt_start(struct item_attempt_owner *owner,
					struct active_item *item,
					struct engine_state *engine,
					const struct item_attempt_start *start);

/* Ends and frees the attempt without calling its owner. */
void item_attempt_cancel(struct item_attempt *attempt);

#endif
