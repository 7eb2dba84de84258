// Membership: member states, overlay, lists, and the cost of heartbeats.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "t/lib-membership.h"

extern "C" {
#include "base/rng.h"
#include "membership/member_health.h"
#include "membership/overlay.h"
#include "peer/frame.h"
}

static const int64_t period_ns = 100 * NS_PER_MS;

/* One event of a scenario; `at` is in periods since the start. */
struct Step {
	double at;
	enum { BEAT, NOT_RECEIVED, LEAVE, OLD, TICK } what;
	enum member_state state;
};

struct Scenario {
	const char *name;
	bool expected;
	std::vector<Step> steps;
};

static void run_scenario(const Scenario &scenario)
{
	struct member_health health;

	member_health_init(&health, period_ns);
	member_health_expect(&health, scenario.expected, 0);
	for (const Step &step : scenario.steps) {
		Currant__Heartbeat heartbeat = CURRANT__HEARTBEAT__INIT;
		int64_t now = static_cast<int64_t>(step.at * period_ns);
		uint64_t incarnation = step.what == Step::OLD ? 1 : 2;

		heartbeat.hears_receiver = step.what != Step::NOT_RECEIVED;
		heartbeat.leaving = step.what == Step::LEAVE;
		if (step.what == Step::TICK)
			member_health_tick(&health, now);
		else
			member_health_on_heartbeat(&health, incarnation,
						   &heartbeat, now);
		EXPECT_EQ(step.state, health.state)
			<< scenario.name << " at " << step.at;
	}
}

TEST(MemberHealth, FollowsItsHeartbeats)
{
	const auto BEAT = Step::BEAT, NOT_RECEIVED = Step::NOT_RECEIVED,
		   LEAVE = Step::LEAVE, TICK = Step::TICK;
	const Scenario scenarios[] = {
		{ "never heard, not expected",
		  false,
		  { { 100, TICK, MEMBER_UNKNOWN } } },
		{ "never heard though expected",
		  true,
		  { { 3, TICK, MEMBER_UNKNOWN },
		    { 4, TICK, MEMBER_SUSPECT },
		    { 23, TICK, MEMBER_SUSPECT },
		    { 24, TICK, MEMBER_GONE } } },
		{ "three late heartbeats",
		  true,
		  { { 1, BEAT, MEMBER_ALIVE },
		    { 4, TICK, MEMBER_ALIVE },
		    { 5, TICK, MEMBER_SUSPECT },
		    { 6, BEAT, MEMBER_ALIVE } } },
		{ "silent for long",
		  true,
		  { { 1, BEAT, MEMBER_ALIVE },
		    { 5, TICK, MEMBER_SUSPECT },
		    { 25, TICK, MEMBER_GONE },
		    { 500, TICK, MEMBER_GONE },
		    { 501, BEAT, MEMBER_ALIVE } } },
		{ "does not hear us",
		  true,
		  { { 1, BEAT, MEMBER_ALIVE },
		    { 2, NOT_RECEIVED, MEMBER_ALIVE },
		    { 3, NOT_RECEIVED, MEMBER_ALIVE },
		    { 4, NOT_RECEIVED, MEMBER_ALIVE },
		    { 5, NOT_RECEIVED, MEMBER_ALIVE },
		    { 6, NOT_RECEIVED, MEMBER_SUSPECT },
		    { 30, NOT_RECEIVED, MEMBER_SUSPECT },
		    { 31, BEAT, MEMBER_ALIVE } } },
		{ "leaves and falls silent",
		  true,
		  { { 1, BEAT, MEMBER_ALIVE },
		    { 2, LEAVE, MEMBER_LEAVING },
		    { 3, BEAT, MEMBER_LEAVING },
		    { 7, TICK, MEMBER_GONE } } },
		{ "is not asked any longer",
		  false,
		  { { 1, BEAT, MEMBER_ALIVE }, { 5, TICK, MEMBER_UNKNOWN } } },
	};

	for (const Scenario &scenario : scenarios)
		run_scenario(scenario);
}

