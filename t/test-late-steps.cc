// Steps whose engines load their weights too late. A fifth of the engines loads
// at a time; with 40 engines and a version every four seconds, the last ones
// were never ready for a step.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "lib-duty-host.h"

namespace
{

struct DutyCase {
	const char *name;
	int64_t interval_ms;
	bool is_shared; // loads beyond the usual number slow each other
	uint32_t min_at_once, max_at_once; // in the last steps
	bool is_ready; // all engines within the interval
};

const uint32_t ENGINES = 40;
const uint32_t USUAL = 8;

const DutyCase duty_cases[] = {
	{ "late steps", 4000, false, 9, 16, true },
	{ "late steps, a busy weight store", 4000, true, 8, 9, false },
	{ "time enough", 24000, false, 8, 8, true },
};

class LateSteps : public ::testing::TestWithParam<DutyCase>
{
      protected:
	LateSteps()
	    : topics_(&time_.timers), platform_(&time_),
	      host_(&time_, &topics_, &platform_, "a", 1, 0)
	{
		for (uint32_t i = 0; i < ENGINES; i++) {
			std::string id = "e" + std::to_string(i);

			platform_.engines[id].versions = { { "m", 1 } };
			host_.add_engine(id, { { "m", 1 } });
		}
		platform_.faults = [this](const DutyCall &call) {
			if (call.kind == "weights")
				on_order(call.engine);
			return DutyFault::NONE;
		};
	}

	void on_order(const std::string &id)
	{
		uint32_t at_once = 1;

		for (const auto &busy : busy_until_ns_)
			at_once += busy.second > time_.now_ns();
		most_ = std::max(most_, at_once);
		if (GetParam().is_shared)
			platform_.load_ms =
				900 * std::max(at_once, USUAL) / USUAL;
		busy_until_ns_[id] =
			time_.now_ns() + platform_.load_ms * NS_PER_MS;
	}

	uint32_t count_at(uint64_t version)
	{
		uint32_t count = 0;

		for (auto &engine : platform_.engines)
			count +=
				engine.second.versions["m"] >= version ||
				(engine.second.target_version >= version &&
				 engine.second.busy_until_ns <= time_.now_ns());
		return count;
	}

	FakeTime time_;
	FakeTopics topics_;
	FakePlatform platform_;
	DutyHost host_;
	std::map<std::string, int64_t> busy_until_ns_;
	uint32_t most_ = 0; // engines that loaded at once
};

} // namespace

// Beyond the usual number half of a share goes on with older weights, and no
// engine preloads.
TEST(LoadPlan, LeavesHalfOfAShareBeyondTheUsualNumber)
{
	struct Case {
		const char *name;
		uint64_t held, newest;
		struct plan_bound bound;
		uint32_t loads;
	};
	const Case cases[] = {
		{ "as before", 1, 3, { 2, 2 }, 2 },
		{ "more for the step", 1, 3, { 2, 4 }, 4 },
		{ "half of the share", 1, 3, { 2, 10 }, 5 },
		{ "the usual number may pass half", 1, 3, { 8, 9 }, 8 },
		{ "preload", 2, 3, { 2, 10 }, 1 },
		{ "fewer", 1, 3, { 1, 1 }, 1 },
	};

	for (const Case &c : cases) {
		struct plan_model m = {};
		std::vector<struct plan_engine> engines(10);
		struct plan_load loads[10];

		m.newest_named = c.newest;
		m.lag = 1;
		m.tokens = 100;
		m.is_active = 1;
		for (struct plan_engine &e : engines) {
			e = {};
			e.usable = 1;
			e.versions[0] = c.held;
		}
		EXPECT_EQ(c.loads, version_plan_loads(&m, 1, engines.data(), 10,
						      c.bound, loads))
			<< c.name;
		EXPECT_EQ(c.held == 1 ? 10u : 0u,
			  version_plan_due_loads(&m, 0, engines.data(), 10))
			<< c.name;
	}
}

TEST_P(LateSteps, GetTheirEnginesInTime)
{
	const DutyCase &c = GetParam();
	uint64_t version = 1;

	time_.run(2000);
	ASSERT_TRUE(host_.holds());
	for (int step = 0; step < 10; step++) {
		if (step == 7)
			most_ = 0;
		host_.name_version("m", ++version);
		host_.publish_need("m", version);
		time_.run(c.interval_ms);
	}
	EXPECT_LE(c.min_at_once, most_);
	EXPECT_GE(c.max_at_once, most_);
	if (c.is_ready) {
		EXPECT_EQ(ENGINES, count_at(version));
	}
}

INSTANTIATE_TEST_SUITE_P(All, LateSteps, ::testing::ValuesIn(duty_cases),
			 [](const auto &info) {
				 return "Case" + std::to_string(info.index);
			 });

// A new holder asks each engine before its first order. An answer that the
// engine already holds the version came after milliseconds and passed for a
// very short load.
TEST(LearnedLoads, AreThoseThatWereOrdered)
{
	FakeTime time;
	FakeTopics topics(&time.timers);
	FakePlatform platform(&time);
	DutyHost host(&time, &topics, &platform, "a", 1, 0);
	uint32_t learned = 0;

	for (uint32_t i = 0; i < ENGINES; i++) {
		std::string id = "e" + std::to_string(i);

		platform.engines[id].versions = { { "m", 3 } };
		host.add_engine(id, { { "m", 1 } }); /* an old entry */
	}
	time.run(2000);
	ASSERT_TRUE(host.holds());
	host.name_version("m", 3);
	host.publish_need("m", 3);
	time.run(4000);
	EXPECT_EQ(ENGINES, platform.calls.size());
	for (const struct load_level &level : host.versions.pace.levels)
		learned += level.count;
	EXPECT_EQ(0u, learned);
}
