// With the batch port full of long rollouts, refusals come at once, and
// latency-bound routes, operators and health answer as before.
#include <gtest/gtest.h>

#include <algorithm>
#include <future>

#include "t/lib-rig.h"

static const int batch_threads = 16;
static const int admitted = batch_threads * 7 / 8;
static const int64_t answer_limit_ms = 500;
static const int samples = 40;

class ProofPoolFull : public ::testing::Test
{
      protected:
	ProofPoolFull()
	    : rig({ 1, ",\"batch\":{\"threads\":16},"
		       "\"latency\":{\"threads\":8}" }),
	      service("service"),
	      engine("engine", { "--name", "engine-1", "--token-us", "20000",
				 "--capacity", "64" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		const std::vector<std::string> changes = {
			"create team red",
			"create route rollout pool scenario-lm",
			"create route status kind service class latency pool "
			"council path /status open true repeatable true",
		};
		ASSERT_TRUE(rig.apply(changes));
		secret = rig.grant("k1", "red");
		rig.put_backend("council-1", "service", "council",
				service.address());
		rig.put_backend("engine-1", "engine", "scenario-lm",
				engine.address());
		ASSERT_TRUE(rig.wait_server("council-1"));
		ASSERT_TRUE(rig.wait_server("engine-1"));
		rollout.method = "POST";
		rollout.address = rig.daemons[0]->batch;
		rollout.path = "/v1/completions";
		rollout.body = "{\"model\":\"rollout\",\"prompt\":\"a\","
			       "\"max_tokens\":2000}";
		rollout.headers = { "Authorization: Bearer " + secret };
		status.address = rig.daemons[0]->latency;
		status.path = "/status/e39";
		health.address = rig.daemons[0]->operators;
		health.path = "/health/ready";
	}

	void fill(int count)
	{
		for (int i = 0; i < count; i++)
			running.push_back(
				std::async(std::launch::async,
					   [this] { return ask(rollout); }));
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			return json_number_field(
				       http_get(engine.address(), "/v1/load")
					       .body,
				       "running") == (uint64_t)count;
		}));
	}

	// The longest of some answers, each with this status.
	int64_t worst(const Ask &call, int wanted)
	{
		int64_t worst_ms = 0;

		for (int i = 0; i < samples; i++) {
			Reply reply = ask(call);

			EXPECT_EQ(wanted, reply.status) << reply.body;
			worst_ms = std::max(worst_ms, reply.took_ms);
		}
		return worst_ms;
	}

	Rig rig;
	Standin service;
	Standin engine;
	std::string secret;
	Ask rollout;
	Ask status;
	Ask health;
	std::vector<std::future<Reply>> running;
};

TEST_F(ProofPoolFull, RefusesAtOnceAndOtherPortsAnswer)
{
	fill(admitted);
	Reply refused = ask(rollout);
	EXPECT_EQ(503, refused.status) << refused.body;
	EXPECT_EQ("overloaded", refused.type());
	EXPECT_EQ("not_run", refused.ran());
	EXPECT_TRUE(refused.has_retry_after());

	int64_t refusal_ms = worst(rollout, 503);
	int64_t status_ms = worst(status, 200);
	int64_t health_ms = worst(health, 200);
	int64_t operator_ms = 0;
	for (int i = 0; i < samples; i++) {
		Reply reply = rig.state("show requests");

		EXPECT_EQ(200, reply.status);
		operator_ms = std::max(operator_ms, reply.took_ms);
	}
	printf("%d rollouts run; worst of %d: refusal %d ms, latency route "
	       "%d ms, health %d ms, statement %d ms\n",
	       admitted, samples, (int)refusal_ms, (int)status_ms,
	       (int)health_ms, (int)operator_ms);
	EXPECT_LT(refusal_ms, answer_limit_ms);
	EXPECT_LT(status_ms, answer_limit_ms);
	EXPECT_LT(health_ms, answer_limit_ms);
	EXPECT_LT(operator_ms, answer_limit_ms);
	// The rollouts still run: nothing answered because they had ended.
	for (std::future<Reply> &reply : running)
		EXPECT_EQ(std::future_status::timeout,
			  reply.wait_for(std::chrono::seconds(0)));
	rig.daemons[0]->process.kill();
}

// The check can fail: one rollout fewer, and the next is taken.
TEST_F(ProofPoolFull, OneFewerIsTaken)
{
	fill(admitted - 1);
	Ask next = rollout;
	/* The client may end a call up to a millisecond before its time-out. */
	next.timeout_ms = 1010;
	Reply taken = ask(next);
	EXPECT_EQ(0, taken.status) << taken.body;
	EXPECT_GE(taken.took_ms, 1000);
	rig.daemons[0]->process.kill();
}