TEST(MemberHealth, TellsOldIncarnationsFromNew)
{
	const auto BEAT = Step::BEAT, OLD = Step::OLD, LEAVE = Step::LEAVE,
		   TICK = Step::TICK;
	struct member_health health;
	Currant__Heartbeat heartbeat = CURRANT__HEARTBEAT__INIT;

	run_scenario({ "a new one takes over a leaving one's place",
		       true,
		       { { 1, OLD, MEMBER_ALIVE },
			 { 2, LEAVE, MEMBER_LEAVING },
			 { 3, OLD, MEMBER_LEAVING } } });
	run_scenario({ "an old one alone takes over again",
		       true,
		       { { 1, OLD, MEMBER_ALIVE },
			 { 2, BEAT, MEMBER_ALIVE },
			 { 6, TICK, MEMBER_SUSPECT },
			 { 7, OLD, MEMBER_ALIVE } } });
	member_health_init(&health, period_ns);
	heartbeat.hears_receiver = 1;
	EXPECT_TRUE(member_health_on_heartbeat(&health, 1, &heartbeat, 0));
	EXPECT_TRUE(member_health_on_heartbeat(&health, 2, &heartbeat, 10));
	/* A late message of the old one, even leaving, changes nothing. */
	heartbeat.leaving = 1;
	EXPECT_FALSE(member_health_on_heartbeat(&health, 1, &heartbeat, 20));
	EXPECT_EQ(MEMBER_ALIVE, health.state);
	EXPECT_EQ(2u, health.incarnation);
	EXPECT_EQ(10, health.last_seen_ns);
}

TEST(MemberHealth, DampsFlapping)
{
	struct member_health health;
	Currant__Heartbeat heartbeat = CURRANT__HEARTBEAT__INIT;
	int64_t now = 0;
	int changes = 0;
	enum member_state last = MEMBER_UNKNOWN;

	/* Heartbeats for five periods, none for five, a hundred times. */
	member_health_init(&health, period_ns);
	member_health_expect(&health, 1, 0);
	heartbeat.hears_receiver = 1;
	for (int i = 0; i < 1000; i++, now += period_ns) {
		if (i / 5 % 2)
			member_health_tick(&health, now);
		else
			member_health_on_heartbeat(&health, 1, &heartbeat, now);
		changes += health.state != last;
		last = health.state;
	}
	/* Without damping the state would change 200 times. */
	EXPECT_LE(changes, 40);
	EXPECT_GE(changes, 4);
	EXPECT_EQ(MEMBER_SUSPECT, health.state);
	/* A stable member becomes alive and its flap count drops to 0. */
	for (int i = 0; i < 500; i++, now += period_ns)
		member_health_on_heartbeat(&health, 1, &heartbeat, now);
	EXPECT_EQ(MEMBER_ALIVE, health.state);
	EXPECT_EQ(0u, health.flaps);
}

TEST(Overlay, ChoosesRelaysThatAgreeFromBothEnds)
{
	Cluster cluster(12, 4);
	std::set<std::pair<std::string, std::string>> chosen;

	for (auto &node : cluster.nodes)
		for (const std::string &other : node->chosen(0))
			chosen.insert({ node->name, other });
	for (const auto &pair : chosen)
		EXPECT_TRUE(chosen.count({ pair.second, pair.first }))
			<< pair.first << " " << pair.second;
	/* Each pair of data centres has two times two connections. */
	std::map<std::string, int> between;
	for (const auto &pair : chosen) {
		std::string a = cluster.data_centre_of(pair.first);
		std::string b = cluster.data_centre_of(pair.second);
		between[a + ">" + b]++;
	}
	for (const auto &entry : between)
		EXPECT_TRUE(entry.second == 4 || entry.second == 6)
			<< entry.first;
	EXPECT_EQ(16u, between.size());
}

TEST(Membership, PassesOverAnOlderListForAWhile)
{
	struct membership *m = membership_new("e0", period_ns);
	struct host hosts[2] = {};
	struct host_list list = {};
	struct member *view;
	struct {
		uint64_t generation;
		uint32_t count;
		int64_t at_periods;
		uint32_t members;
	} cases[] = {
		{ 5, 2, 0, 1 },	 { 4, 0, 1, 1 },  { 6, 1, 2, 0 },
		{ 5, 2, 10, 0 }, { 1, 2, 70, 1 },
	};

	list.hosts = hosts;
	snprintf(hosts[0].name, NAME_BYTES, "e0");
	snprintf(hosts[1].name, NAME_BYTES, "e1");
	for (const auto &c : cases) {
		list.generation = c.generation;
		list.host_count = c.count;
		membership_set_list(m, &list, c.at_periods * period_ns);
		EXPECT_EQ(c.members, membership_view(m, &view)) << c.generation;
		free(view);
	}
	membership_free(m);
}

