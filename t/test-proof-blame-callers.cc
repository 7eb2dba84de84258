// A request that crashes each engine that runs it crashes at most two of them
// before it is rejected, also when its caller sends it to another daemon. All
// other requests meanwhile get complete answers.
#include <gtest/gtest.h>

#include <mutex>
#include <thread>

#include "t/lib-rig.h"

static const int engine_count = 6;
static const int harmless_count = 8;
static const int crash_limit = 2;
static const int resend_limit = 12;

class ProofBlameCallers : public ::testing::Test
{
      protected:
	ProofBlameCallers() : rig({ 3, "" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		ASSERT_TRUE(rig.apply({ "create team red", "create team blue",
					"create route rollout pool scenario-lm "
					"deadline_ms 20000" }));
		red = rig.grant("red-key", "red");
		blue = rig.grant("blue-key", "blue");
		ASSERT_TRUE(rig.wait_shown("show keys", "blue-key"));
		for (int i = 0; i < engine_count; i++)
			add_engine("engine-" + std::to_string(i + 1));
		for (int i = 0; i < engine_count; i++)
			ASSERT_TRUE(rig.wait_server("engine-" +
						    std::to_string(i + 1)));
	}

	void add_engine(const std::string &name)
	{
		engines.push_back(std::make_unique<Standin>(
			"engine",
			std::vector<std::string>{ "--name", name, "--capacity",
						  "8", "--token-us", "2000",
						  "--crash-on", "poison" }));
		rig.put_backend(name, "engine", "scenario-lm",
				engines.back()->address());
	}

	Ask rollout(int index, const std::string &secret,
		    const std::string &prompt)
	{
		Ask call;

		call.method = "POST";
		call.address = rig.daemons[index]->batch;
		call.path = "/v1/completions";
		call.body = "{\"model\":\"rollout\",\"prompt\":\"" + prompt +
			    "\",\"max_tokens\":64}";
		call.headers = { "Authorization: Bearer " + secret };
		return call;
	}

	int crashed_engines()
	{
		int count = 0;

		for (auto &engine : engines)
			count += !engine->running();
		return count;
	}

	void start_harmless_requests()
	{
		for (int i = 0; i < harmless_count; i++)
			senders.emplace_back(
				[this, i] { send_until_ended(i); });
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [this] {
			return answered >= harmless_count;
		}));
	}

	void send_until_ended(int index)
	{
		for (int n = 0; !ended; n++) {
			Reply reply = ask(
				rollout(index % 3, blue,
					"innocent " + std::to_string(index) +
						" " + std::to_string(n)));

			if (reply.status == 200 && reply.whole) {
				answered++;
				continue;
			}
			std::lock_guard<std::mutex> hold(lock);
			failed++;
			if (first_failure.empty())
				first_failure = std::to_string(reply.status) +
						" " + reply.body;
		}
	}

	void end_harmless_requests()
	{
		ended = true;
		for (std::thread &sender : senders)
			sender.join();
		senders.clear();
	}

	void TearDown() override
	{
		end_harmless_requests();
		if (HasFailure())
			printf("%s", rig.timelines().c_str());
	}

	Rig rig;
	std::string red;
	std::string blue;
	std::vector<std::unique_ptr<Standin>> engines;
	std::vector<std::thread> senders;
	std::atomic<bool> ended{ false };
	std::atomic<int> answered{ 0 };
	std::atomic<int> failed{ 0 };
	std::mutex lock;
	std::string first_failure;
};

TEST_F(ProofBlameCallers, CrashingRequestHarmsAtMostTwoEngines)
{
	int64_t begin_ms = steady_now_ms();
	int64_t first_refusal_ms = 0;
	int refusals = 0;
	int sent = 0;

	start_harmless_requests();
	// Sent to one daemon after the other, as a caller that keeps retrying.
	for (; refusals < 3 && sent < resend_limit; sent++) {
		Reply reply = ask(rollout(sent % 3, red, "poison"));

		ASSERT_NE(200, reply.status);
		if (reply.status == 422) {
			EXPECT_EQ("quarantined", reply.type());
			if (!refusals++)
				first_refusal_ms = steady_now_ms() - begin_ms;
		}
		EXPECT_LE(crashed_engines(), crash_limit)
			<< "after " << sent + 1;
	}
	EXPECT_EQ(3, refusals) << rig.daemon_log(0);
	int before = answered;
	EXPECT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		return answered >= before + 5 * harmless_count;
	}));
	end_harmless_requests();
	printf("%d engines harmed, %d refusals, the first after %d ms, sent "
	       "%d times; "
	       "%d innocent answers, %d failed\n",
	       crashed_engines(), refusals, (int)first_refusal_ms, sent,
	       (int)answered, (int)failed);
	EXPECT_LE(crashed_engines(), crash_limit);
	EXPECT_EQ(0, failed) << first_failure;
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(422, ask(rollout(i, red, "poison")).status);
	EXPECT_LE(crashed_engines(), crash_limit);
}

// The daemon that quarantined the request dies: the others still reject it.
TEST_F(ProofBlameCallers, VerdictOutlivesTheDaemonThatKnew)
{
	Reply reply;

	for (int i = 0; i < resend_limit && reply.status != 422; i++)
		reply = ask(rollout(0, red, "poison"));
	EXPECT_EQ(422, reply.status) << reply.body;
	rig.daemons[0]->process.kill();
	for (int i = 1; i < 3; i++)
		EXPECT_EQ(422, ask(rollout(i, red, "poison")).status);
	EXPECT_LE(crashed_engines(), crash_limit);
	ASSERT_TRUE(rig.start_daemon(0));
	ASSERT_TRUE(rig.wait_ready(0));
	EXPECT_EQ(422, ask(rollout(0, red, "poison")).status);
	EXPECT_LE(crashed_engines(), crash_limit);
}

// Counter-check: sent directly to the engines, the request crashes each.
TEST_F(ProofBlameCallers, WithoutTheDaemonsEachEngineIsHarmed)
{
	Ask call = rollout(0, red, "poison");

	call.body = "{\"model\":\"scenario-lm\",\"prompt\":\"poison\","
		    "\"max_tokens\":4}";
	for (int i = 0; i <= crash_limit; i++) {
		call.address = engines[i]->address();
		ask(call);
		EXPECT_EQ(70, engines[i]->wait(RIG_LIMIT_MS));
	}
	EXPECT_GT(crashed_engines(), crash_limit);
}
