// Requests that take backend servers down: what is counted, and how hosts
// come to refuse one together.

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "t/lib-fake-topics.h"

extern "C" {
#include "base/alloc.h"
#include "forward/crash_watch.h"
}

namespace
{

struct Step {
	int64_t at_ms;
	char what; // c: cut, a: answered
	uint64_t request;
	uint64_t server = 1;
};

struct ListCase {
	const char *name;
	std::vector<Step> steps;
	int64_t end_ms;
	uint64_t request;
	uint32_t crashes;
};

const ListCase list_cases[] = {
	{ "never cut", {}, 0, 1, 0 },
	{ "cut once", { { 0, 'c', 1 } }, 10, 1, 1 },
	{ "another one", { { 0, 'c', 2 } }, 10, 1, 0 },
	{ "one attempt's tries at three servers",
	  { { 0, 'c', 1, 1 }, { 20, 'c', 1, 2 }, { 60, 'c', 1, 3 } },
	  70,
	  1,
	  3 },
	{ "runs of one request at a server that is lost",
	  { { 0, 'c', 1, 5 }, { 1, 'c', 1, 5 }, { 60, 'c', 1, 5 } },
	  70,
	  1,
	  1 },
	{ "the same server, back again",
	  { { 0, 'c', 1, 5 }, { 1200, 'c', 1, 5 } },
	  1300,
	  1,
	  2 },
	{ "again and again",
	  { { 0, 'c', 1 }, { 2000, 'c', 1 }, { 4000, 'c', 1 } },
	  4001,
	  1,
	  3 },
	{ "cleared by an answer",
	  { { 0, 'c', 1 }, { 2000, 'c', 1 }, { 2100, 'a', 1 } },
	  2200,
	  1,
	  0 },
	{ "cut after an answer",
	  { { 0, 'c', 1 }, { 2100, 'a', 1 }, { 2200, 'c', 1 } },
	  2300,
	  1,
	  1 },
	{ "an answer to another one",
	  { { 0, 'c', 1 }, { 10, 'a', 2 } },
	  20,
	  1,
	  1 },
	{ "long ago", { { 0, 'c', 1 } }, 30000, 1, 0 },
	{ "long ago, and now",
	  { { 0, 'c', 1 }, { 2000, 'c', 1 }, { 40000, 'c', 1 } },
	  40001,
	  1,
	  1 },
};

} // namespace

TEST(CrashList, CountsCrashesThatFollowEachOther)
{
	for (const ListCase &c : list_cases) {
		SCOPED_TRACE(c.name);
		struct crash_list list;
		const struct crash_suspect *suspect;

		crash_list_init(&list);
		for (const Step &step : c.steps) {
			if (step.what == 'c')
				crash_list_note(&list, step.request,
						step.server,
						step.at_ms * NS_PER_MS);
			else
				crash_list_clear(&list, step.request);
		}
		suspect =
			crash_list_find(&list, c.request, c.end_ms * NS_PER_MS);
		EXPECT_EQ(c.crashes, suspect ? suspect->crashes : 0);
	}
}

TEST(CrashList, TheOldestGivesWay)
{
	struct crash_list list;

	crash_list_init(&list);
	EXPECT_TRUE(crash_list_is_empty(&list, 0));
	for (uint64_t i = 0; i < CRASH_LIST_MAX + 3; i++)
		crash_list_note(&list, i, 1, (int64_t)i * NS_PER_S / 10);
	for (uint64_t i = 0; i < CRASH_LIST_MAX + 3; i++)
		EXPECT_EQ(i >= 3,
			  crash_list_find(&list, i, 2 * NS_PER_S) != nullptr)
			<< i;
	EXPECT_FALSE(crash_list_is_empty(&list, 2 * NS_PER_S));
	EXPECT_TRUE(crash_list_is_empty(&list, 60 * NS_PER_S));
}

namespace
{

class Host
{
      public:
	Host(FakeTime *time, FakeTopics *topics, const std::string &name)
	{
		struct entry_host own = {};

		copy_text(own.name, sizeof(own.name), name.c_str());
		counter_set_init(&counters_);
		discovery_init(&discovery_, topics->log(), &time->timers, &own,
			       nullptr, &counters_);
		crash_watch_init(&watch, &discovery_, &time->clock.base,
				 nullptr, &counters_);
		discovery_start(&discovery_);
	}

	~Host()
	{
		discovery_finish(&discovery_);
		counter_set_finish(&counters_);
	}

	void cut(uint64_t request)
	{
		crash_watch_cut(&watch, request, "id", "server");
	}

	int64_t refuses_ms(uint64_t request)
	{
		return crash_watch_refuses_ns(&watch, request, "id") /
		       NS_PER_MS;
	}

	struct crash_watch watch;

      private:
	struct discovery discovery_;
	struct counter_set counters_;
};

class Crashes : public ::testing::Test
{
      protected:
	Crashes() : topics_(&time_.timers)
	{
		for (const char *name : { "a", "b", "c", "d" })
			hosts_.emplace_back(new Host(&time_, &topics_, name));
		time_.run(1000);
	}

	FakeTime time_;
	FakeTopics topics_;
	std::vector<std::unique_ptr<Host>> hosts_;
};

} // namespace

// The caller sends it to another host each time.
TEST_F(Crashes, OfOneRequestAtSeveralHostsAddUp)
{
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(0, hosts_[3]->refuses_ms(7));
		hosts_[i]->cut(7);
		time_.run(2000);
	}
	for (auto &host : hosts_) {
		EXPECT_GT(host->refuses_ms(7), 25000);
		EXPECT_EQ(0, host->refuses_ms(8));
	}
	time_.run(29000);
	for (auto &host : hosts_) {
		EXPECT_EQ(0, host->refuses_ms(7));
		EXPECT_TRUE(crash_watch_is_idle(&host->watch));
	}
}

// Three hosts have seen a cut of a request that many callers send; where it
// was answered since, the cut does not count.
TEST_F(Crashes, AnAnswerTakesAHostsCountBack)
{
	for (int i = 0; i < 3; i++)
		hosts_[i]->cut(7);
	crash_watch_answered(&hosts_[0]->watch, 7, "id", "server");
	time_.run(2000);
	for (auto &host : hosts_)
		EXPECT_EQ(0, host->refuses_ms(7));
}

TEST_F(Crashes, AreCountedWhileTheStoreIsAway)
{
	topics_.faults = [](const std::string &, const std::string &) {
		return Fault::REFUSED;
	};
	for (int i = 0; i < 3; i++) {
		hosts_[0]->cut(7);
		time_.run(2000);
	}
	EXPECT_GT(hosts_[0]->refuses_ms(7), 0);
	EXPECT_EQ(0, hosts_[1]->refuses_ms(7));
	topics_.faults = nullptr;
	time_.run(3000);
	EXPECT_GT(hosts_[1]->refuses_ms(7), 0);
}
