// Requests that crash backend servers: which crashes are counted, and how the
// crashes seen by several hosts add up until all hosts reject the request.

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
	char what; // c: crash, a: answer
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
	{ "one request's attempts at three servers",
	  { { 0, 'c', 1, 1 }, { 20, 'c', 1, 2 }, { 60, 'c', 1, 3 } },
	  70,
	  1,
	  3 },
	{ "attempts of one request at a server that crashed",
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
	{ "a while ago", { { 0, 'c', 1 } }, 60000, 1, 1 },
	{ "long ago", { { 0, 'c', 1 } }, CRASH_RETENTION_MS, 1, 0 },
	{ "long ago, and now",
	  { { 0, 'c', 1 },
	    { 2000, 'c', 1 },
	    { CRASH_RETENTION_MS + 2000, 'c', 1 } },
	  CRASH_RETENTION_MS + 2001,
	  1,
	  1 },
};

void add(struct crash_list *list, uint64_t request, uint64_t server,
	 int64_t at_ms)
{
	const struct crash crash = { request, server, at_ms };

	crash_list_add(list, &crash, nullptr);
}

} // namespace

TEST(CrashList, CountsCrashesThatFollowEachOther)
{
	for (const ListCase &c : list_cases) {
		SCOPED_TRACE(c.name);
		struct crash_list list;
		struct crash_tally tally;

		crash_list_init(&list);
		for (const Step &step : c.steps) {
			if (step.what == 'c')
				add(&list, step.request, step.server,
				    step.at_ms);
			else
				crash_list_clear(&list, step.request);
		}
		crash_tally_init(&tally, c.request, c.end_ms);
		crash_tally_add(&tally, &list);
		EXPECT_EQ(c.crashes, tally.count);
		EXPECT_EQ(c.crashes,
			  crash_list_count(&list, c.request, c.end_ms));
	}
}

TEST(CrashList, TheOldestGivesWay)
{
	struct crash_list list;

	crash_list_init(&list);
	EXPECT_EQ(INT64_MIN, crash_list_newest_ms(&list));
	for (uint64_t i = 0; i < CRASH_LIST_MAX + 3; i++)
		add(&list, i, 1, (int64_t)i * 100);
	for (uint64_t i = 0; i < CRASH_LIST_MAX + 3; i++)
		EXPECT_EQ(i >= 3, crash_list_count(&list, i, 10000)) << i;
	EXPECT_EQ((CRASH_LIST_MAX + 2) * 100, crash_list_newest_ms(&list));
	crash_list_prune(&list, 10000 + CRASH_RETENTION_MS);
	EXPECT_EQ(0u, list.count);
}

// An answer is stored in the list of crashes but is not counted as one.
TEST(CrashList, DoesNotCountAnAnswer)
{
	struct crash_list list;

	crash_list_init(&list);
	add(&list, 7, CRASH_ANSWERED, 1000);
	EXPECT_EQ(0u, crash_list_count(&list, 7, 2000));
	add(&list, 7, 1, 2000);
	EXPECT_EQ(1u, crash_list_count(&list, 7, 2000));
}

// A tally is sorted by time, whatever the order of the lists, and keeps the
// newest crashes.
TEST(CrashTally, AddsUpTheListsOfAllHosts)
{
	struct crash_list lists[3];
	struct crash_tally tally;

	for (uint64_t host = 0; host < 3; host++) {
		crash_list_init(&lists[host]);
		for (uint64_t i = 0; i < 4; i++)
			add(&lists[host], 7, 10 * host + i + 1,
			    (int64_t)(3000 - 1000 * host + 10 * i));
	}
	// Two hosts have recorded a crash of the same server.
	add(&lists[0], 7, 21, 1100);
	crash_tally_init(&tally, 7, 4000);
	for (const struct crash_list &list : lists)
		crash_tally_add(&tally, &list);
	ASSERT_EQ((uint32_t)CRASH_TALLY_MAX, tally.count);
	for (uint32_t i = 0; i < CRASH_TALLY_MAX; i++)
		EXPECT_EQ((i < 4 ? 2000 : 3000) + 10 * (i % 4),
			  tally.crashes[i].at_ms);
	EXPECT_EQ(3030 + CRASH_REFUSAL_FIRST_MS - 4000,
		  crash_tally_refused_ms(&tally));
}

