// The HTTP client: which outcome each kind of answer or failure gives, and
// which connections stay open for reuse. A wrong outcome would make callers
// retry a request that the server may have executed.
#include <gtest/gtest.h>

#include <fcntl.h>

#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "lib-listener.h"
#include "lib-reactor.h"

namespace
{

// A call and its result.
struct TestCall {
	struct net_call net;
	std::string head;
	std::string body;
	bool done;
	enum net_outcome outcome;
	int status;
	std::string skip_id; // answers with this X-Id are skipped
};

TestCall *call_of(struct net_call *net)
{
	return (TestCall *)net;
}

enum net_head_verdict on_head(struct net_call *net)
{
	TestCall *call = call_of(net);
	const char *id = http_head_find(net->answer, "X-Id");

	if (id && call->skip_id == id)
		return NET_HEAD_SKIP;
	call->status = net->answer->status;
	return NET_HEAD_ACCEPT;
}

int on_body(struct net_call *net, const char *data, size_t len)
{
	call_of(net)->body.append(data, len);
	return 0;
}

void on_done(struct net_call *net, enum net_outcome outcome)
{
	call_of(net)->done = true;
	call_of(net)->outcome = outcome;
}

const struct net_call_vtable call_vtable = { on_head, on_body, on_done };

// How a server handles one connection: an answer for each request, then how
// the connection ends.
enum End { KEEP, FINISH, RESET };

struct Script {
	std::vector<std::string> answers;
	End end;
};

// A server on the test's thread, run between turns of the loop.
class ScriptedServer
{
      public:
	explicit ScriptedServer(const std::vector<Script> &scripts)
	    : scripts_(scripts), accepted_(0)
	{
		listener_ = listen_on_loopback(16, &port_);
		fcntl(listener_, F_SETFL, O_NONBLOCK);
	}

	~ScriptedServer()
	{
		for (int fd : fds_)
			if (fd >= 0)
				::close(fd);
		::close(listener_);
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	void step()
	{
		int fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);

		if (fd >= 0) {
			fds_.push_back(fd);
			answered_.push_back(0);
			accepted_++;
		}
		for (size_t i = 0; i < fds_.size(); i++)
			serve(i);
	}

	int accepted() const
	{
		return accepted_;
	}

	// Sends unsolicited bytes on connection `i`.
	void push(size_t i, const std::string &bytes)
	{
		send(fds_[i], bytes.data(), bytes.size(), MSG_NOSIGNAL);
	}

      private:
	void serve(size_t i)
	{
		const Script &script =
			scripts_[std::min(i, scripts_.size() - 1)];
		char buffer[65536];

		if (fds_[i] < 0 || read(fds_[i], buffer, sizeof(buffer)) <= 0)
			return;
		if (answered_[i] < script.answers.size()) {
			const std::string &answer =
				script.answers[answered_[i]++];

			send(fds_[i], answer.data(), answer.size(),
			     MSG_NOSIGNAL);
		}
		if (answered_[i] >= script.answers.size() && script.end != KEEP)
			end(i, script.end);
	}

	void end(size_t i, End how)
	{
		struct linger linger = { 1, 0 };

		if (how == RESET)
			setsockopt(fds_[i], SOL_SOCKET, SO_LINGER, &linger,
				   sizeof(linger));
		::close(fds_[i]);
		fds_[i] = -1;
	}

	std::vector<Script> scripts_;
	std::vector<int> fds_;
	std::vector<size_t> answered_;
	int accepted_;
	int listener_;
	int port_;
};

std::string ok(const std::string &body, const std::string &fields = "")
{
	return "HTTP/1.1 200 OK\r\n" + fields +
	       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	       body;
}

class NetClient : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct net_pool_settings settings = test_pool_settings();

		net_pool_init(&pool_, &loop_.reactor, &settings);
	}

	void TearDown() override
	{
		net_pool_finish(&pool_);
	}

	void start(TestCall *call, const std::string &address)
	{
		address_ = address;
		call->head = "POST /x HTTP/1.1\r\nHost: h\r\n"
			     "Content-Length: 2\r\n\r\n";
		call->net.vt = &call_vtable;
		call->net.address = address_.c_str();
		call->net.head = call->head.data();
		call->net.head_len = call->head.size();
		call->net.body = "hi";
		call->net.body_len = 2;
		net_call_start(&pool_, &call->net);
	}

	bool finish(TestCall *call, ScriptedServer *server)
	{
		return loop_.run_until([&] {
			if (server)
				server->step();
			return call->done;
		});
	}

	TestReactor loop_;
	struct net_pool pool_;
	std::string address_;
};

