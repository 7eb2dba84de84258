// A withdrawn key stops working within two seconds, for connected callers
// too and while the log is down; backend servers never see a key; a request
// runs only for the team of its key.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <future>
#include <mutex>
#include <thread>

#include "t/lib-listener.h"
#include "t/lib-rig.h"

static const int64_t withdrawal_limit_ms = 2000;

// A request that reaches it is recorded and refused.
class Recorder
{
      public:
	Recorder()
	{
		listener_ = listen_on_loopback(16, &port_);
		thread_ = std::thread([this] { serve(); });
	}

	~Recorder()
	{
		shutdown(listener_, SHUT_RDWR);
		thread_.join();
		close(listener_);
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	std::string recorded()
	{
		std::lock_guard<std::mutex> hold(lock_);

		return recorded_;
	}

      private:
	static const size_t drain_bytes = 65536;

	void serve()
	{
		int fd;

		while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
			answer(fd);
			close(fd);
		}
	}

	static bool is_whole(const std::string &text)
	{
		size_t head = text.find("\r\n\r\n");
		size_t at = text.find("Content-Length: ");

		if (head == std::string::npos)
			return false;
		return at == std::string::npos ||
		       text.size() >=
			       head + 4 + std::stoul(text.substr(at + 16));
	}

	void answer(int fd)
	{
		static const char refusal[] =
			"HTTP/1.1 400 X\r\nContent-Length: 2\r\n"
			"Connection: close\r\n\r\n{}";
		std::string text;
		char buffer[drain_bytes];
		ssize_t got;

		while (!is_whole(text) &&
		       (got = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			text.append(buffer, (size_t)got);
		{
			std::lock_guard<std::mutex> hold(lock_);

			recorded_ += text;
		}
		// Whoever has the answer may ask what is recorded.
		send(fd, refusal, sizeof(refusal) - 1, MSG_NOSIGNAL);
	}

	std::mutex lock_;
	std::string recorded_;
	int listener_;
	int port_;
	std::thread thread_;
};

class ProofKeys : public ::testing::Test
{
      protected:
	ProofKeys()
	    : rig({ 3, "" }), service("service"),
	      engine("engine", { "--name", "engine-1", "--token-us", "20000",
				 "--capacity", "64" })
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		const std::vector<std::string> changes = {
			"create team red-team",
			"create team blue-team",
			"create route rollout pool scenario-lm",
			"create route recorded pool recorded-lm",
			"create route echo kind service class latency pool "
			"echoes path /echo repeatable true",
			"create route blue kind service class latency pool "
			"echoes path /blue team blue-team repeatable true",
		};
		ASSERT_TRUE(rig.apply(changes));
		red = rig.grant("red-key", "red-team");
		blue = rig.grant("blue-key", "blue-team");
		ASSERT_NE("", red);
		ASSERT_NE("", blue);
		rig.put_backend("echo-1", "service", "echoes",
				service.address());
		rig.put_backend("engine-1", "engine", "scenario-lm",
				engine.address());
		ASSERT_TRUE(rig.wait_shown("show keys", "blue-key"));
		ASSERT_TRUE(rig.wait_server("echo-1"));
		ASSERT_TRUE(rig.wait_server("engine-1"));
	}

	Ask rollout(int index, const std::string &secret, bool stream)
	{
		Ask call;

		call.method = "POST";
		call.address = rig.daemons[index]->batch;
		call.path = "/v1/completions";
		call.body = std::string("{\"model\":\"rollout\",\"prompt\":"
					"\"a b\",\"max_tokens\":2000,"
					"\"stream\":") +
			    (stream ? "true}" : "false}");
		call.headers = { "Authorization: Bearer " + secret };
		return call;
	}

	Ask service_call(int index, const std::string &path,
			 const std::string &secret)
	{
		Ask call;

		call.address = rig.daemons[index]->latency;
		call.path = path;
		if (!secret.empty())
			call.headers = { "Authorization: Bearer " + secret };
		return call;
	}

	int status_of(int index, const std::string &path,
		      const std::string &secret)
	{
		return ask(service_call(index, path, secret)).status;
	}

	// A daemon that did not run for over a second refuses all keys until
	// it hears the log or a peer again; such a call is made again.
	Reply ask_unless_isolated(const Ask &call)
	{
		Reply reply;

		wait_until(RIG_LIMIT_MS, [&] {
			reply = ask(call);
			return reply.type() != "isolated";
		});
		return reply;
	}

	void withdraw_and_judge();

	Rig rig;
	Standin service;
	Standin engine;
	std::string red;
	std::string blue;
};

struct Running {
	std::future<std::pair<Reply, int64_t>> reply; // and when it ended
	std::atomic<size_t> received{ 0 };
};

static void launch(Running *running, Ask call)
{
	call.received = &running->received;
	running->reply = std::async(std::launch::async, [call] {
		Reply reply = ask(call);
		return std::make_pair(reply, steady_now_ms());
	});
}

// Every daemon has a streaming and a waiting caller of the key, and a
// streaming one of another key, which goes on.
void ProofKeys::withdraw_and_judge()
{
	Running streams[3];
	Running waiting[3];
	Running others[3];
	int64_t worst_ms = 0;

	for (int i = 0; i < 3; i++) {
		launch(&streams[i], rollout(i, red, true));
		launch(&waiting[i], rollout(i, red, false));
		launch(&others[i], rollout(i, blue, true));
	}
	for (int i = 0; i < 3; i++)
		ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			return streams[i].received && others[i].received &&
			       status_of(i, "/echo", red) == 200;
		}));
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		return json_number_field(
			       http_get(engine.address(), "/v1/load").body,
			       "running") == 9;
	}));

	int64_t begin_ms = steady_now_ms();
	auto statement = std::async(std::launch::async, [this] {
		return rig.state("withdraw key red-key");
	});
	for (int i = 0; i < 3; i++) {
		auto stream = streams[i].reply.get();
		auto whole = waiting[i].reply.get();

		EXPECT_FALSE(stream.first.whole);
		EXPECT_EQ(std::string::npos, stream.first.body.find("[DONE]"));
		EXPECT_EQ(401, whole.first.status) << whole.first.body;
		EXPECT_EQ("key_withdrawn", whole.first.type());
		worst_ms = std::max({ worst_ms, stream.second - begin_ms,
				      whole.second - begin_ms });
		EXPECT_EQ(401, status_of(i, "/echo", red));
		EXPECT_EQ(200, status_of(i, "/echo", blue));
	}
	int64_t refused_ms = steady_now_ms() - begin_ms;
	for (Running &other : others) {
		size_t before = other.received;

		EXPECT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
			return other.received > before;
		})) << "a stream of another key was cut";
	}
	RecordProperty("cut_ms", (int)worst_ms);
	printf("cut %d ms, refused everywhere %d ms after the statement\n",
	       (int)worst_ms, (int)refused_ms);
	EXPECT_LT(worst_ms, withdrawal_limit_ms);
	EXPECT_LT(refused_ms, withdrawal_limit_ms);
	for (int i = 0; i < 3; i++)
		rig.daemons[i]->process.kill();
	statement.wait();
}

