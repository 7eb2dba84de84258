// Guarantee: a request that crashes each backend server that runs it
// crashes at most two before all daemons reject it; harmless requests are never
// rejected; losing a whole data centre at once makes no request suspect.
#include <gtest/gtest.h>

#include "t/lib-blame.h"

static int most_crashed(const BlameWorld &world)
{
	int most = 0;

	for (const auto &entry : world.servers_crashed)
		most = entry.second > most ? entry.second : most;
	return most;
}

/*
 * Seeds 101 to 140: three requests that crash servers, sent again by their
 * callers to any of three daemons for two minutes.
 */
TEST(ProofBlame, CulpritsHarmTwoServersEach)
{
	for (uint64_t seed = 101; seed <= 140; seed++) {
		BlameWorld world({ seed, 3, false, true, 3 });

		world.run(1200);
		EXPECT_EQ(3u, world.servers_crashed.size()) << seed;
		EXPECT_LE(most_crashed(world), 2) << seed;
		EXPECT_EQ(0, world.harmless_rejected) << seed;
	}
}

/* Without blame the same requests crash many more servers. */
TEST(ProofBlame, WithoutBlameTheyHarmManyMore)
{
	for (uint64_t seed = 101; seed <= 140; seed++) {
		BlameWorld world({ seed, 3, false, false, 3 });

		world.run(1200);
		EXPECT_GT(most_crashed(world), 10) << seed;
	}
}

/*
 * Seeds 141 to 180: as above, and data centres are evicted. A loss in an
 * eviction does not count as a crash, so each eviction may clear a culprit's
 * crash and let it crash one more server; harmless requests are never rejected.
 */
TEST(ProofBlame, EvictionsBesideCulpritsBlameNoInnocent)
{
	for (uint64_t seed = 141; seed <= 180; seed++) {
		const int evictions = 6;
		BlameWorld world({ seed, 3, true, true, 3 });

		world.run(200 * evictions);
		EXPECT_LE(most_crashed(world), 2 + evictions) << seed;
		EXPECT_GT(world.culprits_rejected, 0) << seed;
		EXPECT_EQ(0, world.harmless_rejected) << seed;
	}
}
