#include "policy/attempt_plan.h"

/*
 * Attempts on new connections to one server after idle kept-alive ones that it
 * had closed.
 */
#define STALE_RETRIES_MAX 2

const char *attempt_outcome_name(enum attempt_outcome outcome)
{
	static const char *const names[] = { "answered", "failed", "not_run",
					     "not_sent", "stale",  "lost" };

	return names[outcome];
}

/* No further attempt is made: selects the status for the caller. */
static enum attempt_action give_up(const struct attempt_state *state,
				   enum attempt_outcome outcome)
{
	if (state->running)
		return ATTEMPT_WAIT;
	if (outcome == ATTEMPT_FAILED)
		return ATTEMPT_DELIVER;
	return state->may_have_run ? ATTEMPT_UNKNOWN : ATTEMPT_REFUSE;
}

enum attempt_action attempt_plan(const struct attempt_state *state,
				 enum attempt_outcome outcome)
{
	int may_retry = !state->out_of_time &&
			(state->may_repeat || !state->may_have_run);

	switch (outcome) {
	case ATTEMPT_ANSWERED:
		return ATTEMPT_DELIVER;
	case ATTEMPT_STALE:
		if (may_retry && !state->server_closed &&
		    state->stale_retries < STALE_RETRIES_MAX)
			return ATTEMPT_RETRY_SAME;
		break;
	case ATTEMPT_FAILED:
	case ATTEMPT_NOT_RUN:
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_LOST:
		break;
	}
	if (may_retry && state->sent < state->max_attempts)
		return ATTEMPT_RETRY_OTHER;
	return give_up(state, outcome);
}