TEST_F(ProofKeys, WithdrawalCutsCallersOfEveryDaemon)
{
	withdraw_and_judge();
}

TEST_F(ProofKeys, WithdrawalCutsCallersWhileTheLogIsDown)
{
	rig.log.faults("{\"down\":true}");
	withdraw_and_judge();
}

TEST_F(ProofKeys, AnotherTeamsKeyIsRefused)
{
	const struct {
		const char *name;
		std::string secret;
		int status;
	} cases[] = {
		{ "the team's key", blue, 200 },
		{ "another team's key", red, 403 },
		{ "no key", "", 401 },
		{ "a secret that is too long", red + "0", 401 },
		{ "no secret", "cr_blue-key_", 401 },
	};

	for (int i = 0; i < 3; i++)
		for (const auto &c : cases) {
			Reply reply = ask_unless_isolated(
				service_call(i, "/blue", c.secret));

			EXPECT_EQ(c.status, reply.status)
				<< c.name << ", " << reply.body;
		}
	// Only what was allowed has run.
	EXPECT_EQ(3u,
		  json_number_field(
			  http_get(service.address(), "/standin/total").body,
			  "total"));
}

TEST_F(ProofKeys, ServiceSeesNoKey)
{
	Ask call;

	call.method = "POST";
	call.address = rig.daemons[0]->latency;
	call.path = "/echo/a";
	call.body = "{}";
	call.headers = { "Authorization: Bearer " + red, "Currant-Ticket: t",
			 "X-Own: 1", "Cookie: c=1" };
	Reply passed = ask_unless_isolated(call);
	ASSERT_EQ(200, passed.status) << passed.body;
	// The check can fail: sent straight there, the service names it.
	call.address = service.address();
	Reply direct = ask(call);
	for (const char *name :
	     { "Authorization", "Currant-Ticket", "X-Own", "Cookie" }) {
		EXPECT_EQ(std::string::npos, passed.body.find(name));
		EXPECT_NE(std::string::npos, direct.body.find(name));
	}
	EXPECT_EQ(std::string::npos, passed.body.find(red));
}

TEST_F(ProofKeys, EngineSeesNothingOfTheCaller)
{
	Recorder recorder;
	Ask call = rollout(0, red, false);

	rig.put_backend("recorder", "engine", "recorded-lm",
			recorder.address());
	call.body = "{\"model\":\"recorded\",\"prompt\":\"well-known\","
		    "\"user\":\"caller-name\",\"max_tokens\":4,"
		    "\"currant\":{\"trainer\":\"trainer-name\",\"step\":1,"
		    "\"group\":2}}";
	call.headers.push_back("Cookie: caller-cookie");
	ASSERT_TRUE(wait_until(RIG_LIMIT_MS, [&] {
		ask(call);
		return recorder.recorded().find("well-known") !=
		       std::string::npos;
	}));
	std::string got = recorder.recorded();
	for (const std::string &word :
	     { red, std::string("red-key"), std::string("red-team"),
	       std::string("uthorization"), std::string("caller-name"),
	       std::string("caller-cookie"), std::string("trainer-name") })
		EXPECT_EQ(std::string::npos, got.find(word)) << word;
	// The check can fail: sent straight there, it is recorded.
	call.address = recorder.address();
	ask(call);
	EXPECT_NE(std::string::npos, recorder.recorded().find(red));
}
