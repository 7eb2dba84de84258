// The end of a load as the planning host sees it. Reports of engines are some
// hundred milliseconds old, so the next engine's load began as much later while
// items waited for it.
#include <gtest/gtest.h>

#include <string>

#include "lib-duty-host.h"

namespace
{

const uint64_t NAMED = 3;

class WeightLoads : public ::testing::Test
{
      protected:
	WeightLoads()
	    : topics_(&time_.timers), platform_(&time_),
	      host_(&time_, &topics_, &platform_, "a", 1, 0)
	{
		for (int i = 0; i < 6; i++) {
			platform_.engines[id(i)].versions = { { "m", 1 } };
			host_.add_engine(id(i), { { "m", 1 } });
		}
	}

	static std::string id(int engine)
	{
		return "e" + std::to_string(engine);
	}

	// Lets all engines be too old, of which two may load at once.
	void start()
	{
		time_.run(2000);
		ASSERT_TRUE(host_.holds());
		host_.name_version("m", NAMED);
		host_.publish_need("m", NAMED);
		time_.run(200);
		ASSERT_EQ(2, orders());
	}

	int orders()
	{
		int count = 0;

		for (const DutyCall &call : platform_.calls)
			count += call.kind == "weights";
		return count;
	}

	// The entry of an engine that was ordered to load shows a version.
	void show(int order, uint64_t version)
	{
		int at = 0;

		for (const DutyCall &call : platform_.calls)
			if (call.kind == "weights" && at++ == order) {
				host_.add_engine(call.engine,
						 { { "m", version } });
				return;
			}
	}

	FakeTime time_;
	FakeTopics topics_;
	FakePlatform platform_;
	DutyHost host_;
};

} // namespace

TEST_F(WeightLoads, EndWhenTheEntryShowsTheVersion)
{
	start();
	show(0, NAMED);
	time_.run(50);
	EXPECT_EQ(3, orders()) << "one load ended";
	show(1, NAMED);
	time_.run(50);
	EXPECT_EQ(4, orders());
	time_.run(8000);
	EXPECT_EQ(6, orders()) << "each engine loads once";
}

TEST_F(WeightLoads, DoNotEndWithAnOlderVersion)
{
	start();
	show(0, NAMED - 1);
	time_.run(50);
	EXPECT_EQ(2, orders());
	time_.run(8000);
	EXPECT_EQ(6, orders());
}

// The lease is lost in the middle of a load: entries start no order.
TEST_F(WeightLoads, StartNoOtherWithoutTheLease)
{
	int before;

	start();
	topics_.faults = [](const std::string &, const std::string &topic) {
		return topic == "keyed.duty" ? Fault::REFUSED : Fault::NONE;
	};
	time_.run(4000);
	ASSERT_FALSE(host_.holds());
	before = orders();
	show(0, NAMED);
	show(1, NAMED);
	time_.run(1000);
	EXPECT_EQ(before, orders());
}

// Guards against loads of a version that no batch needs any more, by a holder
// of the duties that has read of a newer batch before it reads the announcement
// of the version.
TEST_F(WeightLoads, AreOfTheVersionThatTheNeedNames)
{
	DutyHost other(&time_, &topics_, &platform_, "b", 1, 0);

	time_.run(2000);
	ASSERT_TRUE(host_.holds());
	host_.name_version("m", NAMED - 1);
	other.name_version("m", NAMED);
	other.publish_need("m", NAMED);
	time_.run(8000);
	EXPECT_EQ(6, orders()) << "each engine loads once";
	for (const DutyCall &call : platform_.calls) {
		if (call.kind != "weights")
			continue;
		EXPECT_EQ(NAMED, call.version);
	}
}
