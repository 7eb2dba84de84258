#ifndef BATCH_REWARD_CALL_H
#define BATCH_REWARD_CALL_H

#include "batch/run_item.h"
#include "fleet/fleet.h"
#include "net/net_client.h"

/*
 * One reward call: asks a server of the call's route for the score of an
 * item's whole text. The score is the receipt of a good answer. A call may be
 * repeated at will.
 */
enum reward_end {
	REWARD_SCORED = 0,
	REWARD_NOT_RUN, /* the server refused it, or could not be reached */
	REWARD_FAILED, /* the server's own failure, which counts */
	REWARD_REJECTED, /* any other answer that is no success */
	REWARD_LOST, /* no whole answer, or not in time */
};

#define REWARD_ENDS 5

const char *reward_end_name(enum reward_end end);

struct reward_call;

struct reward_call_owner {
	/* The call is over; it is freed afterwards. */
	void (*ended)(struct reward_call_owner *owner, struct reward_call *call,
		      enum reward_end end);
};

struct reward_call {
	struct net_call net;
	struct reward_call_owner *owner;
	struct run_item *item;
	struct fleet_server *server; /* held */
	struct reactor *reactor;
	struct strbuf head;
	struct server_answer answer;
	char *score; /* of the answer; NULL: none */
	struct timer timer; /* the end of its time */
	int64_t began_ns;
};

/* The item's text is whole. */
struct reward_call *
reward_call_start(struct reward_call_owner *owner, struct run_item *item,
		  struct fleet_server *server, struct net_pool *pool,
		  struct reactor *reactor, int64_t timeout_ns);

/* Ends the call without telling its owner, and frees it. */
void reward_call_cancel(struct reward_call *call);

#endif
