#ifndef POLICY_HEDGE_H
#define POLICY_HEDGE_H

#include <stdint.h>

#include "policy/retry_budget.h"

/*
 * Hedges the last samples of a group when they are late because of their
 * backend server. A second attempt continues on another server from the tokens
 * received so far, within a budget; the first complete response is used and the
 * other attempt is cancelled. A sample that is merely long is never hedged:
 * that would favour short samples and bias the training.
 */
struct hedge_policy {
	struct retry_budget budget;
	double tail_fraction; /* fraction of a group: its last samples */
	double min_gain_s; /* a smaller gain does not justify the extra work */
	double slow_factor; /* expected rate / rate of a slow server */
};

struct hedge_sample {
	int repeatable;
	uint32_t group_size;
	uint32_t group_left; /* incomplete samples of the group */
	double expected_left; /* tokens of this sample */
	double rate_tokens_per_s; /* measured at the current server */
	double expected_rate_tokens_per_s; /* of servers with such a batch */
	double other_s; /* estimated rest at the best other server */
};

/*
 * Hedges at most `per_mille` of the samples; up to `reserve` hedges are saved
 * up.
 */
void hedge_policy_init(struct hedge_policy *policy, uint32_t per_mille,
		       uint32_t reserve);

/* Records the first attempt of a sample. */
void hedge_first_attempt(struct hedge_policy *policy);

/*
 * Seconds that a hedge is expected to save; 0 or less if it must not be hedged.
 */
double hedge_gain_s(const struct hedge_policy *policy,
		    const struct hedge_sample *sample);

/* Whether to start a second attempt now; if so, takes it from the budget. */
int hedge_take(struct hedge_policy *policy, const struct hedge_sample *sample);

/* The attempts of one sample. */
struct hedge_race {
	uint32_t attempts; /* 1 or 2 */
	uint32_t lost; /* bits of attempts that failed or were cancelled */
	int32_t winner; /* -1: none yet */
};

enum hedge_outcome {
	HEDGE_ACCEPT, /* use this response */
	HEDGE_ACCEPT_CANCEL, /* use it and cancel the other attempt */
	HEDGE_IGNORE, /* another attempt has already succeeded */
	HEDGE_WAIT, /* failed, but the other attempt is in flight */
	HEDGE_FAILED, /* all attempts failed */
};

void hedge_race_init(struct hedge_race *race);
void hedge_race_add(struct hedge_race *race);

/* The attempt (0 or 1) returned a complete response, or failed. */
enum hedge_outcome hedge_race_answered(struct hedge_race *race,
				       uint32_t attempt);
enum hedge_outcome hedge_race_failed(struct hedge_race *race, uint32_t attempt);

#endif
