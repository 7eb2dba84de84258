// A call that may not be repeated runs at most once, "not run" is true, and
// answers reach their own caller whole or not at all. Over real processes;
// the service counts the runs by Idempotency-Key.
#include <gtest/gtest.h>

#include <jansson.h>

#include <future>

#include "t/lib-rig.h"

static const char *const completion =
	"{\"model\":\"rollout\",\"prompt\":\"a b c\",\"max_tokens\":64}";
static const char *const streamed =
	"{\"model\":\"rollout\",\"prompt\":\"a b c\",\"max_tokens\":64,"
	"\"stream\":true}";

static uint64_t runs(const Standin &service, const std::string &key)
{
	return json_number_field(
		http_get(service.address(), "/standin/runs").body, key);
}

class ProofRequests : public ::testing::Test
{
      protected:
	ProofRequests()
	    : rig({ 2, "" }), service("service", { "--work-ms", "300" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		const std::vector<std::string> changes = {
			"create team red",
			"create route pay kind service class latency pool "
			"payments path /pay repeatable false deadline_ms 3000",
			"create route rollout pool scenario-lm deadline_ms "
			"10000",
		};
		ASSERT_TRUE(rig.apply(changes));
		secret = rig.grant("k1", "red");
		ASSERT_NE("", secret);
		ASSERT_TRUE(rig.wait_shown("show keys", "k1"));
		ASSERT_TRUE(rig.wait_shown("show routes", "rollout"));
		rig.put_backend("pay-1", "service", "payments",
				service.address());
		ASSERT_TRUE(rig.wait_server("pay-1"));
		ticket = rig.ticket(0);
		ASSERT_NE("", ticket);
	}

	// The ticket stays that of the first daemon, wherever it is sent.
	Reply pay(const std::string &key, int index = 0, long timeout_ms = 8000)
	{
		Ask call;

		call.method = "POST";
		call.address = rig.daemons[index]->latency;
		call.path = "/pay/x";
		call.body = "{}";
		call.timeout_ms = timeout_ms;
		call.headers = { "Authorization: Bearer " + secret,
				 "Idempotency-Key: " + key,
				 "Currant-Ticket: " + ticket };
		return ask(call);
	}

	Reply complete(const char *body)
	{
		Ask call;

		call.method = "POST";
		call.address = rig.daemons[0]->batch;
		call.path = "/v1/completions";
		call.body = body;
		call.headers = { "Authorization: Bearer " + secret };
		return ask(call);
	}

	void add_engine(const Standin &engine, const std::string &name)
	{
		rig.put_backend(name, "engine", "scenario-lm",
				engine.address());
		ASSERT_TRUE(rig.wait_server(name));
	}

	Rig rig;
	Standin service;
	std::string secret;
	std::string ticket;
};

// The check itself: a second run is seen by it.
TEST_F(ProofRequests, CheckSeesASecondRun)
{
	for (int i = 0; i < 2; i++)
		http_send("POST", service.address(), "/pay/x", "{}");
	EXPECT_EQ(2u,
		  json_number_field(
			  http_get(service.address(), "/standin/total").body,
			  "total"));
	EXPECT_EQ(200, pay("warm").status);
	EXPECT_EQ(1u, runs(service, "warm"));
	// Without the daemon's memory of keys, a caller's own resend runs.
	Ask direct;
	direct.method = "POST";
	direct.address = service.address();
	direct.path = "/pay/x";
	direct.headers = { "Idempotency-Key: twice" };
	ask(direct);
	ask(direct);
	EXPECT_EQ(2u, runs(service, "twice"));
}

TEST_F(ProofRequests, LostAnswerIsResentButNotRunAgain)
{
	// A kept connection to the service stands before the answer is lost.
	ASSERT_EQ(200, pay("warm").status);
	for (int round = 0; round < 8; round++) {
		std::string key = "lost-" + std::to_string(round);

		service.faults("{\"lose_answers\":1,\"only\":\"/pay\"}");
		Reply first = pay(key);
		EXPECT_EQ(502, first.status) << first.body;
		EXPECT_EQ("unknown", first.ran()) << first.body;
		Reply same = pay(key);
		EXPECT_EQ(409, same.status) << same.body;
		Reply other = pay(key, 1);
		EXPECT_EQ(409, other.status) << other.body;
		EXPECT_EQ("unknown", other.ran());
		EXPECT_EQ(1u, runs(service, key)) << key;
		service.faults("{}");
		ASSERT_EQ(200, pay("warm-" + key).status);
	}
}

TEST_F(ProofRequests, ResendAfterAnAnswerGetsTheSameAnswer)
{
	Reply first = pay("k");
	Reply again = pay("k");
	EXPECT_EQ(200, first.status);
	EXPECT_EQ(200, again.status);
	EXPECT_EQ(first.body, again.body);
	EXPECT_EQ(409, pay("k", 1).status);
	EXPECT_EQ(1u, runs(service, "k"));
}

TEST_F(ProofRequests, TwoResendsAtOnceRunOnce)
{
	std::vector<std::future<Reply>> replies;

	service.faults("{\"delay_ms\":100,\"only\":\"/pay\"}");
	for (int i = 0; i < 8; i++)
		replies.push_back(std::async(std::launch::async, [this, i] {
			return pay("both", i % 4 == 3);
		}));
	for (int i = 0; i < 8; i++)
		EXPECT_EQ(i % 4 == 3 ? 409 : 200, replies[i].get().status);
	EXPECT_EQ(1u, runs(service, "both"));
}

TEST_F(ProofRequests, DaemonKilledBetweenSendAndAnswer)
{
	auto first = std::async(std::launch::async,
				[this] { return pay("killed"); });
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS,
			       [this] { return runs(service, "killed") > 0; }));
	// The call is at the service, which works on it for a while yet.
	rig.daemons[0]->process.kill();
	EXPECT_EQ(0, first.get().status);
	EXPECT_EQ(409, pay("killed", 1).status);
	ASSERT_TRUE(rig.start_daemon(0));
	ASSERT_TRUE(rig.wait_ready(0));
	ASSERT_TRUE(rig.wait_server("pay-1"));
	for (int i = 0; i < 2; i++) {
		Reply again = pay("killed", i);
		EXPECT_EQ(409, again.status) << again.body;
		EXPECT_EQ("unknown", again.ran());
	}
	EXPECT_EQ(1u, runs(service, "killed"));
}