namespace
{

class Host
{
      public:
	Host(FakeTime *time, FakeTopics *topics, const std::string &name,
	     uint64_t incarnation)
	{
		struct entry_host own = {};

		own.incarnation = incarnation;
		copy_text(own.name, sizeof(own.name), name.c_str());
		counter_set_init(&counters_);
		discovery_init(&discovery_, topics->log(), &time->timers, &own,
			       nullptr, &counters_);
		fleet_init(&fleet_);
		crash_watch_init(&watch, &discovery_, &fleet_,
				 &time->clock.base, nullptr, &counters_);
		discovery_start(&discovery_);
	}

	~Host()
	{
		crash_watch_finish(&watch);
		fleet_finish(&fleet_);
		discovery_finish(&discovery_);
		counter_set_finish(&counters_);
	}

	void crash(uint64_t request, const char *server = "server")
	{
		crash_watch_note_crash(&watch, request, "id", server);
	}

	void sent(uint64_t request)
	{
		crash_watch_note_sent(&watch, request, "id", "server");
	}

	void not_run(uint64_t request)
	{
		crash_watch_note_not_run(&watch, request);
	}

	void answered(uint64_t request)
	{
		crash_watch_note_answer(&watch, request, "id", "server");
	}

	int64_t refuses_ms(uint64_t request)
	{
		int is_suspect;

		return crash_watch_refuses_ns(&watch, request, "id",
					      &is_suspect) /
		       NS_PER_MS;
	}

	struct crash_watch watch;

      private:
	struct discovery discovery_;
	struct fleet fleet_;
	struct counter_set counters_;
};

class Crashes : public ::testing::Test
{
      protected:
	Crashes() : topics_(&time_.timers)
	{
		start();
		time_.run(1000);
	}

	void start()
	{
		for (const char *name : { "a", "b", "c", "d" })
			hosts_.emplace_back(
				new Host(&time_, &topics_, name, ++starts_));
	}

	FakeTime time_;
	FakeTopics topics_;
	std::vector<std::unique_ptr<Host>> hosts_;
	uint64_t starts_ = 0;
};

} // namespace

// The caller sends the request to a different host each time.
TEST_F(Crashes, OfOneRequestAtSeveralHostsAddUp)
{
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(0, hosts_[3]->refuses_ms(7));
		hosts_[i]->crash(7);
		time_.run(2000);
	}
	for (auto &host : hosts_) {
		EXPECT_GT(host->refuses_ms(7), 25000);
		EXPECT_EQ(0, host->refuses_ms(8));
	}
	time_.run(29000);
	for (auto &host : hosts_)
		EXPECT_EQ(0, host->refuses_ms(7));
}

// The caller retries every second for six hours.
TEST_F(Crashes, OfARequestThatComesAgainAndAgainBecomeRare)
{
	const int64_t end_ms = 6 * 60 * 60 * 1000;
	int64_t at_ms = 0;
	int crashes = 0;
	size_t host = 0;

	while (at_ms < end_ms) {
		host = (host + 1) % hosts_.size();
		if (!hosts_[host]->refuses_ms(7)) {
			hosts_[host]->crash(7);
			crashes++;
		}
		EXPECT_LE(crashes,
			  at_ms < 60000 ? CRASHES_TO_REJECT + 1 : 1000);
		time_.run(1000);
		at_ms += 1000;
	}
	// One after each rejection of the longest duration, and the first ones.
	EXPECT_LE(crashes,
		  end_ms / CRASH_REFUSAL_MAX_MS + CRASHES_TO_REJECT + 3);
	EXPECT_GT(crashes, end_ms / CRASH_REFUSAL_MAX_MS / 2);
}

