// Discovery of entry hosts: which hosts are returned to callers while hosts
// start, leave or die, and while the store is unavailable.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "lib-fake-topics.h"

extern "C" {
#include "base/alloc.h"
#include "discovery/discovery.h"
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

		copy_text(own.name, sizeof(own.name), name.c_str());
		copy_text(own.data_centre, sizeof(own.data_centre), "dc");
		copy_text(own.caller_address, sizeof(own.caller_address),
			  "10.0.0.1:80");
		own.incarnation = incarnation;
		own.cpu_milli = 500;
		counter_set_init(&counters_);
		discovery_init(&discovery, topics->log(), &time->timers, &own,
			       nullptr, &counters_);
		discovery_start(&discovery);
	}

	~Host()
	{
		discovery_finish(&discovery);
		counter_set_finish(&counters_);
	}

	bool sees(const std::string &name) const
	{
		const struct entry_host *host =
			host_table_find(&discovery.hosts, name.c_str());

		return host && discovery_takes_calls(&discovery, host);
	}

	struct discovery discovery;

      private:
	struct counter_set counters_;
};

class Discovery : public ::testing::Test
{
      protected:
	Discovery() : topics_(&time_.timers)
	{
	}

	Host *add(const std::string &name, uint64_t incarnation = 1)
	{
		hosts_.emplace_back(
			new Host(&time_, &topics_, name, incarnation));
		discovery_set_ready(&hosts_.back()->discovery, 1);
		return hosts_.back().get();
	}

	void fail(const std::string &kind, Fault fault)
	{
		topics_.faults = [kind, fault](const std::string &of,
					       const std::string &) {
			return kind.empty() || kind == of ? fault : Fault::NONE;
		};
	}

	FakeTime time_;
	FakeTopics topics_;
	std::vector<std::unique_ptr<Host>> hosts_;
};

} // namespace

TEST_F(Discovery, KnowsHostsThatComeLeaveAndDie)
{
	Host *first = add("a");

	add("b");
	time_.run(1000);
	EXPECT_TRUE(first->sees("a"));
	EXPECT_TRUE(first->sees("b"));
	discovery_set_leaving(&hosts_[1]->discovery);
	time_.run(300);
	EXPECT_FALSE(first->sees("b")) << "leaves";
	hosts_.pop_back();
	add("b", 2);
	time_.run(400);
	EXPECT_TRUE(first->sees("b")) << "came again";
	hosts_.pop_back();
	time_.run(500);
	EXPECT_TRUE(first->sees("b")) << "may be late";
	time_.run(1500);
	EXPECT_FALSE(first->sees("b")) << "died";
	EXPECT_TRUE(first->sees("a"));
}

namespace
{

struct OutageCase {
	const char *name;
	const char *kind; // of calls that fail; "": all
	Fault fault;
	int64_t lasts_ms;
};

} // namespace

// Load pattern: with hundreds of hosts the period of notices is long, and one
// of the few hosts that run batches dies. Others must take over before a step
// is lost.
TEST_F(Discovery, NoticesSoonAmongManyHostsThatOneWithPartitionsDied)
{
	const int count = 150;
	const struct entry_host *owner, *other;
	Host *first;

	for (int i = 0; i < count; i++)
		add("h" + std::to_string(i));
	first = hosts_[0].get();
	time_.run(4000);
	discovery_set_partitions(&hosts_[1]->discovery, 1);
	time_.run(6000);
	owner = host_table_find(&first->discovery.hosts, "h1");
	other = host_table_find(&first->discovery.hosts, "h2");
	ASSERT_NE(nullptr, owner);
	EXPECT_EQ(500u, owner->period_ms);
	EXPECT_GE(other->period_ms, 1000u) << "else there are too many notices";
	for (int ms = 0; ms < 5000; ms += 100) {
		time_.run(100);
		ASSERT_TRUE(discovery_is_alive(&first->discovery, owner));
		ASSERT_TRUE(discovery_is_alive(&first->discovery, other));
	}
	hosts_.erase(hosts_.begin() + 1, hosts_.begin() + 3);
	/* Three periods, the age of a read and a pause between two reads. */
	time_.run(1500 + 500 + 600 + 100);
	EXPECT_FALSE(discovery_is_alive(&first->discovery, owner));
	EXPECT_TRUE(discovery_is_alive(&first->discovery, other));
}