// A late answer belongs to a call that ended: nobody gets it, nothing runs
// again.
TEST_F(ProofRequests, LateAnswerReachesNobody)
{
	service.faults("{\"delay_ms\":4000,\"only\":\"/pay\"}");
	Reply late = pay("late");
	EXPECT_EQ(504, late.status) << late.body;
	EXPECT_EQ("unknown", late.ran());
	EXPECT_LT(late.took_ms, 3800);
	service.faults("{}");
	EXPECT_EQ(409, pay("late").status);
	Reply next = pay("next");
	EXPECT_EQ(200, next.status);
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS,
			       [this] { return runs(service, "late") > 0; }));
	EXPECT_EQ(1u, runs(service, "late"));
}

TEST_F(ProofRequests, NotRunIsTrue)
{
	// The service is there for the list, and refuses connections.
	service.stop();
	Reply refused = pay("refused");
	EXPECT_EQ(503, refused.status) << refused.body;
	EXPECT_EQ("not_run", refused.ran());
	EXPECT_TRUE(refused.has_retry_after());
	ASSERT_TRUE(service.restart());
	EXPECT_EQ(0u, runs(service, "refused"));
	// "Not run" lets the same key run later.
	ASSERT_TRUE(wait_until(
		RIG_LIMIT_MS, [this] { return pay("refused").status == 200; }));
	EXPECT_EQ(1u, runs(service, "refused"));

	rig.remove_host("pay-1");
	Reply gone;
	std::string key;
	int tries = 0;
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		key = "gone-" + std::to_string(tries++);
		gone = pay(key);
		return gone.status != 200;
	}));
	EXPECT_EQ(503, gone.status) << gone.body;
	EXPECT_EQ("not_run", gone.ran());
	EXPECT_TRUE(gone.has_retry_after());
	EXPECT_EQ(0u, runs(service, key));
}

