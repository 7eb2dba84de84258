// The duties that one daemon at a time performs: the lease, usage reports,
// weight loads and server orders, under faults of the store and the platform.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lib-duty-host.h"

extern "C" {
#include "base/rng.h"
}

namespace
{

class Duties : public ::testing::Test
{
      protected:
	Duties() : topics_(&time_.timers), platform_(&time_)
	{
	}

	DutyHost *add(const std::string &name, int64_t extra_wait_ms = 0)
	{
		hosts_.emplace_back(new DutyHost(&time_, &topics_, &platform_,
						 name, ++incarnations_,
						 extra_wait_ms));
		return hosts_.back().get();
	}

	void kill(DutyHost *host)
	{
		hosts_.erase(std::find_if(
			hosts_.begin(), hosts_.end(),
			[host](auto &h) { return h.get() == host; }));
	}

	DutyHost *holder()
	{
		for (auto &host : hosts_)
			if (host->holds())
				return host.get();
		return nullptr;
	}

	// Waits until a host holds the lease; returns the milliseconds that
	// passed, or -1 after `limit_ms`.
	int64_t wait_holder(int64_t limit_ms = 10000)
	{
		for (int64_t ms = 0; ms <= limit_ms; ms += 10) {
			if (holder())
				return ms;
			time_.run(10);
		}
		return -1;
	}

	int count(const std::string &kind)
	{
		return (int)std::count_if(
			platform_.calls.begin(), platform_.calls.end(),
			[&](const DutyCall &c) { return c.kind == kind; });
	}

	FakeTime time_;
	FakeTopics topics_;
	FakePlatform platform_;
	uint64_t incarnations_ = 0;
	std::vector<std::unique_ptr<DutyHost>> hosts_;
};

} // namespace

TEST_F(Duties, PassOnSoonAfterAStopAndAfterTheLeaseAtAKill)
{
	DutyHost *first = add("a");
	uint64_t fence;

	add("b", 250);
	add("c", 500);
	ASSERT_GE(wait_holder(), 0);
	EXPECT_EQ(first, holder());
	time_.run(5000);
	EXPECT_EQ(first, holder()) << "renewed";
	fence = first->lease.fence;
	duty_lease_release(&first->lease);
	EXPECT_EQ(nullptr, holder());
	EXPECT_LE(wait_holder(), 800);
	EXPECT_EQ("b", holder()->name);
	EXPECT_GT(holder()->lease.fence, fence);
	fence = holder()->lease.fence;
	kill(holder());
	int64_t took_ms = wait_holder();

	EXPECT_GE(took_ms, 1000) << "before the killed one's time was over";
	EXPECT_LE(took_ms, 3500);
	EXPECT_EQ("c", holder()->name);
	EXPECT_GT(holder()->lease.fence, fence);
}

// Under random faults of the store, kills and restarts there are never two
// holders, and the fencing number increases with each change of the holder.
TEST_F(Duties, HaveOneHolderWhateverTheStoreDoes)
{
	for (uint64_t seed = 1; seed <= 30; seed++) {
		SCOPED_TRACE(seed);
		struct rng rng;
		std::map<uint64_t, std::string> fences;
		uint64_t last_fence = 0;
		int held = 0;

		rng_init(&rng, seed);
		topics_.faults = [&](const std::string &kind,
				     const std::string &) {
			uint64_t draw = rng_below(&rng, 20);

			if (draw == 0)
				return Fault::LOST;
			if (draw == 1 && kind == "append")
				return Fault::LATE;
			if (draw == 2)
				return Fault::REFUSED;
			return draw == 3 ? Fault::SILENT : Fault::NONE;
		};
		for (int i = 0; i < 4; i++)
			add("h" + std::to_string(seed) + "-" +
				    std::to_string(i),
			    i * 100);
		for (int step = 0; step < 3000; step++) {
			int holders = 0;

			time_.run(10);
			if (!rng_below(&rng, 60))
				topics_.carry_out_late();
			if (hosts_.size() && !rng_below(&rng, 400)) {
				std::string name = hosts_[0]->name;

				kill(hosts_[rng_below(&rng, hosts_.size())]
					     .get());
				add(name + "'", 100);
			}
			for (auto &host : hosts_) {
				if (!host->holds())
					continue;
				uint64_t fence = host->lease.fence;
				std::string who =
					host->name +
					std::to_string(host->lease.incarnation);

				holders++;
				held++;
				if (fences.count(fence)) {
					EXPECT_EQ(fences[fence], who);
				}
				fences[fence] = who;
				EXPECT_GE(fence, last_fence);
				last_fence = fence;
			}
			ASSERT_LE(holders, 1) << "step " << step;
		}
		EXPECT_GT(held, 1000) << "the duty was hardly ever held";
		hosts_.clear();
		topics_.faults = nullptr;
		topics_.carry_out_late();
		time_.run(20);
	}
}

