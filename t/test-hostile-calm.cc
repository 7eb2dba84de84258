// A single client inside the limits, alone before the daemon of a host with
// little memory. Guards against limits of memory that refuse the largest legal
// bodies and batches.
#include <gtest/gtest.h>

#include "t/lib-small-daemon.h"

namespace
{

struct HostLimits {
	int memory_mb;
	size_t max_body;
};

const HostLimits SMALL_HOST = { MEMORY_MB, MAX_BODY };

// A single request inside the limits is served in calm, on a small host, too.
TEST(CalmClient, SendsTheLargestBody)
{
	const HostLimits hosts[] = {
		{ 88, 33554432 },
		{ 112, 33554432 },
		SMALL_HOST,
	};

	for (const HostLimits &limits : hosts) {
		SCOPED_TRACE(limits.memory_mb);
		SmallDaemon daemon(limits.memory_mb, limits.max_body);
		std::string body(limits.max_body, 'z');

		ASSERT_TRUE(daemon.start_and_wait()) << daemon.last_lines();
		std::string served =
			ask_once(&daemon.loop, daemon.ip, daemon.CALLERS,
				 body_head("/i/o", body.size()) + body);

		EXPECT_EQ(200, http_status(served)) << served;
		EXPECT_TRUE(daemon.process.running()) << daemon.last_lines();
		if (MEMORY_IS_OWN) {
			EXPECT_LE(daemon.process.peak_kb(),
				  limits.memory_mb * 1024);
		}
	}
}

std::string large_batch(size_t bytes)
{
	std::string text(100000, 'A'); // base64
	std::string out = "{\"items\":[";

	for (int i = 0; out.size() + 2 * text.size() < bytes; i++)
		out += std::string(i ? "," : "") + "{\"id\":\"i" +
		       std::to_string(i) + "\",\"path\":\"/b/x\",\"body\":\"" +
		       text + "\"}";
	return out + "]}";
}

// Each host took submissions of a few megabytes only: all items went to the
// store in one call, which it refused. Small hosts refused it for their memory,
// as all items were copied once more for the store.
TEST(CalmClient, SubmitsTheLargestBatch)
{
	const HostLimits hosts[] = {
		{ 88, 33554432 },
		{ 112, 33554432 },
		{ 512, 33554432 },
		SMALL_HOST,
	};

	for (const HostLimits &limits : hosts) {
		SCOPED_TRACE(limits.memory_mb);
		SmallDaemon daemon(limits.memory_mb, limits.max_body);
		std::string body = large_batch(limits.max_body);

		ASSERT_TRUE(daemon.start_and_wait()) << daemon.last_lines();
		std::string taken =
			ask_once(&daemon.loop, daemon.ip, daemon.CALLERS,
				 body_head("/b/x", body.size()) + body);
		std::string listed =
			ask_once(&daemon.loop, daemon.ip, daemon.CALLERS,
				 head("GET", "/v1/lots/1") + "\r\n");

		EXPECT_EQ(202, http_status(taken)) << taken;
		EXPECT_EQ(200, http_status(listed)) << listed;
		EXPECT_TRUE(daemon.process.running()) << daemon.last_lines();
		if (MEMORY_IS_OWN) {
			EXPECT_LE(daemon.process.peak_kb(),
				  limits.memory_mb * 1024);
		}
		RecordProperty("peak_kb_" + std::to_string(limits.memory_mb),
			       std::to_string(daemon.process.peak_kb()));
	}
}

} // namespace
