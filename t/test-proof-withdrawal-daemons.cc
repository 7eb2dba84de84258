// Promise: a withdrawn key stops working within 2 s on every daemon, while
// the log is down, also for the request that runs. Separate processes.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "t/lib-rig.h"

static const int limit_ms = 2000;

class ProofWithdrawalDaemons : public ::testing::Test
{
      protected:
	ProofWithdrawalDaemons()
	    : rig({ 3, "", true }),
	      service("service", { "--name", "council-1" }),
	      engine("engine", { "--name", "engine-1", "--token-us", "100000" })
	{
	}

	// Applies the configuration; every daemon serves the key after it.
	void configure()
	{
		const std::vector<std::string> statements = {
			"create team red",
			"create route status kind service class latency pool "
			"council-api path /status open false repeatable true "
			"methods get",
			"create route rollout pool scenario-lm deadline_ms "
			"60000",
		};

		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		rig.put_backend("council-1", "service", "council-api",
				service.address());
		rig.put_backend("engine-1", "engine", "scenario-lm",
				engine.address());
		ASSERT_TRUE(rig.apply(statements));
		secret = rig.grant("red-1", "red");
		ASSERT_NE("", secret);
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS,
				       [&] { return serving() == 3; }));
	}

	Reply status(size_t daemon)
	{
		Ask call;

		call.address = rig.daemons[daemon]->latency;
		call.path = "/status/e39";
		call.headers = { "Authorization: Bearer " + secret };
		return ask(call);
	}

	Reply complete(size_t daemon, int tokens = 200)
	{
		Ask call;

		call.method = "POST";
		call.address = rig.daemons[daemon]->batch;
		call.path = "/v1/completions";
		call.body = "{\"model\": \"rollout\", \"prompt\": \"ice\", "
			    "\"max_tokens\": " +
			    std::to_string(tokens) + "}";
		call.headers = { "Authorization: Bearer " + secret };
		call.timeout_ms = 60000;
		return ask(call);
	}

	int serving()
	{
		int count = 0;

		for (size_t i = 0; i < rig.daemons.size(); i++)
			count += status(i).status == 200;
		return count;
	}

	int refusing()
	{
		int count = 0;

		for (size_t i = 0; i < rig.daemons.size(); i++)
			count += status(i).status == 401;
		return count;
	}

	Rig rig;
	Standin service, engine;
	std::string secret;
};

TEST_F(ProofWithdrawalDaemons, WorksWhileTheLogIsDown)
{
	Reply running, withdrawn;
	std::chrono::steady_clock::time_point cut_at;

	configure();
	/* The daemon knows the engine, too, before the log goes. */
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS,
			       [&] { return complete(2, 1).status == 200; }));
	rig.log.faults("{\"down\": true}");
	std::thread caller([&] {
		running = complete(2);
		cut_at = std::chrono::steady_clock::now();
	});
	EXPECT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		return http_get(engine.address(), "/v1/load")
			       .body.find("\"running\":1") != std::string::npos;
	}));
	auto start = std::chrono::steady_clock::now();
	std::thread operator_(
		[&] { withdrawn = rig.state("withdraw key red-1"); });
	EXPECT_TRUE(wait_until(limit_ms, [&] { return refusing() == 3; }));
	auto took = std::chrono::steady_clock::now() - start;
	operator_.join();
	caller.join();
	printf("refused by 3 daemons after %ld ms, the running request was "
	       "cut after %ld ms\n",
	       std::chrono::duration_cast<std::chrono::milliseconds>(took)
		       .count(),
	       std::chrono::duration_cast<std::chrono::milliseconds>(cut_at -
								     start)
		       .count());
	EXPECT_LT(cut_at - start, std::chrono::milliseconds(limit_ms));
	EXPECT_NE(200, running.status) << running.body;
	EXPECT_NE(std::string::npos, running.body.find("key_withdrawn"))
		<< running.body;
	/* It is not final, and says so. */
	EXPECT_EQ(503, withdrawn.status) << withdrawn.body;
	EXPECT_NE(std::string::npos, withdrawn.body.find("denied_not_final"))
		<< withdrawn.body;
}

/* The daemon that took it dies at once; another one appends it later. */
TEST_F(ProofWithdrawalDaemons, BecomesFinalWithoutTheDaemonThatTookIt)
{
	configure();
	rig.log.faults("{\"down\": true}");
	std::thread operator_([&] { rig.state("withdraw key red-1"); });
	EXPECT_TRUE(wait_until(limit_ms, [&] { return refusing() == 3; }));
	rig.daemons[0]->process.kill();
	operator_.join();
	rig.log.faults("{}");
	/* Nobody asks again, and the log comes to hold it all the same. */
	EXPECT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		return rig.state("show keys where withdrawn = true", 1)
			       .body.find("red-1") != std::string::npos;
	}));
	EXPECT_EQ(401, status(1).status);
	EXPECT_EQ(401, status(2).status);
}

/*
 * With the log down, a daemon goes on as long as it hears the others, stops
 * keyed routes when it hears nobody, and goes on once it hears them again.
 */
TEST_F(ProofWithdrawalDaemons, AnIsolatedDaemonStops)
{
	configure();
	rig.log.faults("{\"down\": true}");
	rig.daemons[1]->process.pause();
	rig.daemons[2]->process.pause();
	EXPECT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		Reply answer = status(0);

		return answer.status == 503 &&
		       answer.body.find("isolated") != std::string::npos;
	}));
	rig.daemons[1]->process.resume();
	rig.daemons[2]->process.resume();
	EXPECT_TRUE(wait_until(RIG_LIMIT_MS, [&] { return serving() == 3; }));
	EXPECT_EQ(503, rig.state("create team blue").status);
}
