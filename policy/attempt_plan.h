#ifndef POLICY_ATTEMPT_PLAN_H
#define POLICY_ATTEMPT_PLAN_H

#include <stdint.h>

/*
 * What follows when one try of a request at a backend server has ended: its
 * answer goes to the caller, another server is tried, or the request is given
 * up with a status that tells the truth. Pure.
 *
 * A refusal that promises "not run" (503) is only given if no server can have
 * run the request and none still may.
 */
enum attempt_outcome {
	ATTEMPT_ANSWERED = 0, /* a whole answer, whatever its status */
	ATTEMPT_FAILED, /* a whole answer, but the server's own failure (5xx) */
	ATTEMPT_NOT_RUN, /* the server says that it did not run it */
	ATTEMPT_NOT_SENT, /* nothing reached the server */
	ATTEMPT_STALE, /* a kept connection was closed before any answer */
	ATTEMPT_LOST, /* it may have run, and there is no whole answer */
};

const char *attempt_outcome_name(enum attempt_outcome outcome);

enum attempt_action {
	ATTEMPT_DELIVER = 0,
	ATTEMPT_AGAIN, /* another server, if one is left */
	ATTEMPT_SAME, /* the same server, on a new connection */
	ATTEMPT_WAIT, /* another try of the request still runs */
	ATTEMPT_REFUSE, /* 503: not run */
	ATTEMPT_UNKNOWN, /* 502: it may have run */
};

struct attempt_state {
	int may_repeat; /* the request may run more than once */
	int may_have_run; /* by this or an earlier try */
	uint32_t sent; /* servers that it was sent to */
	uint32_t max_attempts;
	uint32_t running; /* other tries that still run */
	int stale_retries; /* that were made */
	int out_of_time;
};

enum attempt_action attempt_plan(const struct attempt_state *state,
				 enum attempt_outcome outcome);

#endif