// Hosts stop or are killed and restart under the same name: once another host
// has acted, a former holder must not act again within the lease time.
TEST_F(Duties, ComeBackToAFormerHolderAfterTheLeaseAlone)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		SCOPED_TRACE(seed);
		std::map<std::string, int64_t> acted_ms; // newest, by host
		std::string last;
		struct rng rng;
		int changes = 0;

		rng_init(&rng, seed);
		for (const char *name : { "a", "b", "c" })
			add(name, (name[0] - 'a') * 100);
		for (int64_t at_ms = 0; at_ms < 30000; at_ms += 10) {
			DutyHost *now;

			time_.run(10);
			now = holder();
			if (now && !rng_below(&rng, 60)) {
				std::string name = now->name;

				if (rng_below(&rng, 3)) {
					duty_lease_release(&now->lease);
					time_.run(10);
				}
				kill(now);
				add(name, (name[0] - 'a') * 100);
				now = nullptr;
			}
			if (!now)
				continue;
			if (last != now->name) {
				changes++;
				if (acted_ms.count(now->name)) {
					EXPECT_GE(at_ms - acted_ms[now->name],
						  3000)
						<< now->name << " after "
						<< last << " at " << at_ms;
				}
			}
			last = now->name;
			acted_ms[last] = at_ms;
		}
		EXPECT_GE(changes, 5);
		hosts_.clear();
		time_.run(5000);
	}
}

TEST_F(Duties, ReportEachWindowOnceWithAllThatRan)
{
	DutyHost *first = add("a");
	DutyHost *second = add("b", 250);
	std::map<uint64_t, std::map<std::string, uint64_t>> ran;

	ASSERT_GE(wait_holder(), 0);
	for (int step = 0; step < 400; step++) {
		uint64_t window =
			(uint64_t)clock_wall_ms(&time_.clock.base) / 5000;

		first->count_request("red");
		ran[window]["red"]++;
		if (step % 3 == 0) {
			second->count_request("blue");
			ran[window]["blue"]++;
		}
		time_.run(100);
	}
	time_.run(20000);
	ASSERT_GE(platform_.reported.size(), 8u);
	for (auto &window : platform_.reported)
		if (ran.count(window.first)) {
			EXPECT_EQ(ran[window.first], window.second)
				<< window.first;
		}
}

namespace
{

struct ReportCase {
	const char *name;
	DutyFault fault;
	int calls; // number of first calls with the fault
	bool kill; // kill the holder shortly after its first report
};

} // namespace

TEST_F(Duties, DoNotReportUsageWhereNobodyAsksForIt)
{
	platform_.takes_usage_reports = false;
	add("a");
	ASSERT_GE(wait_holder(), 0);
	for (int step = 0; step < 300; step++) {
		hosts_.back()->count_request("red");
		time_.run(100);
	}
	EXPECT_TRUE(platform_.reported.empty());
	for (const DutyCall &call : platform_.calls)
		EXPECT_NE("usage", call.kind);
}

// A new holder cannot read the usage topic for a while, but can append claims:
// it must report earlier windows as soon as it can read them.
TEST_F(Duties, ReportWhatWasBeforeThemOnceItCanBeRead)
{
	const int64_t outages_ms[] = { 100, 1000, 2500 };

	for (int64_t outage_ms : outages_ms) {
		SCOPED_TRACE(outage_ms);
		uint64_t last;
		int64_t now_ms;

		platform_.reported.clear();
		add("a");
		ASSERT_GE(wait_holder(), 0);
		add("b", 250);
		while (clock_wall_ms(&time_.clock.base) % 5000 < 4000 ||
		       platform_.reported.empty()) {
			hosts_[0]->count_request("red");
			time_.run(100);
		}
		last = (uint64_t)clock_wall_ms(&time_.clock.base) / 5000;
		time_.run(5000 - clock_wall_ms(&time_.clock.base) % 5000 + 300);
		topics_.faults = [](const std::string &kind,
				    const std::string &topic) {
			return kind == "read" && topic == "usage"
				       ? Fault::REFUSED
				       : Fault::NONE;
		};
		kill(hosts_[0].get());
		ASSERT_GE(wait_holder(), 0);
		time_.run(outage_ms);
		topics_.faults = nullptr;
		// A window is closed four seconds after its end.
		now_ms = clock_wall_ms(&time_.clock.base);
		time_.run(std::max<int64_t>(
			(int64_t)(last + 1) * 5000 + 4200 - now_ms, 1000));
		EXPECT_TRUE(platform_.reported.count(last));
		hosts_.clear();
	}
}

