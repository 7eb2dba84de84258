// All hosts are restarted while one model of two is trained. A new host lists
// the newest need of each model, also of the one whose trainer ended long ago;
// counted as reported then, it took engines for 30 s from the trained model,
// whose items waited until their step was over.
#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "lib-duty-host.h"

extern "C" {
#include "policy/need_age.h"
}

namespace
{

const int ENGINES = 8;
const int64_t STEP_MS = 4000;

struct AgeCase {
	const char *name;
	int64_t reported_ms, wall_ms, unread_ms, age_ms;
};

const AgeCase age_cases[] = {
	{ "listed at the start", 10000, 50000, INT64_MAX / NS_PER_MS, 40000 },
	{ "read at once", 10000, 10010, 1500, 10 },
	{ "no time in the record", 0, 50000, INT64_MAX / NS_PER_MS, 0 },
	{ "writer ahead", 60000, 50000, INT64_MAX / NS_PER_MS, 0 },
	{ "writer behind", 10000, 50000, 1500, 1500 },
	{ "after an outage", 10000, 50000, 60000, 40000 },
	{ "not a time", -5, 50000, 60000, 0 },
};

struct RestartCase {
	const char *name;
	int64_t pause_ms; // since the last step of model n
	int min_engines, max_engines; // of model n after the restart
};

const RestartCase restart_cases[] = {
	{ "n ended long ago", 10 * STEP_MS, 0, 0 },
	{ "n is between two steps", STEP_MS, 3, 5 },
};

class NeedsAfterRestart : public ::testing::TestWithParam<RestartCase>
{
      protected:
	NeedsAfterRestart() : topics_(&time_.timers), platform_(&time_)
	{
		for (int i = 0; i < ENGINES; i++)
			platform_.engines["e" + std::to_string(i)].versions = {
				{ "m", 1 }, { "n", 1 }
			};
	}

	void start_host()
	{
		host_ = std::make_unique<DutyHost>(&time_, &topics_, &platform_,
						   "h", ++incarnations_, 0);
		read_engines();
		for (const auto &version : named_)
			host_->name_version(version.first, version.second);
	}

	void read_engines()
	{
		for (const auto &engine : platform_.engines)
			host_->add_engine(engine.first, engine.second.versions);
	}

	// Runs until the trainer names the next version.
	void step(const std::string &model)
	{
		host_->name_version(model, ++named_[model]);
		host_->publish_need(model, named_[model] - 1);
	}

	void run_step()
	{
		time_.run(STEP_MS);
		read_engines();
	}

	int assigned(const std::string &model)
	{
		int count = 0;

		for (const auto &engine : platform_.engines)
			count += host_->assigned_model(engine.first) == model;
		return count;
	}

	FakeTime time_;
	FakeTopics topics_;
	FakePlatform platform_;
	std::unique_ptr<DutyHost> host_;
	std::map<std::string, uint64_t> named_ = { { "m", 1 }, { "n", 1 } };
	uint64_t incarnations_ = 0;
};

} // namespace

TEST(NeedAge, IsBoundByWhatWasRead)
{
	for (const AgeCase &c : age_cases)
		EXPECT_EQ(c.age_ms * NS_PER_MS,
			  need_age_ns(c.reported_ms, c.wall_ms,
				      c.unread_ms * NS_PER_MS))
			<< c.name;
}

TEST_P(NeedsAfterRestart, CountFromTheirReport)
{
	const RestartCase &c = GetParam();
	size_t orders = 0;

	time_.clock.wall_ahead_ms = 1000000;
	start_host();
	time_.run(2000);
	for (int i = 0; i < 3; i++) {
		step("m");
		step("n");
		run_step();
	}
	for (int64_t waited = STEP_MS; waited < c.pause_ms; waited += STEP_MS) {
		step("m");
		run_step();
	}
	host_.reset();
	start_host();
	step("m");
	run_step();
	ASSERT_TRUE(host_->holds());
	EXPECT_LE(c.min_engines, assigned("n"));
	EXPECT_GE(c.max_engines, assigned("n"));
	EXPECT_EQ(ENGINES, assigned("m") + assigned("n"));
	for (const DutyCall &call : platform_.calls)
		orders += call.kind == "weights" && call.model == "n" &&
			  call.at_ns >= time_.now_ns() - STEP_MS * NS_PER_MS;
	EXPECT_EQ(0u, orders) << "nobody needs newer weights of n";
}

INSTANTIATE_TEST_SUITE_P(All, NeedsAfterRestart,
			 ::testing::ValuesIn(restart_cases),
			 [](const auto &info) {
				 return "Case" + std::to_string(info.index);
			 });