struct OutcomeCase {
	const char *name;
	Script script;
	enum net_outcome outcome;
	int status;
	std::string body;
	uint32_t kept; // connections open after the call
};

} // namespace

TEST_F(NetClient, OutcomesByTheTable)
{
	const OutcomeCase cases[] = {
		{ "length",
		  { { ok("abc") }, KEEP },
		  NET_ANSWERED,
		  200,
		  "abc",
		  1 },
		{ "chunks",
		  { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		      "3\r\nabc\r\n0\r\n\r\n" },
		    KEEP },
		  NET_ANSWERED,
		  200,
		  "abc",
		  1 },
		{ "asked to close",
		  { { ok("abc", "Connection: close\r\n") }, KEEP },
		  NET_ANSWERED,
		  200,
		  "abc",
		  0 },
		{ "interim answer first",
		  { { "HTTP/1.1 100 Continue\r\n\r\n" + ok("abc") }, KEEP },
		  NET_ANSWERED,
		  200,
		  "abc",
		  1 },
		{ "no length, ends",
		  { { "HTTP/1.1 200 OK\r\n\r\nabc" }, FINISH },
		  NET_ANSWERED,
		  200,
		  "abc",
		  0 },
		{ "no length, reset",
		  { { "HTTP/1.1 200 OK\r\n\r\nabc" }, RESET },
		  NET_CUT,
		  200,
		  "abc",
		  0 },
		{ "cut in its length",
		  { { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" },
		    FINISH },
		  NET_CUT,
		  200,
		  "abc",
		  0 },
		{ "cut in its chunks",
		  { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		      "3\r\nabc\r\n" },
		    FINISH },
		  NET_CUT,
		  200,
		  "abc",
		  0 },
		{ "cut in its head",
		  { { "HTTP/1.1 200 OK\r\nCont" }, FINISH },
		  NET_CUT,
		  0,
		  "",
		  0 },
		{ "closed without an answer",
		  { { "" }, FINISH },
		  NET_CUT,
		  0,
		  "",
		  0 },
		{ "reset without an answer",
		  { { "" }, RESET },
		  NET_CUT,
		  0,
		  "",
		  0 },
		{ "no HTTP",
		  { { "\x01\x02garbage\r\n\r\n" }, KEEP },
		  NET_GARBLED,
		  0,
		  "",
		  0 },
		{ "status 000",
		  { { "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nno" }, KEEP },
		  NET_GARBLED,
		  0,
		  "",
		  0 },
		{ "a status of one digit",
		  { { "HTTP/1.1 0 X\r\nContent-Length: 2\r\n\r\nno" }, KEEP },
		  NET_GARBLED,
		  0,
		  "",
		  0 },
		{ "status 099 before an answer",
		  { { "HTTP/1.1 099 X\r\n\r\n" + ok("abc") }, KEEP },
		  NET_GARBLED,
		  0,
		  "",
		  0 },
		{ "the highest status",
		  { { "HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nno" }, KEEP },
		  NET_ANSWERED,
		  599,
		  "no",
		  1 },
		{ "status 600",
		  { { "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nno" }, KEEP },
		  NET_GARBLED,
		  0,
		  "",
		  0 },
		{ "status 999",
		  { { "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nno" }, KEEP },
		  NET_GARBLED,
		  0,
		  "",
		  0 },
		{ "bytes behind the answer",
		  { { ok("abc") + "HTTP/1.1 200 OK\r\n\r\n" }, KEEP },
		  NET_ANSWERED,
		  200,
		  "abc",
		  0 },
		{ "kept for no whole second",
		  { { ok("abc", "Keep-Alive: timeout=0\r\n") }, KEEP },
		  NET_ANSWERED,
		  200,
		  "abc",
		  0 },
	};

	for (const OutcomeCase &c : cases) {
		SCOPED_TRACE(c.name);
		ScriptedServer server({ c.script });
		TestCall call = {};

		start(&call, server.address());
		ASSERT_TRUE(finish(&call, &server));
		EXPECT_EQ(c.outcome, call.outcome);
		EXPECT_EQ(c.status, call.status);
		EXPECT_EQ(c.body, call.body);
		EXPECT_EQ(c.kept,
			  net_pool_open_to(&pool_, server.address().c_str()));
	}
}