// A delay between close and report would lose the report if the store, and
// with it the lease, became unavailable in between.
TEST_F(Duties, ReportAWindowAsSoonAsItIsClosed)
{
	size_t closes = 0;
	int64_t closed_ms = -1;

	add("a");
	ASSERT_GE(wait_holder(), 0);
	for (int64_t at_ms = 0; at_ms < 40000; at_ms += 10) {
		size_t reports = platform_.reported.size();
		size_t records = topics_.partition("usage", 0).records.size();

		time_.run(10);
		if (records != topics_.partition("usage", 0).records.size() &&
		    closed_ms < 0)
			closed_ms = at_ms;
		if (reports == platform_.reported.size())
			continue;
		EXPECT_LE(at_ms - closed_ms, 50);
		closed_ms = -1;
		closes++;
		time_.run(100); // for the append of the reported record
	}
	EXPECT_GE(closes, 5u);
}

// Answers are lost or late, or the holder is killed: each window is reported in
// time and always with the same counts, which the fake platform checks.
TEST_F(Duties, ReportTheSameFigureAgain)
{
	const ReportCase cases[] = {
		{ "answers are lost", DutyFault::LOST, 3, false },
		{ "refused", DutyFault::REFUSED, 3, false },
		{ "carried out late", DutyFault::LATE, 2, false },
		{ "no answer", DutyFault::SILENT, 2, false },
		{ "the holder dies", DutyFault::NONE, 0, true },
		{ "the holder dies before its answer came", DutyFault::LOST, 1,
		  true },
	};

	for (const ReportCase &c : cases) {
		SCOPED_TRACE(c.name);
		int left = c.calls;
		bool was_called = false;

		platform_.reported.clear();
		platform_.faults = [&](const DutyCall &call) {
			if (call.kind != "usage")
				return DutyFault::NONE;
			was_called = true;
			return left-- > 0 ? c.fault : DutyFault::NONE;
		};
		add("a");
		add("b", 250);
		ASSERT_GE(wait_holder(), 0);
		uint64_t since =
			(uint64_t)clock_wall_ms(&time_.clock.base) / 5000 + 1;

		for (int step = 0; step < 450; step++) {
			hosts_.back()->count_request("red");
			time_.run(100);
			if (step % 10 == 9)
				platform_.carry_out_late();
			if (was_called && c.kill && hosts_.size() == 2)
				kill(hosts_[0].get());
		}
		uint64_t now =
			(uint64_t)clock_wall_ms(&time_.clock.base) / 5000;

		/* A report is due ten seconds after the window's end. */
		for (uint64_t w = since; w + 4 <= now; w++)
			EXPECT_TRUE(platform_.reported.count(w)) << w - since;
		hosts_.clear();
		platform_.faults = nullptr;
	}
}

TEST_F(Duties, LoadNamedVersionsAndTellEverybody)
{
	DutyHost *host = add("a");

	for (int i = 0; i < 4; i++) {
		platform_.engines["e" + std::to_string(i)].versions = {
			{ "m", 1 }, { "n", 1 }
		};
		host->add_engine("e" + std::to_string(i), 1);
	}
	ASSERT_GE(wait_holder(), 0);
	for (uint64_t version = 2; version <= 6; version++) {
		uint32_t usable_engines = 0;

		host->name_version("m", version);
		host->publish_need("m", version - 1);
		time_.run(4000);
		for (auto &engine : platform_.engines)
			usable_engines += engine.second.versions["m"] + 1 >=
					  version;
		EXPECT_GE(usable_engines, 2u) << version;
	}
	EXPECT_LE(count("weights"), 16);
	/* Hosts learn at once which engine has the newest version. */
	EXPECT_GT(topics_.partition("keyed.weights", 0).records.size(), 5u);
}

