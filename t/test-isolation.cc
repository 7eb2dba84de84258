// When an isolated daemon stops serving routes that need a key.
#include <gtest/gtest.h>

#include "t/lib-membership.h"

extern "C" {
#include "membership/isolation.h"
}

TEST(Isolation, FollowsItsTable)
{
	const struct {
		const char *name;
		int64_t log_read_ms, peer_heard_ms;
		struct reach reach;
		const char *isolation;
		int serves;
	} cases[] = {
		{ "log read", 9000, -1, { 2, 0, 0 }, "none", 1 },
		{ "log read at the bound", 8500, -1, { 2, 0, 0 }, "none", 1 },
		{ "nothing ever", -1, -1, { 2, 0, 0 }, "cut_off", 0 },
		{ "both too old", 8499, 8499, { 2, 0, 0 }, "cut_off", 0 },
		{ "peers read the log", 1000, 9900, { 2, 1, 1 }, "fed", 1 },
		{ "log down, all heard", 0, 9900, { 2, 2, 0 }, "log_down", 1 },
		{ "log down, two of three",
		  0,
		  9900,
		  { 2, 1, 0 },
		  "log_down",
		  1 },
		{ "log down, two of four",
		  0,
		  9900,
		  { 3, 1, 0 },
		  "minority",
		  0 },
		{ "log down, a data centre of 32",
		  0,
		  9900,
		  { 349, 10, 0 },
		  "minority",
		  0 },
		{ "no other daemon", 0, -1, { 0, 0, 0 }, "log_down", 1 },
	};

	for (const auto &c : cases) {
		struct isolation_input input = {
			c.log_read_ms < 0 ? -1 : c.log_read_ms * NS_PER_MS,
			c.peer_heard_ms < 0 ? -1 : c.peer_heard_ms * NS_PER_MS,
			c.reach
		};
		enum isolation isolation = isolation_evaluate(
			&input, 1500 * NS_PER_MS, 10000 * NS_PER_MS);

		EXPECT_STREQ(c.isolation, isolation_name(isolation)) << c.name;
		EXPECT_EQ(c.serves, isolation_serves_keyed(isolation))
			<< c.name;
	}
}

static enum isolation judge(Cluster *cluster, ClusterNode *node)
{
	struct isolation_input input = {
		0, membership_last_seen_ns(node->membership), {}
	};

	membership_reach(node->membership, cluster->now_ns, &input.reach);
	return isolation_evaluate(&input, 1500 * NS_PER_MS, cluster->now_ns);
}

/* The log is down and one of four data centres is partitioned off. */
TEST(Isolation, OnlyTheLargerSideOfACutGoesOn)
{
	Cluster cluster(12, 4);

	for (auto &node : cluster.nodes)
		node->log_reachable = false;
	cluster.run(40);
	for (auto &node : cluster.nodes)
		EXPECT_EQ(ISOLATION_LOG_DOWN, judge(&cluster, node.get()))
			<< node->name;
	cluster.passes = [](const ClusterNode &a, const ClusterNode &b) {
		return (a.data_centre == "dc0") == (b.data_centre == "dc0");
	};
	/* The smaller side stops within 13 periods of 500 ms. */
	cluster.run(13);
	for (auto &node : cluster.nodes)
		EXPECT_EQ(node->data_centre == "dc0" ? ISOLATION_MINORITY
						     : ISOLATION_LOG_DOWN,
			  judge(&cluster, node.get()))
			<< node->name;
	cluster.passes = [](const ClusterNode &, const ClusterNode &) {
		return true;
	};
	/* All serve again within 20 periods after the partition. */
	cluster.run(20);
	for (auto &node : cluster.nodes)
		EXPECT_EQ(ISOLATION_LOG_DOWN, judge(&cluster, node.get()))
			<< node->name;
}

/* At the target size a majority stays reachable from every daemon. */
TEST(Isolation, ADaemonAmongManyHearsThemAll)
{
	Cluster cluster(350, 32);

	for (auto &node : cluster.nodes)
		node->log_reachable = false;
	cluster.run(20);
	for (int i = 0; i < 16; i++) {
		cluster.run(1);
		for (auto &node : cluster.nodes)
			ASSERT_EQ(ISOLATION_LOG_DOWN,
				  judge(&cluster, node.get()))
				<< node->name << " " << i;
	}
}
