// How many engines load weights at once. A fixed number let steps wait for
// engines that the platform could have loaded in time; a higher one where each
// load takes longer for it only keeps engines from their work.
#include <gtest/gtest.h>

#include <utility>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "policy/load_pace.h"
#include "policy/step_pace.h"
}

namespace
{

struct StepCase {
	const char *name;
	std::vector<std::pair<uint64_t, int64_t>> needs; // version, at ms
	uint64_t lag;
	int64_t now_ms, left_ms;
	uint64_t version = 0; // to load
};

const StepCase step_cases[] = {
	{ "no step", {}, 0, 1000, -1 },
	{ "one step", { { 2, 1000 } }, 0, 1000, -1 },
	{ "a quarter of an interval",
	  { { 2, 1000 }, { 3, 5000 } },
	  0,
	  5200,
	  800 },
	{ "two steps open", { { 2, 1000 }, { 3, 5000 } }, 1, 5200, 1800 },
	{ "told again",
	  { { 2, 1000 }, { 3, 5000 }, { 3, 6000 } },
	  1,
	  6000,
	  1000 },
	{ "versions passed over", { { 2, 1000 }, { 4, 9000 } }, 0, 9000, 1000 },
	{ "should be done", { { 2, 1000 }, { 3, 5000 } }, 0, 7000, 0 },
	{ "over", { { 2, 1000 }, { 3, 5000 } }, 0, 13001, -1 },
	{ "after a pause", { { 2, 1000 }, { 3, 90000 } }, 0, 90000, -1 },
	{ "an older version", { { 3, 1000 }, { 2, 5000 } }, 0, 5000, -1 },
	{ "no step asked for it",
	  { { 2, 1000 }, { 3, 5000 } },
	  0,
	  9000,
	  1000,
	  4 },
	{ "any lag", { { 2, 1000 }, { 3, 5000 } }, UINT64_MAX, 5000, 3600000 },
};

// Load time of one engine while others load.
int64_t flat_ms(uint32_t)
{
	return 900;
}

int64_t shared_ms(uint32_t at_once)
{
	return at_once <= 9 ? 900 : 100 * at_once;
}

int64_t shared_by_seven_ms(uint32_t at_once)
{
	return at_once <= 7 ? 900 : 900 * at_once / 7;
}

int64_t shared_by_13_ms(uint32_t at_once)
{
	return at_once <= 13 ? 900 : 900 * at_once / 13;
}

struct PaceCase {
	const char *name;
	uint32_t usual;
	std::vector<struct load_due> dues; // loads, ms
	int64_t (*load_ms)(uint32_t at_once);
	std::vector<uint32_t> seen; // loads at once before
	uint32_t bound;
};

const PaceCase pace_cases[] = {
	{ "nothing learned", 9, { { 40, 1000 } }, flat_ms, {}, 9 },
	{ "nothing due", 9, {}, flat_ms, { 9 }, 9 },
	{ "in time", 9, { { 18, 2000 } }, flat_ms, { 9 }, 9 },
	{ "all begin at once", 9, { { 9, 0 } }, flat_ms, { 9 }, 9 },
	{ "late, more help", 9, { { 30, 1500 } }, flat_ms, { 9 }, 18 - 1 },
	{ "late, a few more do", 9, { { 20, 1700 } }, flat_ms, { 9 }, 11 },
	{ "late together", 9, { { 9, 900 }, { 9, 1500 } }, flat_ms, { 9 }, 11 },
	{ "late, but more are slower", 9, { { 40, 0 } }, shared_ms, { 9 }, 9 },
	{ "up to where they slow",
	  9,
	  { { 60, 0 } },
	  shared_by_13_ms,
	  { 9 },
	  13 },
	{ "fewer are as fast",
	  9,
	  { { 40, 0 } },
	  shared_by_seven_ms,
	  { 7, 9 },
	  7 },
	{ "two at a time", 2, { { 9, 500 } }, flat_ms, { 2 }, 4 },
};

// Lets loads run at the bound until it stays the same.
uint32_t learn(struct load_pace *pace, const PaceCase &c)
{
	std::vector<struct load_due> dues = c.dues;
	int64_t now_ns = NS_PER_S;
	uint32_t bound = 0;

	load_pace_set_usual(pace, c.usual);
	for (struct load_due &due : dues)
		due.left_ns *= NS_PER_MS;
	for (uint32_t at_once : c.seen)
		for (int i = 0; i < 6; i++)
			load_pace_observe(pace, at_once,
					  c.load_ms(at_once) * NS_PER_MS,
					  now_ns);
	for (int i = 0; i < 100; i++) {
		now_ns += 300 * NS_PER_MS;
		bound = load_pace_bound(pace, dues.data(),
					(uint32_t)dues.size(), now_ns);
		if (!c.seen.empty())
			load_pace_observe(pace, bound,
					  c.load_ms(bound) * NS_PER_MS, now_ns);
	}
	return bound;
}

} // namespace

TEST(StepPace, TellsWhenLoadsHaveToBeDone)
{
	for (const StepCase &c : step_cases) {
		struct step_pace pace = {};
		int64_t left_ns;

		for (const auto &need : c.needs)
			step_pace_note(&pace, need.first,
				       need.second * NS_PER_MS);
		left_ns = step_pace_left_ns(&pace, c.version, c.lag,
					    c.now_ms * NS_PER_MS);
		EXPECT_EQ(c.left_ms < 0 ? -1 : c.left_ms * NS_PER_MS, left_ns)
			<< c.name;
	}
}

TEST(LoadPace, FollowsLoadTimesAndLateSteps)
{
	for (const PaceCase &c : pace_cases) {
		struct load_pace pace = {};

		EXPECT_EQ(c.bound, learn(&pace, c)) << c.name;
	}
}

// A level is not believed for ever: the load of another day slows it.
TEST(LoadPace, TriesAgainAfterAWhile)
{
	struct load_pace pace = {};
	struct load_due due = { 40, 0 };
	const int64_t later_ns = 70 * NS_PER_S;

	load_pace_set_usual(&pace, 9);
	for (int i = 0; i < 6; i++) {
		load_pace_observe(&pace, 9, 900 * NS_PER_MS, NS_PER_S);
		load_pace_observe(&pace, 11, 5 * NS_PER_S, NS_PER_S);
	}
	EXPECT_EQ(9u, load_pace_bound(&pace, &due, 1, NS_PER_S));
	EXPECT_NEAR(5e9, (double)load_pace_expected_ns(&pace, 11), 10);
	EXPECT_EQ(0, load_pace_expected_ns(&pace, 13));
	load_pace_observe(&pace, 2, NS_PER_S, NS_PER_S);
	EXPECT_EQ(NS_PER_S, load_pace_expected_ns(&pace, 3));
	for (int i = 0; i < 6; i++)
		load_pace_observe(&pace, 9, 900 * NS_PER_MS, later_ns);
	EXPECT_EQ(11u, load_pace_bound(&pace, &due, 1, later_ns));
}
