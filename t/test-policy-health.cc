#include <gtest/gtest.h>

extern "C" {
#include "base/clock.h"
#include "policy/circuit.h"
#include "policy/hedge.h"
#include "policy/retry_budget.h"
}

namespace
{

struct budget_case {
	const char *what;
	uint32_t per_mille;
	uint32_t reserve;
	int first_tries;
	int drained; /* the reserve was used up before */
	int retries; /* out of 1000 requested */
};

const budget_case budgets[] = {
	{ "only the reserve", 100, 5, 0, 0, 5 },
	{ "no more than the reserve is saved up", 100, 5, 1000, 0, 5 },
	{ "a tenth", 100, 50, 300, 1, 30 },
	{ "nothing", 0, 0, 1000, 0, 0 },
};

TEST(RetryBudget, APartOfTheFirstTries)
{
	for (const budget_case &c : budgets) {
		retry_budget budget;
		int taken = 0;

		retry_budget_init(&budget, c.per_mille, c.reserve);
		while (c.drained && retry_budget_take(&budget))
			;
		for (int i = 0; i < c.first_tries; i++)
			retry_budget_first_attempt(&budget);
		for (int i = 0; i < 1000; i++)
			taken += retry_budget_take(&budget);
		EXPECT_EQ(taken, c.retries) << c.what;
	}
}

/*
 * Steps: f failure, s success, a answer without success, b begin (must be
 * allowed), x begin (must be rejected), w request cancelled, + a long time
 * passes, - a short time passes.
 */
struct circuit_case {
	const char *what;
	const char *steps;
	circuit_state state;
};

const circuit_case circuits[] = {
	{ "starts closed", "b", CIRCUIT_CLOSED },
	{ "two failures are borne", "bfbfb", CIRCUIT_CLOSED },
	{ "a success between them counts", "ffsffb", CIRCUIT_CLOSED },
	{ "three in a row open", "fffx", CIRCUIT_OPEN },
	{ "a late answer doesn't close", "fffsx", CIRCUIT_OPEN },
	{ "one probe after a while", "fff+bx", CIRCUIT_HALF_OPEN },
	{ "the probe closes", "fff+bsb", CIRCUIT_CLOSED },
	{ "the probe opens again", "fff+bfx", CIRCUIT_OPEN },
	{ "longer the second time", "fff+bf-x", CIRCUIT_OPEN },
	{ "a lost probe is replaced", "fff+b+bx", CIRCUIT_HALF_OPEN },
	{ "an answer to the probe closes", "fff+bab", CIRCUIT_CLOSED },
	{ "an answer alone clears no failures", "ffafx", CIRCUIT_OPEN },
	{ "a late answer alone doesn't close", "fffax", CIRCUIT_OPEN },
	{ "closed circuits need three again", "fff+bsff", CIRCUIT_CLOSED },
	{ "a probe that was withdrawn makes room for another", "fff+bxwbx",
	  CIRCUIT_HALF_OPEN },
	{ "a request that was withdrawn changes nothing else", "ffw+b",
	  CIRCUIT_CLOSED },
};

TEST(Circuit, States)
{
	for (const circuit_case &c : circuits) {
		circuit breaker;
		rng random;
		int64_t now = 0;

		rng_init(&random, 31);
		circuit_init(&breaker);
		for (const char *step = c.steps; *step; step++) {
			if (*step == 'f')
				circuit_failed(&breaker, &random, now);
			else if (*step == 's')
				circuit_succeeded(&breaker);
			else if (*step == 'a')
				circuit_answered(&breaker);
			else if (*step == 'w')
				circuit_cancelled(&breaker, now);
			else if (*step == '+')
				now += 60 * NS_PER_S;
			else if (*step == '-')
				now += 7 * NS_PER_S / 10;
			else
				EXPECT_EQ(circuit_begin(&breaker, now),
					  *step == 'b')
					<< c.what << ", step "
					<< step - c.steps;
		}
		EXPECT_EQ(breaker.state, c.state) << c.what;
	}
}

// One request may be sent if every other server fails, too.
TEST(Circuit, LetsOneThroughAsTheLastResort)
{
	const struct {
		const char *what;
		int64_t after_ms; // since it opened with a long backoff
		bool is_probing; // a probe is in flight
		int allowed;
	} cases[] = {
		{ "at once", 0, false, 0 },
		{ "as soon as after a first failure", 500, false, 1 },
		{ "beside a probe", 500, true, 0 },
		{ "much later", 30000, false, 1 },
	};

	for (const auto &c : cases) {
		circuit breaker;
		rng random;
		int64_t now = 0;

		rng_init(&random, 31);
		circuit_init(&breaker);
		for (int i = 0; i < 12; i++) {
			circuit_failed(&breaker, &random, now);
			if (i < 2)
				continue;
			now += 60 * NS_PER_S;
			ASSERT_TRUE(circuit_begin(&breaker, now));
		}
		circuit_failed(&breaker, &random, now);
		now += c.after_ms * NS_PER_MS;
		if (c.is_probing) {
			ASSERT_TRUE(circuit_begin_last_resort(&breaker, now));
		}
		EXPECT_EQ(c.allowed, circuit_allows_last_resort(&breaker, now))
			<< c.what;
		EXPECT_FALSE(circuit_begin(&breaker, now)) << c.what;
		EXPECT_EQ(c.allowed, circuit_begin_last_resort(&breaker, now))
			<< c.what;
	}
}

struct hedge_case {
	const char *what;
	void (*change)(hedge_sample *);
	int hedged;
};

const hedge_case hedges[] = {
	{ "last one on a slow server", [](hedge_sample *) {}, 1 },
	{ "may not be repeated", [](hedge_sample *s) { s->repeatable = 0; },
	  0 },
	{ "half of the group is left",
	  [](hedge_sample *s) { s->group_left = 4; }, 0 },
	{ "merely long", [](hedge_sample *s) { s->rate_tokens_per_s = 24; },
	  0 },
	{ "a group of one",
	  [](hedge_sample *s) { s->group_size = s->group_left = 1; }, 1 },
	{ "stopped altogether",
	  [](hedge_sample *s) { s->rate_tokens_per_s = 0; }, 1 },
	{ "nearly done", [](hedge_sample *s) { s->expected_left = 10; }, 0 },
	{ "the others are full", [](hedge_sample *s) { s->other_s = 60; }, 0 },
};

hedge_sample slow_sample()
{
	hedge_sample sample = {};

	sample.repeatable = 1;
	sample.group_size = 8;
	sample.group_left = 2;
	sample.expected_left = 300;
	sample.rate_tokens_per_s = 6;
	sample.expected_rate_tokens_per_s = 25;
	sample.other_s = 14;
	return sample;
}

TEST(Hedge, OnlyWhenTheServerIsTheReason)
{
	for (const hedge_case &c : hedges) {
		hedge_policy policy;
		hedge_sample sample = slow_sample();

		hedge_policy_init(&policy, 50, 10);
		c.change(&sample);
		EXPECT_EQ(hedge_take(&policy, &sample), c.hedged) << c.what;
	}
}

TEST(Hedge, StaysInItsBudget)
{
	hedge_policy policy;
	hedge_sample sample = slow_sample();
	int hedged = 0;

	hedge_policy_init(&policy, 50, 2);
	for (int i = 0; i < 200; i++) {
		hedge_first_attempt(&policy);
		hedged += hedge_take(&policy, &sample);
	}
	EXPECT_GE(hedged, 10);
	EXPECT_LE(hedged, 12);
}

/* Steps of the two attempts: 0 and 1 are responses, a and b failures. */
struct race_case {
	const char *what;
	int hedged;
	const char *steps;
	hedge_outcome last;
	int32_t winner;
};

const race_case races[] = {
	{ "alone", 0, "0", HEDGE_ACCEPT, 0 },
	{ "alone and failed", 0, "a", HEDGE_FAILED, -1 },
	{ "the first wins", 1, "0", HEDGE_ACCEPT_CANCEL, 0 },
	{ "the second wins", 1, "1", HEDGE_ACCEPT_CANCEL, 1 },
	{ "both answer", 1, "10", HEDGE_IGNORE, 1 },
	{ "an answer twice", 1, "11", HEDGE_IGNORE, 1 },
	{ "one fails", 1, "a", HEDGE_WAIT, -1 },
	{ "one fails, the other answers", 1, "a1", HEDGE_ACCEPT, 1 },
	{ "both fail", 1, "ab", HEDGE_FAILED, -1 },
	{ "the cancelled one fails later", 1, "0b", HEDGE_IGNORE, 0 },
	{ "an answer after its failure", 1, "a0", HEDGE_IGNORE, -1 },
};

TEST(Hedge, OneAnswerIsAccepted)
{
	for (const race_case &c : races) {
		hedge_race race;
		hedge_outcome last = HEDGE_WAIT;

		hedge_race_init(&race);
		if (c.hedged)
			hedge_race_add(&race);
		for (const char *step = c.steps; *step; step++)
			last = *step >= 'a'
				       ? hedge_race_failed(&race, *step - 'a')
				       : hedge_race_answered(&race,
							     *step - '0');
		EXPECT_EQ(last, c.last) << c.what;
		EXPECT_EQ(race.winner, c.winner) << c.what;
	}
}

} // namespace