// Load pattern: the store is unavailable for seconds, and callers still request
// addresses: they get those known before.
TEST_F(Discovery, KeepsHostsWhileNoticesCannotBeRead)
{
	const OutageCase cases[] = {
		{ "all refused", "", Fault::REFUSED, 8000 },
		{ "no answers", "", Fault::SILENT, 8000 },
		{ "a short one", "", Fault::REFUSED, 900 },
		{ "no answers to reads", "read", Fault::SILENT, 5000 },
		{ "no host can write", "append", Fault::REFUSED, 5000 },
	};

	for (const OutageCase &c : cases) {
		SCOPED_TRACE(c.name);
		Host *first = add("a");

		add("b");
		time_.run(1500);
		ASSERT_TRUE(first->sees("b"));
		fail(c.kind, c.fault);
		for (int64_t at = 0; at < c.lasts_ms; at += 100) {
			time_.run(100);
			ASSERT_TRUE(first->sees("b")) << at;
			ASSERT_TRUE(first->sees("a")) << at;
		}
		topics_.faults = nullptr;
		for (int64_t at = 0; at < 4000; at += 100) {
			time_.run(100);
			ASSERT_TRUE(first->sees("b")) << "back for " << at;
		}
		hosts_.pop_back();
		time_.run(2500);
		EXPECT_FALSE(first->sees("b"));
		hosts_.clear();
	}
}

// A host that is the only one unable to write is not returned by the others.
TEST_F(Discovery, DropsAHostWhoseNoticesStop)
{
	Host *first = add("a");
	Host *second = add("b");

	time_.run(1000);
	topics_.writer_faults = [](const std::string &writer) {
		return writer[0] == 'b' ? Fault::REFUSED : Fault::NONE;
	};
	time_.run(5000);
	EXPECT_FALSE(first->sees("b"));
	EXPECT_TRUE(first->sees("a"));
	EXPECT_TRUE(second->sees("a"));
	topics_.writer_faults = nullptr;
	time_.run(1000);
	EXPECT_TRUE(first->sees("b"));
}

namespace
{

struct DeathCase {
	const char *name;
	int hosts;
	int64_t outage_ms; // the host dies in the middle of it
	int64_t named_ms; // bound, from its death or the end of the outage
};

} // namespace

// Guards against addresses of hosts that died long ago: a caller loses a second
// on each. The bounds are those of the platform: 4 s until a host is in touch
// again, and 3 s more for a death that nothing hides.
TEST_F(Discovery, NamesNoHostThatDiedLongAgo)
{
	const DeathCase cases[] = {
		{ "a few", 3, 0, 7000 },
		{ "many", 87, 0, 7000 },
		{ "a few, while the store is away", 3, 8000, 4000 },
		{ "many, while the store is away", 87, 8000, 4000 },
	};

	for (const DeathCase &c : cases) {
		SCOPED_TRACE(c.name);
		Host *first;

		for (int i = 0; i < c.hosts; i++)
			add("h" + std::to_string(i));
		first = hosts_[0].get();
		time_.run(6000);
		ASSERT_TRUE(first->sees("h2"));
		if (c.outage_ms)
			fail("", Fault::SILENT);
		time_.run(c.outage_ms / 2);
		hosts_.pop_back();
		time_.run(c.outage_ms / 2);
		topics_.faults = nullptr;
		time_.run(c.named_ms);
		EXPECT_FALSE(first->sees("h" + std::to_string(c.hosts - 1)));
		for (int i = 0; i < c.hosts - 1; i++)
			EXPECT_TRUE(first->sees("h" + std::to_string(i))) << i;
		hosts_.clear();
		time_.run(1000);
	}
}

namespace
{

struct LeftOverCase {
	const char *name;
	int64_t dead_ms; // one of five hosts, when another one starts
	bool others_live; // meanwhile
	bool seen; // by the one that starts, at first
};

const LeftOverCase left_over_cases[] = {
	{ "just died", 500, true, true },
	{ "long dead", 30000, true, false },
	{ "all are dead", 30000, false, true },
};

} // namespace

// Guards against addresses of hosts that have long been off, named to callers
// by a host that starts: it listed their last notices and took them for new
// ones.
TEST_F(Discovery, NamesNoHostThatWasOffBeforeItStarts)
{
	for (const LeftOverCase &c : left_over_cases) {
		SCOPED_TRACE(c.name);
		uint64_t start = 10 * (uint64_t)(&c - left_over_cases);
		Host *started;

		for (const char *name : { "a", "b", "c", "d", "off" })
			add(name, start + 1);
		time_.run(5000);
		if (c.others_live)
			hosts_.pop_back();
		else
			hosts_.clear();
		time_.run(c.dead_ms);
		started = add("new", start + 2);
		ASSERT_EQ(0, discovery_is_listed(&started->discovery));
		while (!discovery_is_listed(&started->discovery))
			time_.run(1);
		EXPECT_EQ(c.seen, started->sees("off"));
		EXPECT_TRUE(started->sees("a"));
		time_.run(2000);
		EXPECT_FALSE(started->sees("off"));
		EXPECT_EQ(c.others_live, started->sees("a"));
		hosts_.clear();
	}
}
