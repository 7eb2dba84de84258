// Data centres that operators evacuate: which records ask for it, how it ends,
// and what a daemon believes that was away or has just started.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "lib-fake-engine.h"
#include "lib-fake-topics.h"

extern "C" {
#include "platform/operator_feed.h"
}

namespace
{

const char topic[] = "keyed.op";

// The operators' feed of one daemon, with a server in the data centre "dc".
class Operators
{
      public:
	Operators(FakeTime *time, FakeTopics *topics)
	{
		counter_set_init(&counters);
		config_holder_init(&config, nullptr);
		fleet_init(&fleet);
		evacuations_init(&evacuations, &fleet, nullptr, &counters);
		cold_limits_init(&limits, &fleet, nullptr, &counters, "a");
		cold_limits_set(&limits, "s", 2, 3 * NS_PER_S, sole_sender("a"),
				1);
		operator_feed_init(&feed, topics->log(), &time->timers, &config,
				   nullptr, nullptr, &counters);
		feed.evacuations = &evacuations;
		put_server(&fleet, 1, "e", "127.0.0.1:1", "s");
		operator_feed_start(&feed);
	}

	~Operators()
	{
		operator_feed_finish(&feed);
		fleet_finish(&fleet);
		cold_limits_finish(&limits);
		evacuations_finish(&evacuations);
		config_holder_finish(&config);
		counter_set_finish(&counters);
	}

	bool uses(int64_t now_ns)
	{
		return fleet_server_usable(fleet_find(&fleet, "e"), now_ns);
	}

	int64_t malformed()
	{
		return counter_value(
			counter_get(&counters, "config_malformed_total"));
	}

	struct counter_set counters;
	struct config_holder config;
	struct fleet fleet;
	struct evacuations evacuations;
	struct cold_limits limits;
	struct operator_feed feed;
};

class Evacuation : public ::testing::Test
{
      protected:
	Evacuation() : topics_(&time_.timers)
	{
	}

	FakeTime time_;
	FakeTopics topics_;
};

} // namespace

TEST_F(Evacuation, IsAskedForByTheKeyAlone)
{
	const struct {
		const char *name, *key, *value;
		bool used;
		int malformed;
	} cases[] = {
		{ "as operators write it", "evacuate/dc", "{}", false, 0 },
		{ "with fields", "evacuate/dc", "{\"a\":1}", false, 0 },
		{ "of another data centre", "evacuate/dc2", "{}", true, 0 },
		{ "of a prefix", "evacuate/d", "{}", true, 0 },
		{ "no JSON", "evacuate/dc", "\xff\x00{", false, 1 },
		{ "JSON of another type", "evacuate/dc", "[]", false, 1 },
		{ "of none", "evacuate/", "{}", true, 1 },
		{ "no such key", "evacuate", "{}", true, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		FakeTopics topics(&time_.timers);
		Operators daemon(&time_, &topics);

		time_.run(500);
		topics.put(topic, c.key, c.value);
		time_.run(2000);
		EXPECT_EQ(c.used, daemon.uses(time_.now_ns()));
		EXPECT_EQ(c.malformed, daemon.malformed());
	}
	FakeTopics topics(&time_.timers);
	Operators daemon(&time_, &topics);

	topics.put(topic, "evacuate/" + std::string(200, 'x'), "{}");
	time_.run(2000);
	EXPECT_EQ(1, daemon.malformed()) << "too long a name";
	EXPECT_EQ(nullptr, daemon.evacuations.first);
}

TEST_F(Evacuation, BeginsAtOnceAndEndsWithItsRecord)
{
	Operators daemon(&time_, &topics_);
	struct fleet_server *server;

	time_.run(500);
	topics_.put(topic, "evacuate/dc", "{}");
	topics_.put(topic, "evacuate/dc2", "{}");
	time_.run(100);
	EXPECT_FALSE(daemon.uses(time_.now_ns()));
	put_server(&daemon.fleet, 2, "f", "127.0.0.1:2", "s");
	EXPECT_FALSE(fleet_server_usable(fleet_find(&daemon.fleet, "f"),
					 time_.now_ns()))
		<< "a server that comes later";
	topics_.put(topic, "evacuate/dc", "{}");
	topics_.put(topic, "evacuate/dc2", "");
	time_.run(100);
	EXPECT_FALSE(daemon.uses(time_.now_ns()));
	topics_.put(topic, "evacuate/dc", "");
	time_.run(100);
	EXPECT_TRUE(daemon.uses(time_.now_ns()));
	EXPECT_EQ(nullptr, daemon.evacuations.first);
	/* Its servers may have become cold, and no entry says so yet. */
	server = fleet_find(&daemon.fleet, "e");
	EXPECT_GT(fleet_server_cold_left_ns(server, time_.now_ns()),
		  2 * NS_PER_S);
	fleet_server_note_sent(server, time_.now_ns());
	fleet_server_note_sent(server, time_.now_ns());
	EXPECT_FALSE(daemon.uses(time_.now_ns()));
}

// The state of a daemon is that of the newest listing, whatever it missed.
TEST_F(Evacuation, IsReadAfterARestartAndAfterALoss)
{
	topics_.put(topic, "evacuate/dc", "{}");
	{
		Operators daemon(&time_, &topics_);

		time_.run(100);
		EXPECT_FALSE(daemon.uses(time_.now_ns())) << "after a restart";
		topics_.set_fault(Fault::SILENT);
		time_.run(8000);
		EXPECT_FALSE(daemon.uses(time_.now_ns())) << "an outage";
		/* It ends meanwhile, and the history with it. */
		topics_.put(topic, "evacuate/dc", "");
		topics_.put(topic, "version/m", "{\"version\":0}");
		topics_.forget(topic, 0, 2);
		time_.run(1000);
		EXPECT_FALSE(daemon.uses(time_.now_ns())) << "unknown yet";
		topics_.faults = nullptr;
		time_.run(3000);
		EXPECT_TRUE(daemon.uses(time_.now_ns())) << "listed anew";
	}
	Operators other(&time_, &topics_);

	time_.run(100);
	EXPECT_TRUE(other.uses(time_.now_ns()));
}

TEST_F(Evacuation, IsNotEndedByAnOlderRecord)
{
	Operators daemon(&time_, &topics_);

	evacuations_begin(&daemon.evacuations, "dc", 7, 1);
	evacuations_end(&daemon.evacuations, "dc", 6, 1);
	EXPECT_FALSE(daemon.uses(1));
	evacuations_begin(&daemon.evacuations, "dc", 3, 1);
	evacuations_end(&daemon.evacuations, "dc", 6, 1);
	EXPECT_FALSE(daemon.uses(1)) << "an older request came again";
	evacuations_begin_listing(&daemon.evacuations);
	evacuations_end_listing(&daemon.evacuations, 7, 1);
	EXPECT_FALSE(daemon.uses(1)) << "asked for behind the listing";
	evacuations_end(&daemon.evacuations, "dc", 8, 1);
	EXPECT_TRUE(daemon.uses(1));
}