TEST_F(NetClient, TellsWhatWasNotSent)
{
	int port;
	int fd = listen_on_loopback(1, &port);
	TestCall call = {};

	::close(fd);
	start(&call, "127.0.0.1:" + std::to_string(port));
	ASSERT_TRUE(finish(&call, nullptr));
	EXPECT_EQ(NET_NOT_SENT, call.outcome);
	call = {};
	start(&call, "no address");
	ASSERT_TRUE(finish(&call, nullptr));
	EXPECT_EQ(NET_NOT_SENT, call.outcome);
	EXPECT_EQ(0u, pool_.open_count);
}

TEST_F(NetClient, ReusesKeptConnectionsUnlessTheyAreIdleForTooLong)
{
	ScriptedServer server(
		{ { { ok("1"), ok("2") }, KEEP }, { { ok("3") }, KEEP } });
	TestCall first = {}, second = {}, third = {};

	start(&first, server.address());
	ASSERT_TRUE(finish(&first, &server));
	start(&second, server.address());
	EXPECT_TRUE(second.net.reused);
	ASSERT_TRUE(finish(&second, &server));
	EXPECT_EQ("2", second.body);
	loop_.run_for(5);
	third.net.max_idle_ns = 1;
	start(&third, server.address());
	EXPECT_FALSE(third.net.reused);
	ASSERT_TRUE(finish(&third, &server));
	EXPECT_EQ("3", third.body);
	EXPECT_EQ(2, server.accepted());
}

// A copy of an answer may come late, and a repeated request echoes the same id.
TEST_F(NetClient, RepeatsNoIdOnTheConnectionThatAnsweredIt)
{
	ScriptedServer server({ { { ok("1"), ok("3") }, KEEP },
				{ { ok("2"), ok("4") }, KEEP } });
	const struct {
		uint64_t id_hash;
		bool reused;
	} calls[] = { { 7, false }, { 7, false }, { 8, true } };

	for (const auto &c : calls) {
		TestCall call = {};

		call.net.id_hash = c.id_hash;
		start(&call, server.address());
		ASSERT_TRUE(finish(&call, &server));
		EXPECT_EQ(c.reused, call.net.reused != 0);
		EXPECT_EQ(NET_ANSWERED, call.outcome);
	}
	EXPECT_EQ(2, server.accepted());
}

TEST_F(NetClient, ClosesAKeptConnectionThatBringsBytes)
{
	ScriptedServer server({ { { ok("1") }, KEEP } });
	TestCall first = {};

	start(&first, server.address());
	ASSERT_TRUE(finish(&first, &server));
	EXPECT_EQ(1u, pool_.open_count);
	server.push(0, ok("late"));
	EXPECT_TRUE(loop_.run_until([&] { return pool_.open_count == 0; }));
}

TEST_F(NetClient, SkipsAnAnswerToAnotherRequest)
{
	ScriptedServer server(
		{ { { ok("other", "X-Id: 7\r\n") + ok("own", "X-Id: 8\r\n") },
		    KEEP } });
	TestCall call = {};

	call.skip_id = "7";
	start(&call, server.address());
	ASSERT_TRUE(finish(&call, &server));
	EXPECT_EQ(NET_ANSWERED, call.outcome);
	EXPECT_EQ("own", call.body);
	EXPECT_EQ(0u, pool_.open_count);
}

TEST_F(NetClient, CancelsARunningCall)
{
	ScriptedServer server({ { { "" }, KEEP } });
	TestCall call = {};

	start(&call, server.address());
	loop_.run_until([&] {
		server.step();
		return server.accepted() == 1;
	});
	net_call_cancel(&call.net);
	EXPECT_EQ(0u, pool_.open_count);
	loop_.run_for(10);
	EXPECT_FALSE(call.done);
}

// When descriptors run out, a connection that nobody uses gives way.
TEST_F(NetClient, ClosesAnIdleConnectionOnRequest)
{
	ScriptedServer server({ { { ok("abc"), ok("abc") }, KEEP } });
	TestCall call = {};

	EXPECT_EQ(0, net_pool_close_one_idle(&pool_));
	start(&call, server.address());
	EXPECT_EQ(0, net_pool_close_one_idle(&pool_)) << "it is in use";
	ASSERT_TRUE(finish(&call, &server));
	EXPECT_EQ(NET_ANSWERED, call.outcome);
	EXPECT_EQ(1, net_pool_close_one_idle(&pool_));
	EXPECT_EQ(0u, net_pool_open_to(&pool_, server.address().c_str()));
}
