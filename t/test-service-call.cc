// Calls to plain services.
#include <gtest/gtest.h>

#include <atomic>
#include <cstring>
#include <string>
#include <thread>

extern "C" {
#include "request/service_call.h"
}

static const struct problem withdrawn = {
	403, "key_withdrawn", "the key was withdrawn", RUN_NOT_RUN, 0,
};

// The withdrawal of a key cancelled a call while the thread that ran it read
// the flag without the lock: a data race under the thread sanitizer, and a
// problem that could be read half written.
TEST(ServiceCall, IsCancelledWhileItRuns)
{
	struct server_table servers;
	struct clock clock;
	struct job_env env = {};
	struct route route = {};

	server_table_init(&servers, 1);
	system_clock_init(&clock);
	env.servers = &servers;
	env.clock = &clock;
	route.deadline_ms = 1000;
	strcpy(route.pool, "no-such-pool");
	for (int round = 0; round < 20; round++) {
		struct service_request request = {};
		struct service_call call;
		struct problem problem = {};
		std::atomic<bool> cancelled{ false };

		service_call_init(&call, &env, &route);
		std::thread canceller([&] {
			service_call_cancel(&call, &withdrawn);
			cancelled.store(true, std::memory_order_relaxed);
		});
		while (!cancelled.load(std::memory_order_relaxed))
			;
		EXPECT_EQ(-1, service_call_run(&call, &request, &problem));
		EXPECT_STREQ(withdrawn.type, problem.type);
		EXPECT_EQ(RUN_NOT_RUN, problem.run);
		canceller.join();
		service_call_finish(&call);
	}
	server_table_finish(&servers);
}