static size_t served(const Standin &engine)
{
	json_t *root = json_loads(
		http_get(engine.address(), "/standin/served").body.c_str(), 0,
		nullptr);
	size_t count = json_object_size(root);

	json_decref(root);
	return count;
}

TEST_F(ProofRequests, EnginesThatRefuseRunNothing)
{
	Reply none = complete(completion);
	EXPECT_EQ(503, none.status) << none.body;
	EXPECT_EQ("not_run", none.ran());
	EXPECT_TRUE(none.has_retry_after());

	Standin engine("engine", { "--name", "engine-1" });
	add_engine(engine, "engine-1");
	engine.faults("{\"refuse\":1000,\"only\":\"/v1/completions\"}");
	Reply refused = complete(completion);
	EXPECT_EQ(503, refused.status) << refused.body;
	EXPECT_EQ("not_run", refused.ran());
	EXPECT_EQ(0u, served(engine));
}

// The engine is busy with one request; the deadline of another passes in its
// queue. Whatever the caller is told about its run must hold.
TEST_F(ProofRequests, DeadlineInTheQueueIsToldTruly)
{
	Standin engine("engine", { "--name", "engine-1", "--capacity", "1",
				   "--token-us", "20000" });

	add_engine(engine, "engine-1");
	ASSERT_EQ(200, rig.state("create route quick pool scenario-lm "
				 "deadline_ms 300")
			       .status);
	auto busy = std::async(std::launch::async,
			       [this] { return complete(completion); });
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		return json_number_field(
			       http_get(engine.address(), "/v1/load").body,
			       "running") == 1;
	}));
	Reply late = complete("{\"model\":\"quick\",\"prompt\":\"q\","
			      "\"max_tokens\":64}");
	EXPECT_EQ(504, late.status) << late.body;
	EXPECT_LT(late.took_ms, 1000);
	EXPECT_TRUE(late.has_retry_after());
	EXPECT_EQ(200, busy.get().status);
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		std::string load = http_get(engine.address(), "/v1/load").body;
		return !json_number_field(load, "running") &&
		       !json_number_field(load, "waiting");
	}));
	if (late.ran() == "not_run")
		EXPECT_EQ(1u, served(engine));
	else
		EXPECT_EQ("unknown", late.ran());
}

TEST_F(ProofRequests, CrossedAnswersReachNobody)
{
	Standin engine("engine", { "--name", "engine-1" });

	add_engine(engine, "engine-1");
	for (const char *body : { completion, streamed }) {
		Reply plain = complete(body);
		ASSERT_EQ(200, plain.status) << plain.body;
		engine.faults("{\"wrong_id\":1000}");
		Reply crossed = complete(body);
		EXPECT_NE(200, crossed.status) << crossed.body;
		EXPECT_EQ(std::string::npos, crossed.body.find("choices"));
		EXPECT_NE("not_run", crossed.ran());
		engine.faults("{}");
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			return complete(body).status == 200;
		}));
	}
}

TEST_F(ProofRequests, CutStreamIsNeverPassedOnAsWhole)
{
	Standin engine("engine", { "--name", "engine-1" });

	add_engine(engine, "engine-1");
	for (const char *body : { completion, streamed }) {
		ASSERT_EQ(200, complete(body).status);
		engine.faults("{\"cut_streams\":1000}");
		Reply cut = complete(body);
		EXPECT_EQ(std::string::npos, cut.body.find("[DONE]"));
		EXPECT_FALSE(cut.status == 200 && cut.whole) << cut.body;
		engine.faults("{}");
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			return complete(body).status == 200;
		}));
	}
}
