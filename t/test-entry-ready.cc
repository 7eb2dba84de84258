// What a daemon must have read before callers are sent to it.
#include <gtest/gtest.h>

#include "t/lib-entry-process.h"
#include "t/lib-hostile-crowd.h"

// Guards against a restarted daemon that is named to callers while it doesn't
// know of an evacuation: the operators' records take several pages, and the
// configuration is on the first one.
TEST(EntryReady, WaitsForAllPagesOfTheOperators)
{
	EntryProcess host;
	bool holds_back = true;
	int pages = 0;

	host.store.topics.put("keyed.op", "another", "{}");
	host.store.topics.put("keyed.op", "evacuate/z", "{}");
	host.store.topics.faults = [&](const std::string &kind,
				       const std::string &topic) {
		if (kind != "newest" || topic != "keyed.op")
			return Fault::NONE;
		return ++pages > 1 && holds_back ? Fault::SILENT : Fault::NONE;
	};
	ASSERT_TRUE(host.start());
	ASSERT_TRUE(host.loop.run_until([&] { return pages > 1; },
					EntryProcess::START_LIMIT_MS))
		<< host.output();
	host.loop.run_for(1000);
	EXPECT_FALSE(host.has_logged("event=ready")) << host.output();
	holds_back = false;
	EXPECT_TRUE(host.wait_for("event=ready")) << host.output();
	EXPECT_TRUE(host.has_logged("event=evacuation_began"));
}

// Guards against a host that opens more descriptors than new settings allow.
TEST(EntryReload, TakesOverTheLimitOfDescriptors)
{
	const std::string request = "GET /w/x HTTP/1.1\r\nHost: h\r\n\r\n";
	const CrowdScript script = {
		40, request, "", request.size(), 1000, true
	};
	EntryProcess host;

	ASSERT_TRUE(host.start());
	ASSERT_TRUE(host.wait_for("event=ready")) << host.output();
	host.write_settings(40);
	ASSERT_TRUE(host.wait_for("event=reloaded")) << host.output();
	Crowd crowd(&host.loop, host.ip, EntryProcess::CALLERS, script);
	crowd.run([] {});
	/* 40 without a fifth for files, 2 for each service port. */
	EXPECT_LE(host.server.running, 26 / 2);
	EXPECT_GE(host.server.running, 1);
}
