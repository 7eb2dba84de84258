// Processes under test: start, address, faults, pause and end.
#include <gtest/gtest.h>

#include <signal.h>

extern "C" {
#include "base/clock.h"
#include "client/http_call.h"
}
#include "t/lib-listener.h"
#include "t/lib-process.h"

TEST(Process, EndsAndTellsItsStatus)
{
	Process process;

	ASSERT_TRUE(process.start({ "/bin/sh", "-c", "exit 7" }));
	EXPECT_EQ(7, process.wait(10000));
	EXPECT_FALSE(process.running());
	ASSERT_TRUE(process.start({ "/bin/cat", "/dev/zero" }, "/dev/null"));
	EXPECT_EQ(-1, process.wait(0));
	process.kill();
	EXPECT_EQ(128 + SIGKILL, process.wait(0));
}

TEST(Standin, EveryRoleServesAndEndsOnSigterm)
{
	static const struct {
		const char *role;
		const char *path;
	} cases[] = {
		{ "log", "/v1/read?from=0" },
		{ "hosts", "/v1/hosts" },
		{ "engine", "/v1/load" },
		{ "service", "/any/path" },
		{ "orders", "/v1/orders?data_centre=voss" },
		{ "usage", "/standin/reports" },
		{ "weights", "/v1/pools/scenario-lm/latest" },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.role);
		Standin standin(c.role);

		EXPECT_EQ(200, http_get(standin.address(), c.path).status);
		EXPECT_EQ(0, standin.stop());
	}
}

TEST(Standin, ReturnsToItsAddress)
{
	Standin standin("log");
	std::string address = standin.address();

	standin.kill();
	EXPECT_EQ(0, http_get(address, "/v1/read?from=0").status);
	EXPECT_FALSE(is_free_on_loopback(
		std::stoi(address.substr(address.find(':') + 1))));
	ASSERT_TRUE(standin.restart());
	EXPECT_EQ(address, standin.address());
	EXPECT_EQ(200, http_get(address, "/v1/read?from=0").status);
}

TEST(Standin, FaultsStrikeTheCallsThatTheyName)
{
	static const struct {
		const char *name;
		const char *faults;
		int status; // of the next two calls; 0: no answer
		int then;
	} cases[] = {
		{ "none", "{}", 200, 200 },
		{ "down", "{\"down\": true}", 503, 503 },
		{ "refused once", "{\"refuse\": 1}", 503, 200 },
		{ "answer lost once", "{\"lose_answers\": 1}", 0, 200 },
		{ "other path", "{\"down\": true, \"only\": \"/v2\"}", 200,
		  200 },
		{ "this path", "{\"down\": true, \"only\": \"/v1/h\"}", 503,
		  503 },
	};
	Standin hosts("hosts");

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		hosts.faults(c.faults);
		EXPECT_EQ(c.status,
			  http_get(hosts.address(), "/v1/hosts").status);
		EXPECT_EQ(c.then,
			  http_get(hosts.address(), "/v1/hosts").status);
	}
}

TEST(Standin, AnswersNothingWhilePaused)
{
	Standin hosts("hosts");
	struct http_pool pool;
	struct http_call call;

	http_pool_init(&pool, hosts.url().c_str(), nullptr);
	http_call_init(&call);
	call.path = "/v1/hosts";
	call.timeout_ns = 50 * NS_PER_MS;
	hosts.pause();
	EXPECT_EQ(-1, http_call_run(&pool, &call, nullptr));
	EXPECT_EQ(HTTP_CUT, call.outcome);
	hosts.resume();
	call.timeout_ns = 10 * NS_PER_S;
	EXPECT_EQ(0, http_call_run(&pool, &call, nullptr));
	EXPECT_EQ(200, call.status);
	http_call_finish(&call);
	http_pool_finish(&pool);
}
