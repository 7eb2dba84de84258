// Entries of backend servers in the platform's store: entries that are added,
// changed, expired or malformed, and outages of the store.

#include <gtest/gtest.h>

#include <set>

#include "t/lib-fake-topics.h"

extern "C" {
#include "platform/server_feed.h"
}

namespace
{

const char topic[] = "keyed.servers";

std::string entry(const std::string &port, const std::string &state = "ready",
		  const std::string &service = "s")
{
	return "{\"service\":\"" + service + "\",\"addr\":\"10.0.0.1:" + port +
	       "\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":4,"
	       "\"state\":\"" +
	       state + "\",\"cold_left_ms\":0,\"seq\":1,\"born\":" + port + "}";
}

class Feed : public ::testing::Test
{
      protected:
	Feed() : topics_(&time_.timers)
	{
		fleet_init(&fleet_);
		counter_set_init(&counters_);
		server_feed_init(&feed_, topics_.log(), &time_.timers, &fleet_,
				 nullptr, &counters_);
	}

	~Feed()
	{
		server_feed_finish(&feed_);
		fleet_finish(&fleet_);
		counter_set_finish(&counters_);
	}

	void put(const std::string &id, const std::string &value)
	{
		topics_.put(topic, id, value);
	}

	std::set<std::string> known_ids()
	{
		std::set<std::string> ids;

		for (struct fleet_server *s = fleet_.first; s; s = s->next)
			ids.insert(s->entry.id);
		return ids;
	}

	FakeTime time_;
	FakeTopics topics_;
	struct fleet fleet_;
	struct counter_set counters_;
	struct server_feed feed_;
};

typedef std::set<std::string> Ids;

} // namespace

TEST_F(Feed, FollowsEntries)
{
	put("a", entry("1"));
	server_feed_start(&feed_);
	time_.run(1000);
	EXPECT_EQ(Ids({ "a" }), known_ids());
	put("b", entry("2"));
	put("a", entry("1", "draining"));
	time_.run(1000);
	EXPECT_EQ(Ids({ "a", "b" }), known_ids());
	EXPECT_TRUE(fleet_find(&fleet_, "a")->entry.leaving);
	EXPECT_FALSE(
		fleet_server_usable(fleet_find(&fleet_, "a"), time_.now_ns()));
	put("a", "");
	time_.run(1000);
	EXPECT_EQ(Ids({ "b" }), known_ids());
}

// A server of another service may reuse the address of a removed one.
TEST_F(Feed, AnotherProcessUnderAnIdIsAnotherServer)
{
	struct fleet_server *before;

	put("a", entry("1"));
	server_feed_start(&feed_);
	time_.run(1000);
	before = fleet_server_ref(fleet_find(&fleet_, "a"));
	put("a", entry("1", "ready", "other"));
	time_.run(1000);
	EXPECT_TRUE(before->removed);
	EXPECT_STREQ("other", fleet_find(&fleet_, "a")->entry.service);
	fleet_server_unref(before);
}

TEST_F(Feed, ABrokenEntryHarmsNoOther)
{
	for (const char *broken : { "{", "[]", "{\"service\":1}" }) {
		SCOPED_TRACE(broken);
		put("a", entry("1"));
		put("x", broken);
		put("b", entry("2"));
		if (!feed_.follower.is_listed)
			server_feed_start(&feed_);
		time_.run(1000);
		EXPECT_EQ(Ids({ "a", "b" }), known_ids());
	}
	EXPECT_EQ(3, counter_value(feed_.malformed));
}

// Entries expire while servers cannot renew them. Running servers write theirs
// again within two seconds of the store's recovery; the others are removed.
TEST_F(Feed, EntriesThatLapsedInAnOutageComeBackOrGo)
{
	for (Fault fault : { Fault::REFUSED, Fault::SILENT }) {
		put("lives", entry("1"));
		put("died", entry("2"));
		if (!feed_.follower.is_listed)
			server_feed_start(&feed_);
		time_.run(2000);
		ASSERT_EQ(Ids({ "lives", "died" }), known_ids());
		topics_.set_fault(fault);
		time_.run(7000);
		EXPECT_EQ(Ids({ "lives", "died" }), known_ids());
		put("lives", "");
		put("died", "");
		topics_.faults = nullptr;
		for (int step = 0; step < 19; step++) {
			time_.run(100);
			EXPECT_TRUE(known_ids().count("lives")) << step;
		}
		put("lives", entry("1"));
		time_.run(2600);
		EXPECT_EQ(Ids({ "lives" }), known_ids());
	}
}

// Dropped log history forces a new listing; servers missing from it are
// removed.
TEST_F(Feed, AListingAfterLostHistoryTakesOutWhatIsGone)
{
	put("a", entry("1"));
	put("b", entry("2"));
	server_feed_start(&feed_);
	time_.run(1000);
	topics_.set_fault(Fault::REFUSED);
	time_.run(3000);
	put("a", "");
	put("c", entry("3"));
	topics_.forget(topic, 0, topics_.partition(topic, 0).records.size());
	topics_.faults = nullptr;
	time_.run(6000);
	EXPECT_EQ(0u, known_ids().count("a"));
	EXPECT_EQ(1u, known_ids().count("c"));
}

TEST_F(Feed, AStaleAnswerTakesNothingBack)
{
	put("a", entry("1"));
	server_feed_start(&feed_);
	time_.run(1000);
	put("a", entry("1", "draining"));
	time_.run(1000);
	ASSERT_TRUE(fleet_find(&fleet_, "a")->entry.leaving);
	topics_.stale_records = 1;
	time_.run(3000);
	EXPECT_TRUE(fleet_find(&fleet_, "a")->entry.leaving);
}

// The time that an entry gives is as of its report, and a daemon reads it
// later. A server may become cold again.
TEST_F(Feed, TellsHowLongAServerIsCold)
{
	auto cold = [](const std::string &ms) {
		std::string text = entry("1");

		return text.replace(text.find("\"cold_left_ms\":0"), 16,
				    "\"cold_left_ms\":" + ms);
	};
	auto left_ms = [&] {
		return fleet_server_cold_left_ns(fleet_find(&fleet_, "a"),
						 time_.now_ns()) /
		       NS_PER_MS;
	};

	put("a", cold("3000"));
	server_feed_start(&feed_);
	time_.run(1000);
	EXPECT_LE(left_ms(), 3000);
	EXPECT_GT(left_ms(), 1900);
	time_.run(2500);
	EXPECT_EQ(0, left_ms());
	put("a", cold("2000"));
	time_.run(500);
	EXPECT_GT(left_ms(), 1400) << "cold again";
	put("a", cold("2000"));
	time_.run(500);
	EXPECT_GT(left_ms(), 1400) << "the same report, later";
	put("a", entry("1"));
	time_.run(500);
	EXPECT_EQ(0, left_ms());
}
