// A planned stop cuts no request: callers that ask for addresses, keep the
// answers and use every address of them see no failure while each daemon in
// turn is stopped and started. A leaving backend server gets nothing new.
#include <gtest/gtest.h>

#include <jansson.h>

#include <mutex>
#include <random>
#include <thread>

#include "t/lib-rig.h"

static const int caller_count = 12;
static const int64_t leaving_limit_ms = 3000;

// A caller that does as docs/api.md says. It never asks a daemon that no
// answer named, but for the first time.
class Caller
{
      public:
	Caller(const Ask &request, const char *class_, std::string first,
	       uint32_t seed)
	    : request_(request), class_(class_), addresses_({ first }),
	      rng_(seed)
	{
		thread_ = std::thread([this] { run(); });
	}

	~Caller()
	{
		end();
	}

	void end()
	{
		ended_ = true;
		if (thread_.joinable())
			thread_.join();
	}

	uint64_t answered() const
	{
		return answered_;
	}

	uint64_t failed() const
	{
		return failed_;
	}

	std::string first_failure()
	{
		std::lock_guard<std::mutex> hold(lock_);

		return first_failure_;
	}

      private:
	void note(const std::string &what)
	{
		std::lock_guard<std::mutex> hold(lock_);

		failed_++;
		if (first_failure_.empty())
			first_failure_ = what;
	}

	bool take(const std::string &body)
	{
		json_t *root = json_loads(body.c_str(), 0, nullptr);
		std::vector<std::string> got;
		size_t i;
		json_t *one;

		json_array_foreach (json_object_get(root, "addresses"), i, one)
			got.push_back(json_string_value(
				json_object_get(one, "address")));
		until_ms_ =
			steady_now_ms() +
			json_integer_value(json_object_get(root, "keep_ms"));
		json_decref(root);
		if (!got.empty())
			addresses_ = got;
		return !got.empty();
	}

	void refresh()
	{
		std::string last;

		for (const std::string &address : addresses_) {
			Ask call;

			call.address = address;
			call.path =
				std::string("/v1/addresses?class=") + class_;
			Reply reply = ask(call);
			if (reply.status == 200 && take(reply.body))
				return;
			last += address + ": " + std::to_string(reply.status) +
				" " + reply.body + "; ";
		}
		note("no address: " + last);
	}

	void run()
	{
		while (!ended_) {
			if (steady_now_ms() >= until_ms_)
				refresh();
			// Any of the addresses, so that old ones are used.
			Ask call = request_;
			call.address = addresses_[rng_() % addresses_.size()];
			Reply reply = ask(call);
			if (reply.status == 200 && reply.whole)
				answered_++;
			else
				note(call.address + ": " +
				     std::to_string(reply.status) + " " +
				     reply.body);
		}
	}

	Ask request_;
	const char *class_;
	std::vector<std::string> addresses_;
	std::mt19937 rng_;
	int64_t until_ms_ = 0;
	std::atomic<bool> ended_{ false };
	std::atomic<uint64_t> answered_{ 0 };
	std::atomic<uint64_t> failed_{ 0 };
	std::mutex lock_;
	std::string first_failure_;
	std::thread thread_;
};

