#ifndef BATCH_REWARD_CALL_H
#define BATCH_REWARD_CALL_H

#include "batch/active_item.h"
#include "fleet/fleet.h"
#include "net/net_client.h"

/*
 * One reward call: requests the score of an item's complete text from a server
 * of the call's route. The score is the receipt of a good answer. Calls are
 * idempotent.
 */
enum reward_outcome {
	REWARD_SCORED = 0,
	REWARD_NOT_RUN, /* rejected by the server, or it was unreachable */
	REWARD_FAILED, /* a failure of the server; counted against the item */
	REWARD_REJECTED, /* any other unsuccessful status */
	REWARD_LOST, /* no complete answer, or not in time */
};

#define REWARD_OUTCOMES 5

const char *reward_outcome_name(enum reward_outcome outcome);

struct reward_call;

struct reward_call_owner {
	/* Called when the call has ended; it is freed afterwards. */
	void (*ended)(struct reward_call_owner *owner, struct reward_call *call,
		      enum reward_outcome outcome);
};

struct reward_call {
	struct net_call net;
	struct reward_call_owner *owner;
	struct active_item *item;
	struct fleet_server *server; /* referenced */
	struct reactor *reactor;
	struct strbuf head;
	struct server_answer answer;
	char *score; /* from the answer; NULL: none */
	struct timer timer; /* ends the call after its timeout */
	int64_t started_ns;
};

/* The item's text must be complete. */
struct reward_call *
reward_call_start(struct reward_call_owner *owner, struct active_item *item,
		  struct fleet_server *server, struct net_pool *pool,
		  struct reactor *reactor, int64_t timeout_ns);

/* Ends and frees the call without calling its owner. */
void reward_call_cancel(struct reward_call *call);

#endif