// Three hosts have recorded a crash of a request that many callers send. The
// crash of a host where the request was answered since does not count.
TEST_F(Crashes, AnAnswerTakesAHostsCountBack)
{
	for (int i = 0; i < 3; i++)
		hosts_[i]->crash(7);
	hosts_[0]->answered(7);
	time_.run(2000);
	for (auto &host : hosts_)
		EXPECT_EQ(0, host->refuses_ms(7));
}

// Hosts have recorded crashes of a request that many callers send.
TEST_F(Crashes, AnAnswerAtAnyHostClearsARequest)
{
	int before;

	for (int i = 0; i < 3; i++)
		hosts_[i]->crash(7, i ? "s1" : "s2");
	hosts_[0]->crash(7, "s3");
	time_.run(2000);
	for (auto &host : hosts_)
		EXPECT_GT(host->refuses_ms(7), 0);
	hosts_[3]->answered(7);
	time_.run(2000);
	for (auto &host : hosts_)
		EXPECT_EQ(0, host->refuses_ms(7));
	// Further answers are not published, and counting starts again.
	before = topics_.appends;
	for (int i = 0; i < 100; i++)
		hosts_[i % 4]->answered(7);
	EXPECT_EQ(before, topics_.appends);
	hosts_[1]->crash(7, "s1");
	hosts_[1]->crash(7, "s4");
	time_.run(2000);
	EXPECT_EQ(0, hosts_[1]->refuses_ms(7));
	hosts_[2]->crash(7, "s5");
	time_.run(2000);
	for (auto &host : hosts_)
		EXPECT_GT(host->refuses_ms(7), 0);
}

TEST_F(Crashes, AreCountedWhileTheStoreIsAway)
{
	topics_.faults = [](const std::string &, const std::string &) {
		return Fault::REFUSED;
	};
	for (int i = 0; i < 3; i++) {
		hosts_[0]->crash(7);
		time_.run(2000);
	}
	EXPECT_GT(hosts_[0]->refuses_ms(7), 0);
	EXPECT_EQ(0, hosts_[1]->refuses_ms(7));
	topics_.faults = nullptr;
	time_.run(3000);
	EXPECT_GT(hosts_[1]->refuses_ms(7), 0);
}

// A killed host restarts under its name; all hosts may restart at once.
TEST_F(Crashes, AreKnownPastTheRestartsOfHosts)
{
	const struct {
		const char *name;
		std::vector<size_t> seen_by; // host of each crash
		bool all; // else the first host alone restarts
	} cases[] = {
		{ "one saw them all and restarts", { 0, 0, 0 }, false },
		{ "one saw them all and all restart", { 0, 0, 0 }, true },
		{ "each saw one and all restart", { 0, 1, 2 }, true },
	};
	uint64_t request = 7;

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		request++;
		for (size_t host : c.seen_by) {
			hosts_[host]->crash(request);
			time_.run(600);
		}
		if (c.all) {
			hosts_.clear();
			start();
		} else {
			hosts_[0].reset();
			hosts_[0].reset(
				new Host(&time_, &topics_, "a", ++starts_));
		}
		time_.run(1000);
		for (auto &host : hosts_)
			EXPECT_GT(host->refuses_ms(request), 0);
	}
}

// Crashes recorded before a host has read back its own list are added to it.
TEST_F(Crashes, AddUpWhereTheStoreIsAwayAtARestart)
{
	hosts_[0]->crash(7, "s1");
	hosts_[0]->crash(7, "s2");
	time_.run(600);
	hosts_[0].reset();
	topics_.faults = [](const std::string &, const std::string &) {
		return Fault::REFUSED;
	};
	hosts_[0].reset(new Host(&time_, &topics_, "a", ++starts_));
	time_.run(1000);
	hosts_[0]->crash(7, "s3");
	EXPECT_EQ(0, hosts_[0]->refuses_ms(7));
	topics_.faults = nullptr;
	time_.run(2000);
	for (auto &host : hosts_)
		EXPECT_GT(host->refuses_ms(7), 0);
}

