// Promise: each daemon distinguishes reachable from unreachable members despite
// late lists, one-way network failures, flapping, restarts at the same address
// and partitions between whole data centres.
#include <gtest/gtest.h>

#include "t/lib-entry-host.h"
#include "t/lib-membership.h"
#include "t/lib-process.h"

/* Which messages are delivered, and the resulting states at both ends. */
TEST(ProofMembership, CutsBetweenTwoOfOneDataCentre)
{
	const struct {
		const char *name;
		bool a_to_b, b_to_a;
		enum member_state b_seen_by_a, a_seen_by_b;
	} cases[] = {
		{ "none", true, true, MEMBER_ALIVE, MEMBER_ALIVE },
		{ "both directions", false, false, MEMBER_SUSPECT,
		  MEMBER_SUSPECT },
		{ "a does not reach b", false, true, MEMBER_SUSPECT,
		  MEMBER_SUSPECT },
		{ "b does not reach a", true, false, MEMBER_SUSPECT,
		  MEMBER_SUSPECT },
	};

	for (const auto &c : cases) {
		Cluster cluster(4, 1);

		cluster.run(20);
		cluster.passes = [&](const ClusterNode &from,
				     const ClusterNode &to) {
			if (from.name == "e0" && to.name == "e1")
				return c.a_to_b;
			if (from.name == "e1" && to.name == "e0")
				return c.b_to_a;
			return true;
		};
		cluster.run(10);
		EXPECT_EQ(c.b_seen_by_a, cluster.nodes[0]->state_of("e1"))
			<< c.name;
		EXPECT_EQ(c.a_seen_by_b, cluster.nodes[1]->state_of("e0"))
			<< c.name;
		EXPECT_EQ(MEMBER_ALIVE, cluster.nodes[0]->state_of("e2"))
			<< c.name;
		EXPECT_EQ(MEMBER_ALIVE, cluster.nodes[2]->state_of("e1"))
			<< c.name;
	}
}

/* With hears_receiver always set, one end does not detect the failure. */
TEST(ProofMembership, WithoutTheWordOnHearingACutGoesUnseen)
{
	Cluster cluster(4, 1);

	cluster.claims_reception = true;
	cluster.run(20);
	cluster.passes = [](const ClusterNode &from, const ClusterNode &to) {
		return from.name != "e0" || to.name != "e1";
	};
	cluster.run(10);
	EXPECT_EQ(MEMBER_SUSPECT, cluster.nodes[1]->state_of("e0"));
	EXPECT_EQ(MEMBER_ALIVE, cluster.nodes[0]->state_of("e1"));
}

/* Two listed members stop; all others detect it within 5 periods. */
TEST(ProofMembership, DeadOnesOnALateList)
{
	Cluster cluster(12, 1);

	cluster.run(20);
	cluster.nodes[3]->stopped = cluster.nodes[7]->stopped = true;
	cluster.run(5);
	for (auto &node : cluster.nodes) {
		if (node->stopped)
			continue;
		EXPECT_EQ(MEMBER_SUSPECT, node->state_of("e3"));
		EXPECT_EQ(MEMBER_SUSPECT, node->state_of("e7"));
		EXPECT_EQ(9u, node->count_in(MEMBER_ALIVE));
	}
	cluster.run(25);
	EXPECT_EQ(MEMBER_GONE, cluster.nodes[0]->state_of("e3"));
}

/* Two regions are partitioned for four minutes and then reconnect. */
TEST(ProofMembership, RegionsLoseEachOther)
{
	Cluster cluster(48, 8);

	cluster.run(40);
	cluster.passes = [](const ClusterNode &from, const ClusterNode &to) {
		return (from.data_centre < "dc4") == (to.data_centre < "dc4");
	};
	cluster.run(480);
	for (auto &node : cluster.nodes) {
		struct reach reach;

		membership_reach(node->membership, cluster.now_ns, &reach);
		EXPECT_EQ(47u, reach.listed);
		EXPECT_EQ(23u, reach.reachable) << node->name;
		EXPECT_EQ(4u, node->data_centres(cluster.now_ns).size());
	}
	cluster.passes = [](const ClusterNode &, const ClusterNode &) {
		return true;
	};
	cluster.run(24);
	for (auto &node : cluster.nodes) {
		struct reach reach;

		membership_reach(node->membership, cluster.now_ns, &reach);
		EXPECT_EQ(47u, reach.reachable) << node->name;
	}
}

/* Over TCP: a replaced daemon is detected at the same address. */
TEST(ProofMembership, ANewIncarnationAtTheSameAddress)
{
	auto hosts = start_hosts(4, 1);
	std::string name = hosts[2]->name;
	uint16_t port = hosts[2]->port();
	const auto sees = [&](uint64_t incarnation, enum member_state state) {
		for (auto &host : hosts)
			if (host && (host->state_of(name) != state ||
				     host->incarnation_of(name) != incarnation))
				return false;
		return true;
	};

	ASSERT_TRUE(
		wait_until(20000, [&] { return all_hosts_connected(hosts); }));
	for (uint64_t incarnation = 100; incarnation < 103; incarnation++) {
		std::vector<struct host> list = list_of(hosts);

		hosts[2].reset();
		hosts[2] = std::make_unique<EntryHost>(name, "dc0", port,
						       incarnation);
		hosts[2]->start(list);
		std::unique_ptr<EntryHost> restarted = std::move(hosts[2]);
		EXPECT_TRUE(wait_until(20000, [&] {
			return sees(incarnation, MEMBER_ALIVE);
		})) << incarnation;
		hosts[2] = std::move(restarted);
	}
	ASSERT_TRUE(
		wait_until(20000, [&] { return all_hosts_connected(hosts); }));
	hosts[2].reset();
	EXPECT_TRUE(
		wait_until(20000, [&] { return sees(102, MEMBER_SUSPECT); }));
}
