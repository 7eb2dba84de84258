#ifndef POLICY_ATTEMPT_PLAN_H
#define POLICY_ATTEMPT_PLAN_H

#include <stdint.h>

/*
 * Decides what follows when one attempt of a request at a backend server has
 * ended: its response is delivered to the caller, another server is tried, or
 * the request fails with a status that tells whether it may have run. Pure
 * functions.
 *
 * A 503 promises that the request did not run, and is only given if no server
 * can have run it and no attempt is in flight that still could.
 */
enum attempt_outcome {
	ATTEMPT_ANSWERED = 0, /* a complete response, whatever its status */
	ATTEMPT_FAILED, /* a complete response, a server error (5xx) */
	ATTEMPT_NOT_RUN, /* the server reports that it did not run it */
	ATTEMPT_NOT_SENT, /* nothing was sent to the server */
	ATTEMPT_STALE, /* kept-alive connection closed before any response */
	ATTEMPT_LOST, /* it may have run, and there is no complete response */
};

const char *attempt_outcome_name(enum attempt_outcome outcome);

enum attempt_action {
	ATTEMPT_DELIVER = 0,
	ATTEMPT_RETRY_OTHER, /* retry on another server, if one is left */
	ATTEMPT_RETRY_SAME, /* retry on the same server, on a new connection */
	ATTEMPT_WAIT, /* another attempt of the request is in flight */
	ATTEMPT_REFUSE, /* 503: did not run */
	ATTEMPT_UNKNOWN, /* 502: may have run */
};

struct attempt_state {
	int may_repeat; /* the request is safe to run more than once */
	int may_have_run; /* in this or an earlier attempt */
	uint32_t sent; /* number of servers that it was sent to */
	uint32_t max_attempts;
	uint32_t running; /* other attempts in flight */
	int stale_retries; /* so far */
	int out_of_time;
	int server_closed; /* the last server takes no requests now */
};

enum attempt_action attempt_plan(const struct attempt_state *state,
				 enum attempt_outcome outcome);

#endif
