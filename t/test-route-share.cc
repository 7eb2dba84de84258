// Requests of one route while connections run out, without a network.
#include <gtest/gtest.h>

extern "C" {
#include "policy/route_share.h"
}

namespace
{

const struct {
	const char *name;
	uint32_t running, open, max;
	int admits;
} cases[] = {
	{ "calm", 10, 100, 1000, 1 },
	{ "one route has all the load, and there is room", 370, 749, 1000, 1 },
	{ "a route that piles up", 250, 750, 1000, 0 },
	{ "another route beside it", 5, 990, 1000, 1 },
	{ "at its share", 249, 750, 1000, 1 },
	{ "many callers without requests", 0, 1000, 1000, 1 },
	{ "a small host", 37, 113, 150, 0 },
};

TEST(RouteShare, LeavesConnectionsToOtherRoutes)
{
	for (const auto &c : cases)
		EXPECT_EQ(c.admits,
			  !route_share_is_limited(c.open, c.max) ||
				  route_share_admits(c.running, c.max))
			<< c.name;
}

} // namespace