TEST(Membership, ConfirmedListKeepsOlderOnesOut)
{
	struct membership *m = membership_new("e0", period_ns);
	struct host_list list = {};
	struct {
		bool confirm;
		uint64_t generation;
		int64_t at_periods;
		int result;
	} cases[] = {
		{ false, 5, 0, 0 },   { true, 5, 50, 0 },
		{ true, 4, 51, -1 },  { false, 4, 70, -1 },
		{ true, 5, 109, 0 },  { false, 4, 168, -1 },
		{ false, 4, 169, 0 }, { true, 5, 170, -1 },
	};

	for (const auto &c : cases) {
		int64_t at_ns = c.at_periods * period_ns;

		SCOPED_TRACE(c.at_periods);
		list.generation = c.generation;
		EXPECT_EQ(c.result,
			  c.confirm ? membership_confirm_list(m, c.generation,
							      at_ns)
				    : membership_set_list(m, &list, at_ns));
	}
	membership_free(m);
}

TEST(Membership, OwnPauseBlamesNobody)
{
	Cluster cluster(3, 1);

	cluster.run(20);
	EXPECT_EQ(MEMBER_ALIVE, cluster.nodes[0]->state_of("e1"));
	cluster.now_ns += 100 * cluster.heartbeat_ns;
	cluster.nodes[0]->beat(cluster.now_ns);
	EXPECT_EQ(MEMBER_ALIVE, cluster.nodes[0]->state_of("e1"));
	for (int i = 0; i < 5; i++)
		cluster.nodes[0]->beat(cluster.now_ns += cluster.heartbeat_ns);
	EXPECT_EQ(MEMBER_SUSPECT, cluster.nodes[0]->state_of("e1"));
}

/* Summaries of remote data centres arrive, and no member becomes suspect. */
TEST(Membership, SumsUpDataCentres)
{
	Cluster cluster(12, 4);

	cluster.run(60);
	for (auto &node : cluster.nodes) {
		EXPECT_EQ(4u, node->data_centres(cluster.now_ns).size());
		for (const auto &sum : node->data_centres(cluster.now_ns)) {
			EXPECT_EQ(3u, sum.daemons) << sum.data_centre;
			EXPECT_EQ(30u, sum.request_capacity);
			EXPECT_EQ(7u, sum.log_head);
		}
		EXPECT_EQ(0u, node->count_in(MEMBER_SUSPECT));
		EXPECT_EQ(0u, node->count_in(MEMBER_GONE));
	}
}

struct Cost {
	double messages_per_s, bytes_per_s, most_bytes_per_s;
	size_t most_peers;
};

/* Messages and bytes that a daemon sends and receives for heartbeats. */
static Cost measure(uint32_t hosts, uint32_t data_centres)
{
	Cluster cluster(hosts, data_centres);
	Cost cost = {};

	cluster.run(32);
	for (auto &node : cluster.nodes)
		node->messages = node->bytes = 0;
	cluster.run(64);
	double seconds = 64.0 * cluster.heartbeat_ns / NS_PER_S;
	for (auto &node : cluster.nodes) {
		double bytes = node->bytes / seconds;

		cost.messages_per_s += node->messages / seconds / hosts;
		cost.bytes_per_s += bytes / hosts;
		cost.most_bytes_per_s = std::max(cost.most_bytes_per_s, bytes);
		cost.most_peers = std::max(cost.most_peers,
					   node->chosen(cluster.now_ns).size());
	}
	printf("heartbeats of %u daemons in %u data centres, a daemon: "
	       "%.1f messages/s and %.0f bytes/s in and out, "
	       "at most %.0f bytes/s and %zu peers\n",
	       hosts, data_centres, cost.messages_per_s, cost.bytes_per_s,
	       cost.most_bytes_per_s, cost.most_peers);
	return cost;
}

TEST(Membership, CostIsBoundedAtTheTargetSize)
{
	Cost small = measure(12, 4);
	Cost target = measure(350, 32);

	EXPECT_LT(small.most_bytes_per_s, 8 * 1024);
	EXPECT_LT(target.most_bytes_per_s, 8 * 1024);
	EXPECT_LE(target.most_peers, 10u + 2 * 31u);
}