class ProofStop : public ::testing::Test
{
      protected:
	ProofStop()
	    : rig({ 3,
		    ",\"heartbeat_ms\":100,\"address_ttl_ms\":1000,\"drain_ms\":20000,"
		    "\"batch\":{\"threads\":64},"
		    "\"latency\":{\"threads\":64}" }),
	      service("service", { "--name", "echo-1", "--work-ms", "5" }),
	      leaving("service", { "--name", "echo-2", "--work-ms", "5" }),
	      engine("engine", { "--name", "engine-1", "--capacity", "64",
				 "--token-us", "500" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		const std::vector<std::string> changes = {
			"create team red",
			"create route rollout pool scenario-lm",
			"create route echo kind service class latency pool "
			"echoes path /echo open true repeatable true",
		};
		ASSERT_TRUE(rig.apply(changes));
		std::string secret = rig.grant("k1", "red");
		rig.put_backend("engine-1", "engine", "scenario-lm",
				engine.address());
		rig.put_backend("echo-1", "service", "echoes",
				service.address());
		rig.put_backend("echo-2", "service", "echoes",
				leaving.address());
		ASSERT_TRUE(rig.wait_shown("show keys", "k1"));
		for (const char *name : { "engine-1", "echo-1", "echo-2" })
			ASSERT_TRUE(rig.wait_server(name));
		echo.path = "/echo/x";
		rollout.method = "POST";
		rollout.path = "/v1/completions";
		rollout.body = "{\"model\":\"rollout\",\"prompt\":\"a\","
			       "\"max_tokens\":64}";
		rollout.headers = { "Authorization: Bearer " + secret };
	}

	void start_callers()
	{
		for (int i = 0; i < caller_count; i++) {
			const RigDaemon &first = *rig.daemons[i % 3];
			bool batch = i % 2;

			callers.push_back(std::make_unique<Caller>(
				batch ? rollout : echo,
				batch ? "batch" : "latency",
				batch ? first.batch : first.latency,
				(uint32_t)i));
		}
		ASSERT_TRUE(all_answered_more(10));
	}

	// Waits until each caller has got so many answers more.
	bool all_answered_more(uint64_t count)
	{
		std::vector<uint64_t> wanted;

		for (auto &caller : callers)
			wanted.push_back(caller->answered() + count);
		return wait_until(RIG_LIMIT_MS, [&] {
			for (size_t i = 0; i < callers.size(); i++)
				if (callers[i]->answered() < wanted[i])
					return false;
			return true;
		});
	}

	uint64_t end_callers(uint64_t *answered)
	{
		uint64_t failed = 0;

		*answered = 0;
		for (auto &caller : callers) {
			caller->end();
			failed += caller->failed();
			*answered += caller->answered();
			if (caller->failed() && first_failure.empty())
				first_failure = caller->first_failure();
		}
		return failed;
	}

	bool alive_everywhere(const std::string &name)
	{
		return rig.wait_shown("show hosts where name = " + name +
					      " and state = alive",
				      "\"" + name + "\"");
	}

	Rig rig;
	Standin service;
	Standin leaving;
	Standin engine;
	Ask echo;
	Ask rollout;
	std::vector<std::unique_ptr<Caller>> callers;
	std::string first_failure;
};

TEST_F(ProofStop, EachDaemonInTurnUnderLoad)
{
	uint64_t answered;
	int64_t longest_ms = 0;

	for (int i = 0; i < 3; i++)
		ASSERT_TRUE(alive_everywhere(rig.daemons[i]->name));
	start_callers();
	for (int i = 0; i < 3; i++) {
		int64_t begin_ms = steady_now_ms();

		EXPECT_EQ(0, rig.daemons[i]->process.stop(RIG_LIMIT_MS))
			<< rig.daemon_log(i);
		longest_ms = std::max(longest_ms, steady_now_ms() - begin_ms);
		EXPECT_TRUE(all_answered_more(10));
		ASSERT_TRUE(rig.start_daemon(i));
		ASSERT_TRUE(rig.wait_ready(i));
		ASSERT_TRUE(alive_everywhere(rig.daemons[i]->name));
		EXPECT_TRUE(all_answered_more(10));
	}
	uint64_t failed = end_callers(&answered);
	printf("%d callers: %d answers, %d failures, longest stop %d ms\n",
	       caller_count, (int)answered, (int)failed, (int)longest_ms);
	EXPECT_EQ(0u, failed) << first_failure << rig.daemon_log(0)
			      << rig.daemon_log(1) << rig.daemon_log(2);
}

// The check can fail: a daemon that is killed is counted by its callers.
TEST_F(ProofStop, KilledDaemonIsCounted)
{
	uint64_t answered;

	for (int i = 0; i < 3; i++)
		ASSERT_TRUE(alive_everywhere(rig.daemons[i]->name));
	start_callers();
	rig.daemons[1]->process.kill();
	EXPECT_TRUE(all_answered_more(10));
	EXPECT_GT(end_callers(&answered), 0u);
}

static uint64_t total(const Standin &service)
{
	return json_number_field(
		http_get(service.address(), "/standin/total").body, "total");
}

TEST_F(ProofStop, LeavingServerGetsNothingNew)
{
	for (bool by_delete : { false, true }) {
		uint64_t answered;
		uint64_t before;
		uint64_t last = 0;
		int64_t last_ms = 0;

		if (by_delete) {
			rig.put_backend("echo-2", "service", "echoes",
					leaving.address());
			ASSERT_TRUE(rig.wait_server("echo-2"));
		}
		callers.clear();
		start_callers();
		// While it is there it gets calls: the check can fail.
		before = total(leaving);
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			return total(leaving) > before + 10;
		}));
		int64_t begin_ms = steady_now_ms();
		if (by_delete)
			rig.remove_host("echo-2");
		else
			rig.put_backend("echo-2", "service", "echoes",
					leaving.address(), "leaving");
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			uint64_t now = total(leaving);

			if (now != last)
				last_ms = steady_now_ms() - begin_ms;
			last = now;
			return steady_now_ms() - begin_ms >= leaving_limit_ms;
		}));
		before = total(leaving);
		EXPECT_TRUE(all_answered_more(50));
		EXPECT_EQ(before, total(leaving));
		uint64_t failed = end_callers(&answered);
		printf("%s: last call %d ms after, %d answers, %d failures\n",
		       by_delete ? "removed" : "leaving", (int)last_ms,
		       (int)answered, (int)failed);
		EXPECT_EQ(0u, failed) << first_failure;
	}
}