// The table of needs kept all models that were ever trained. Once it was full,
// a new one got no weights.
TEST(NeedTable, DropsWhatIsNoLongerNeeded)
{
	struct need_table table;
	struct weight_need need = {};
	int64_t now_ns = 0;

	need_table_init(&table);
	for (int i = 0; i < PLAN_MODELS_MAX; i++) {
		snprintf(need.model, sizeof(need.model), "m%d", i);
		EXPECT_EQ(0, need_table_put(&table, &need, now_ns, now_ns));
		now_ns++;
	}
	snprintf(need.model, sizeof(need.model), "new");
	EXPECT_EQ(-1, need_table_put(&table, &need, now_ns, now_ns));
	now_ns = NEED_RETENTION_NS;
	EXPECT_EQ(0, need_table_put(&table, &need, now_ns, now_ns));
	EXPECT_EQ((uint32_t)PLAN_MODELS_MAX, table.count);
	EXPECT_STREQ("new", table.models[0].need.model);
	EXPECT_STREQ("m1", table.models[1].need.model);
	need_table_finish(&table);
}

namespace
{

struct NeedAt {
	const char *model, *service;
	uint32_t items;
	int engines; // at least, of four at each service
};

struct ServiceCase {
	const char *name;
	std::vector<NeedAt> needs;
};

const ServiceCase service_cases[] = {
	{ "OneModelAtBoth", { { "m", "s", 100, 4 }, { "m", "t", 100, 4 } } },
	{ "ALargeAndASmallModel",
	  { { "m", "s", 1000, 4 }, { "n", "t", 1, 4 } } },
	{ "TwoModelsAtOne",
	  { { "m", "s", 100, 2 }, { "n", "s", 100, 2 }, { "n", "t", 1, 4 } } },
};

class DutiesAtServices : public Duties,
			 public ::testing::WithParamInterface<ServiceCase>
{
};

std::string service_name(const ::testing::TestParamInfo<ServiceCase> &info)
{
	return info.param.name;
}

} // namespace

// A model had one need, that of the service named last: the engines of the
// other service of a split or moved route never got the order to load. And
// models shared the engines of all services, so that a small one got engines of
// a service that it doesn't use, and none of its own.
TEST_P(DutiesAtServices, LoadWhatIsNeededThere)
{
	DutyHost *host = add("a");
	std::map<std::string, int> loaded; // by model and service

	for (int i = 0; i < 8; i++) {
		std::string id = "e" + std::to_string(i);

		platform_.engines[id].versions = { { "m", 1 }, { "n", 1 } };
		host->service = i % 2 ? "t" : "s";
		host->add_engine(id, 1);
	}
	ASSERT_GE(wait_holder(), 0);
	host->name_version("m", 2);
	host->name_version("n", 2);
	for (const NeedAt &need : GetParam().needs) {
		host->service = need.service;
		host->publish_need(need.model, 2, need.items);
	}
	time_.run(8000);
	for (int i = 0; i < 8; i++)
		for (auto &version :
		     platform_.engines["e" + std::to_string(i)].versions)
			if (version.second == 2)
				loaded[version.first + (i % 2 ? "t" : "s")]++;
	for (const NeedAt &need : GetParam().needs)
		EXPECT_LE(need.engines,
			  loaded[std::string(need.model) + need.service])
			<< need.model << " at " << need.service;
}

INSTANTIATE_TEST_SUITE_P(Services, DutiesAtServices,
			 ::testing::ValuesIn(service_cases), service_name);

// Another writer appends malformed entries to the topics: they are counted and
// have no other effect.
TEST_F(Duties, GoOnWhateverElseIsWritten)
{
	DutyHost *host = add("a");
	const std::string broken = "\xff\xff\xff";

	topics_.put("keyed.duty", "duties", broken);
	topics_.put("keyed.duty", "something", broken);
	ASSERT_GE(wait_holder(), 0);
	topics_.put("keyed.weights", "need/m", broken);
	topics_.put("keyed.weights", "load/e0", broken);
	topics_.put("keyed.weights", "something", broken);
	topics_.put("keyed.weights", "need/n", "");
	time_.run(500);
	EXPECT_EQ(4u, counter_value(host->board.malformed));
	EXPECT_EQ(2u, counter_value(host->lease.malformed));
	platform_.engines["e0"].versions = { { "m", 1 }, { "n", 1 } };
	host->add_engine("e0", 1);
	host->name_version("m", 2);
	host->publish_need("m", 2);
	time_.run(4000);
	EXPECT_EQ(2u, platform_.engines["e0"].versions["m"]);
	EXPECT_TRUE(host->holds());
}

