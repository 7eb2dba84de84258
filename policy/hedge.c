#include "policy/hedge.h"

#define TAIL_FRACTION 0.25
#define MIN_GAIN_S 2.0
#define SLOW_FACTOR 1.6
#define MIN_RATE_TOKENS_PER_S 0.01

void hedge_policy_init(struct hedge_policy *policy, uint32_t per_mille,
		       uint32_t reserve)
{
	retry_budget_init(&policy->budget, per_mille, reserve);
	policy->tail_fraction = TAIL_FRACTION;
	policy->min_gain_s = MIN_GAIN_S;
	policy->slow_factor = SLOW_FACTOR;
}

void hedge_first_attempt(struct hedge_policy *policy)
{
	retry_budget_first_attempt(&policy->budget);
}

static int is_in_tail(const struct hedge_policy *policy,
		      const struct hedge_sample *sample)
{
	return sample->group_left <= 1 ||
	       sample->group_left <= policy->tail_fraction * sample->group_size;
}

double hedge_gain_s(const struct hedge_policy *policy,
		    const struct hedge_sample *sample)
{
	double rate = sample->rate_tokens_per_s;

	if (!sample->repeatable || !is_in_tail(policy, sample))
		return 0;
	if (rate * policy->slow_factor >= sample->expected_rate_tokens_per_s)
		return 0;
	if (rate < MIN_RATE_TOKENS_PER_S)
		rate = MIN_RATE_TOKENS_PER_S;
	return sample->expected_left / rate - sample->other_s;
}

int hedge_take(struct hedge_policy *policy, const struct hedge_sample *sample)
{
	if (hedge_gain_s(policy, sample) < policy->min_gain_s)
		return 0;
	return retry_budget_take(&policy->budget);
}

void hedge_race_init(struct hedge_race *race)
{
	race->attempts = 1;
	race->lost = 0;
	race->winner = -1;
}

void hedge_race_add(struct hedge_race *race)
{
	race->attempts++;
}

static int other_runs(const struct hedge_race *race, uint32_t attempt)
{
	uint32_t other = 1 - attempt;

	return other < race->attempts && !(race->lost & 1u << other);
}

enum hedge_outcome hedge_race_answered(struct hedge_race *race,
				       uint32_t attempt)
{
	if (race->winner >= 0 || race->lost & 1u << attempt)
		return HEDGE_IGNORE;
	race->winner = (int32_t)attempt;
	if (!other_runs(race, attempt))
		return HEDGE_ACCEPT;
	race->lost |= 1u << (1 - attempt);
	return HEDGE_ACCEPT_CANCEL;
}

enum hedge_outcome hedge_race_failed(struct hedge_race *race, uint32_t attempt)
{
	if (race->winner >= 0 || race->lost & 1u << attempt)
		return HEDGE_IGNORE;
	race->lost |= 1u << attempt;
	return other_runs(race, attempt) ? HEDGE_WAIT : HEDGE_FAILED;
}