// Expired crashes cause no further writes, not even after restarts.
TEST_F(Crashes, LeaveNothingBehind)
{
	int before;

	hosts_[0]->crash(7);
	hosts_[1]->crash(8);
	time_.run(CRASH_RETENTION_MS + 2000);
	for (auto &host : hosts_)
		EXPECT_TRUE(crash_watch_is_idle(&host->watch));
	before = topics_.appends;
	hosts_.clear();
	time_.run(10000);
	EXPECT_EQ(before, topics_.appends);
	start();
	time_.run(1000);
	for (auto &host : hosts_)
		EXPECT_TRUE(crash_watch_is_idle(&host->watch));
}

// A crashed server interrupts many harmless requests beside the one that
// crashes servers: more in total than a list holds.
TEST_F(Crashes, CountAmongManyRunsThatAreCutAtOnce)
{
	const struct {
		const char *name;
		std::vector<size_t> hosts; // of each crash
	} cases[] = {
		{ "at one host", { 0, 0, 0 } },
		{ "at three hosts", { 0, 1, 2 } },
	};
	const int harmless_requests = 40; // per host and server
	uint64_t request = 7;
	uint64_t harmless = 1000;

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		request++;
		for (size_t host : c.hosts) {
			hosts_[host]->crash(request);
			time_.run(600);
			for (int i = 0; i < harmless_requests; i++)
				for (auto &h : hosts_)
					h->crash(harmless++);
			time_.run(600);
		}
		for (auto &host : hosts_)
			EXPECT_GT(host->refuses_ms(request), 0);
	}
}

namespace
{

struct ProbeCase {
	const char *name;
	// What happens to the attempt that host 0 lets through.
	void (*happens)(Host *host, uint64_t request);
	int64_t wait_ms; // afterwards
	bool refused; // at all hosts then
};

void stay_unknown(Host *, uint64_t)
{
}

void answer(Host *host, uint64_t request)
{
	host->answered(request);
}

void reject(Host *host, uint64_t request)
{
	host->not_run(request);
}

void lose_server(Host *host, uint64_t request)
{
	host->crash(request, "s4");
}

const ProbeCase probe_cases[] = {
	{ "not known yet", stay_unknown, 100, true },
	{ "its server's entry would have expired", stay_unknown, 4000, true },
	{ "never known", stay_unknown, CRASH_PROBE_MS + 100, false },
	{ "answered", answer, 100, false },
	{ "not run", reject, 100, false },
	{ "takes down its server", lose_server, CRASH_REFUSAL_FIRST_MS, true },
};

} // namespace

// Guards against a request that takes down servers in silence and, when its
// rejection is over, reaches more of them at each host until the first loss is
// known.
TEST_F(Crashes, LetOneAttemptThroughAtATime)
{
	uint64_t request = 6;

	for (const ProbeCase &c : probe_cases) {
		SCOPED_TRACE(c.name);

		request++;
		for (const char *server : { "s1", "s2", "s3" })
			hosts_[1]->crash(request, server);
		time_.run(CRASH_REFUSAL_FIRST_MS + 100);
		for (auto &host : hosts_)
			EXPECT_EQ(0, host->refuses_ms(request));
		hosts_[0]->sent(request);
		EXPECT_GT(hosts_[0]->refuses_ms(request), 0);
		time_.run(100);
		for (auto &host : hosts_)
			EXPECT_EQ(CRASH_PROBE_RETRY_MS,
				  host->refuses_ms(request));
		c.happens(hosts_[0].get(), request);
		time_.run(c.wait_ms);
		for (auto &host : hosts_)
			EXPECT_EQ(c.refused, host->refuses_ms(request) > 0);
	}
}

// A request that was never rejected is not held back.
TEST_F(Crashes, BelowTheLimitLetAllAttemptsThrough)
{
	hosts_[1]->crash(7, "s1");
	hosts_[1]->crash(7, "s2");
	time_.run(100);
	hosts_[0]->sent(7);
	time_.run(100);
	for (auto &host : hosts_)
		EXPECT_EQ(0, host->refuses_ms(7));
}