// All engines but the last of 1200 are leaving: the load must reach that one.
TEST_F(Duties, LoadOnWhicheverOfManyEngines)
{
	const int engines = 1200;
	DutyHost *host = add("a");

	for (int i = 0; i < engines; i++) {
		std::string id = "e" + std::to_string(i);

		platform_.engines[id].versions = { { "m", 1 }, { "n", 1 } };
		host->add_engine(id, 1, "dc", false, i != engines - 1);
	}
	ASSERT_GE(wait_holder(), 0);
	host->name_version("m", 2);
	host->publish_need("m", 2);
	time_.run(4000);
	EXPECT_EQ(2u, platform_.engines["e" + std::to_string(engines - 1)]
			      .versions["m"]);
}

namespace
{

struct OrderCase {
	const char *name;
	DutyFault fault;
};

} // namespace

TEST_F(Duties, LoadOnceWhateverBecomesOfAnOrder)
{
	const OrderCase cases[] = {
		{ "sound", DutyFault::NONE },
		{ "the answer is lost", DutyFault::LOST },
		{ "refused", DutyFault::REFUSED },
		{ "another order runs", DutyFault::CONFLICT },
		{ "no answer", DutyFault::SILENT },
		{ "carried out late", DutyFault::LATE },
	};

	for (const OrderCase &c : cases) {
		SCOPED_TRACE(c.name);
		int left = 2;
		std::string id = std::string("e-") + c.name;
		DutyHost *host = add("a");

		platform_.engines[id].versions = { { "m", 1 }, { "n", 1 } };
		host->add_engine(id, 1);
		platform_.faults = [&](const DutyCall &call) {
			return call.kind == "weights" && left-- > 0
				       ? c.fault
				       : DutyFault::NONE;
		};
		ASSERT_GE(wait_holder(), 0);
		host->name_version("m", 2);
		host->publish_need("m", 2);
		time_.run(6000);
		EXPECT_EQ(2u, platform_.engines[id].versions["m"]);
		uint64_t orders = platform_.engines[id].orders;

		/* A delayed order must have no effect. */
		platform_.carry_out_late();
		EXPECT_EQ(orders, platform_.engines[id].orders);
		EXPECT_EQ(1u, orders);
		hosts_.clear();
		platform_.faults = nullptr;
	}
}

TEST_F(Duties, OrderCheapEnginesForOpenRunsAndNoMore)
{
	DutyHost *host = add("a");

	host->add_engine("e0", 1, "dc");
	host->add_engine("e1", 1, "dc");
	host->add_engine("e2", 1, "de");
	ASSERT_GE(wait_holder(), 0);
	time_.run(3000);
	EXPECT_EQ(0, count("servers")) << "nothing is needed";
	host->publish_need("m", 1, 4);
	time_.run(3000);
	EXPECT_EQ(0, count("servers")) << "the present ones are enough";
	host->publish_need("m", 1, 12);
	time_.run(3000);
	EXPECT_GT(platform_.ordered["dc"] + platform_.ordered["de"], 0u);
	host->publish_need("m", 1, 1000);
	time_.run(3000);
	/* Four per data centre, minus the present regular ones. */
	EXPECT_EQ(2u, platform_.ordered["dc"]);
	EXPECT_EQ(3u, platform_.ordered["de"]);
	int orders = count("servers");

	for (int i = 0; i < 5; i++)
		host->add_engine("cheap" + std::to_string(i), 1,
				 i < 2 ? "dc" : "de", true);
	time_.run(8000);
	EXPECT_EQ(orders, count("servers")) << "nothing changed";
	fleet_drop(&host->fleet, "cheap4", 100, time_.now_ns());
	time_.run(1000);
	EXPECT_EQ(orders + 1, count("servers")) << "one was taken away";
	time_.run(60000);
	EXPECT_EQ(0u, platform_.ordered["dc"] + platform_.ordered["de"])
		<< "no batches any more";
}

TEST_F(Duties, AskRarelyWhereNoEnginesAreToBeHad)
{
	DutyHost *host = add("a");
	int conflicts = 0;

	platform_.faults = [&](const DutyCall &call) {
		if (call.kind != "servers" || call.data_centre != "dc")
			return DutyFault::NONE;
		conflicts++;
		return DutyFault::CONFLICT;
	};
	ASSERT_GE(wait_holder(), 0);
	for (int i = 0; i < 40; i++) {
		host->publish_need("m", 1, 1000);
		time_.run(1000);
	}
	EXPECT_GE(conflicts, 2);
	EXPECT_LE(conflicts, 6);
	EXPECT_EQ(4u, platform_.ordered["de"]);
	for (const DutyCall &call : platform_.calls)
		if (call.kind == "servers") {
			EXPECT_GT(call.count, 0u)
				<< "those that are there would go";
		}
}

// A new holder sends its own orders; the former one sends none.
TEST_F(Duties, OrdersComeFromTheHolderAlone)
{
	DutyHost *first = add("a");
	DutyHost *second = add("b", 250);

	ASSERT_GE(wait_holder(), 0);
	first->publish_need("m", 1, 1000);
	time_.run(3000);
	duty_lease_release(&first->lease);
	size_t before = platform_.calls.size();

	time_.run(6000);
	EXPECT_TRUE(second->holds());
	ASSERT_GT(platform_.calls.size(), before);
	for (size_t i = before; i < platform_.calls.size(); i++) {
		EXPECT_EQ("b", platform_.calls[i].host);
		EXPECT_EQ(second->lease.fence, platform_.calls[i].fence);
	}
}

// Guards against a second report of a window: a host that holds the duties
// again has missed the records with which others closed windows meanwhile, as
// the log has dropped them.
TEST_F(Duties, ReportNoWindowAgainWhoseRecordsWereDropped)
{
	for (uint64_t kept : { 0, 20 }) {
		SCOPED_TRACE(kept);
		std::map<uint64_t, int> reports;
		FakePartition &log = topics_.partition("usage", 0);
		DutyHost *first = add("a");
		DutyHost *second = add("b", 250);
		int64_t calls = (int64_t)platform_.calls.size();
		const auto run = [&](int64_t ms) {
			for (; ms > 0; ms -= 100) {
				first->count_request("red");
				second->count_request("blue");
				time_.run(100);
			}
		};

		// Its claims fail until its term is over.
		const auto lose = [&](DutyHost *host) {
			host->set_eligible(false);
			topics_.faults = [](const std::string &kind,
					    const std::string &topic) {
				return kind == "append" && topic == "keyed.duty"
					       ? Fault::REFUSED
					       : Fault::NONE;
			};
			run(4000);
			topics_.faults = nullptr;
		};

		ASSERT_GE(wait_holder(), 0);
		ASSERT_EQ(first, holder());
		run(20000);
		lose(first);
		run(60000);
		ASSERT_EQ(second, holder());
		topics_.forget("usage", 0, log.records.size() - kept);
		first->set_eligible(true);
		lose(second);
		run(40000);
		ASSERT_EQ(first, holder());
		for (size_t i = (size_t)calls; i < platform_.calls.size(); i++)
			if (platform_.calls[i].kind == "usage")
				reports[platform_.calls[i].window]++;
		EXPECT_GE(reports.size(), 20u);
		for (const auto &window : reports)
			EXPECT_EQ(1, window.second) << window.first;
		hosts_.clear();
	}
}

// The store drops a record that the holder has not read. The holder alone
// closes windows, so that those which it counts stay as they are.
TEST_F(Duties, ReportAllWindowsWhereRecordsAreDroppedMeanwhile)
{
	DutyHost *host = add("a");
	FakePartition &log = topics_.partition("usage", 0);
	uint64_t first, last;
	bool dropped = false;

	ASSERT_GE(wait_holder(), 0);
	for (int step = 0; step < 400; step++) {
		host->count_request("red");
		time_.run(100);
		if (dropped || platform_.reported.size() < 3)
			continue;
		topics_.append("usage", 0, "another's");
		topics_.forget("usage", 0, log.records.size());
		dropped = true;
	}
	ASSERT_TRUE(dropped);
	ASSERT_GE(platform_.reported.size(), 4u);
	first = platform_.reported.begin()->first;
	last = platform_.reported.rbegin()->first;
	EXPECT_EQ(last - first + 1, platform_.reported.size());
	for (uint64_t window = first + 1; window < last; window++)
		EXPECT_GE(platform_.reported[window]["red"], 40u) << window;
}
