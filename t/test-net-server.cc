// The HTTP server: framing, limits and connections. Guards against requests
// whose framing the caller reads differently, callers that take a truncated
// answer for a complete one, and limits that are not enforced.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "lib-reactor.h"

namespace
{

// Answers each request with its method, target and body, except /hold, which
// the test answers itself.
struct EchoHandler {
	struct net_handler base;
	struct net_request_owner owner;
	struct net_request *held;
	std::vector<std::string> seen;
	std::vector<int> rejected;
	int disconnects;
	int drained;
};

EchoHandler *handler_of(struct net_handler *handler)
{
	return (EchoHandler *)handler;
}

EchoHandler *owner_of(struct net_request_owner *owner)
{
	return (EchoHandler *)((char *)owner - offsetof(EchoHandler, owner));
}

void answer_text(struct net_request *request, const std::string &text)
{
	struct net_answer answer = {};

	answer.status = 200;
	answer.body = text.data();
	answer.body_len = text.size();
	net_request_answer(request, &answer);
}

void on_request(struct net_handler *handler, struct net_request *request)
{
	EchoHandler *echo = handler_of(handler);
	std::string target = http_head_target(request->head);
	std::string text = std::string(request->head->method) + " " + target +
			   " " +
			   std::string(request->body.buf, request->body.len);

	echo->seen.push_back(text);
	if (target == "/hold") {
		request->owner = &echo->owner;
		echo->held = request;
		return;
	}
	answer_text(request, text);
}

void on_refused(struct net_handler *handler, const struct http_head *,
		uint16_t status, const char *)
{
	handler_of(handler)->rejected.push_back(status);
}

void on_gone(struct net_request_owner *owner)
{
	owner_of(owner)->disconnects++;
	owner_of(owner)->held = nullptr;
}

void on_drained(struct net_request_owner *owner)
{
	owner_of(owner)->drained++;
}

const struct net_handler_vtable handler_vtable = { on_request, on_refused };
const struct net_request_owner_vtable owner_vtable = { on_gone, on_drained };

class NetServer : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct error err = ERROR_INIT;
		struct net_limits limits = test_limits();

		echo_.base.vt = &handler_vtable;
		echo_.owner.vt = &owner_vtable;
		ASSERT_EQ(0, net_server_init(&server_, &loop_.reactor,
					     "127.0.0.1:0", &limits,
					     &echo_.base, &err))
			<< err.text;
		port_ = net_server_port(&server_);
	}

	void TearDown() override
	{
		net_server_finish(&server_);
	}

	bool until(const std::function<bool()> &condition)
	{
		return loop_.run_until(condition);
	}

	TestReactor loop_;
	EchoHandler echo_ = {};
	struct net_server server_;
	uint16_t port_;
};

size_t count(const std::string &text, const std::string &part)
{
	size_t found = 0;

	for (size_t at = 0; (at = text.find(part, at)) != std::string::npos;
	     at += part.size())
		found++;
	return found;
}

struct InputCase {
	const char *name;
	std::string bytes;
	std::vector<std::string> seen; // requests passed to the handler
	std::string status; // of the last answer; "": none
	bool closes;
};

std::string post(const std::string &fields, const std::string &body)
{
	return "POST /p HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body;
}

std::vector<InputCase> input_cases()
{
	std::string long_value(5000, 'x');
	std::string large(21000, 'y');

	return {
		{ "plain",
		  "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
		  { "GET /a?b=c " },
		  "200",
		  false },
		{ "length",
		  post("Content-Length: 3\r\n", "abc"),
		  { "POST /p abc" },
		  "200",
		  false },
		{ "chunks",
		  post("Transfer-Encoding: chunked\r\n",
		       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
		  { "POST /p abcde" },
		  "200",
		  false },
		{ "two in one packet",
		  "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		  { "GET /1 ", "GET /2 " },
		  "200",
		  false },
		{ "asked to close",
		  "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
		  { "GET /a " },
		  "200",
		  true },
		{ "no HTTP", "\x16\x03\x01 hello\r\n\r\n", {}, "400", true },
		{ "two lengths",
		  post("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"),
		  {},
		  "400",
		  true },
		{ "length beside chunks",
		  post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
		       "0\r\n\r\n"),
		  {},
		  "400",
		  true },
		{ "signed length",
		  post("Content-Length: +3\r\n", "abc"),
		  {},
		  "400",
		  true },
		{ "another coding",
		  post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
		  {},
		  "400",
		  true },
		{ "bad chunk",
		  post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"),
		  {},
		  "400",
		  true },
		{ "CONNECT",
		  "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
		  {},
		  "400",
		  true },
		{ "space before the colon",
		  "GET /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
		  {},
		  "400",
		  true },
		{ "long head",
		  "GET /a HTTP/1.1\r\nX: " + long_value + "\r\n\r\n",
		  {},
		  "431",
		  true },
		{ "long body by its length",
		  post("Content-Length: 21000\r\n", ""),
		  {},
		  "413",
		  true },
		{ "long body in chunks",
		  post("Transfer-Encoding: chunked\r\n",
		       "5208\r\n" + large + "\r\n0\r\n\r\n"),
		  {},
		  "413",
		  true },
		{ "half a head", "GET /a HTTP/1.1\r\nHos", {}, "408", true },
		{ "half a body",
		  post("Content-Length: 9\r\n", "abc"),
		  {},
		  "408",
		  true },
		{ "nothing", "", {}, "", true },
		{ "upgrade is not taken up",
		  "GET /a HTTP/1.1\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n"
		  "\r\n",
		  { "GET /a " },
		  "200",
		  false },
	};
}

} // namespace

TEST_F(NetServer, ReadsAndRefusesByTheTable)
{
	for (const InputCase &c : input_cases()) {
		SCOPED_TRACE(c.name);
		RawCaller caller(port_);
		size_t answers = c.status.empty() ? 0 : 1;

		echo_.seen.clear();
		caller.send(c.bytes);
		if (c.seen.size() > answers)
			answers = c.seen.size();
		EXPECT_TRUE(until([&] {
			return count(caller.received(), "HTTP/1.1 ") >=
				       answers &&
			       (!c.closes || caller.is_closed());
		}));
		EXPECT_EQ(c.seen, echo_.seen);
		EXPECT_EQ(answers, count(caller.received(), "HTTP/1.1 "));
		if (answers) {
			EXPECT_NE(
				std::string::npos,
				caller.received().find("HTTP/1.1 " + c.status));
		}
		EXPECT_FALSE(caller.was_reset());
	}
}

TEST_F(NetServer, ReadsOneByteAtATime)
{
	RawCaller caller(port_);

	server_.limits.head_timeout_ns = 5 * NS_PER_S;
	for (char byte : post("Content-Length: 3\r\n", "abc")) {
		caller.send(std::string(1, byte));
		loop_.run_for(1);
	}
	EXPECT_TRUE(until([&] { return !echo_.seen.empty(); }));
	EXPECT_EQ("POST /p abc", echo_.seen.at(0));
}

TEST_F(NetServer, TellsThatTheCallerIsGone)
{
	RawCaller caller(port_);

	caller.send("GET /hold HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(until([&] { return echo_.held != nullptr; }));
	caller.close();
	EXPECT_TRUE(until([&] { return echo_.disconnects == 1; }));
	EXPECT_EQ(0u, server_.connection_count);
	EXPECT_EQ(0u, server_.busy_count);
}

TEST_F(NetServer, ServesTheNextRequestOnceTheFirstIsAnswered)
{
	RawCaller caller(port_);

	caller.send("GET /hold HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(until([&] { return echo_.held != nullptr; }));
	loop_.run_for(20);
	EXPECT_EQ(1u, echo_.seen.size());
	answer_text(echo_.held, "first");
	EXPECT_TRUE(until([&] { return echo_.seen.size() == 2; }));
	EXPECT_TRUE(until([&] {
		return caller.received().find("GET /next") != std::string::npos;
	}));
}

struct StreamCase {
	const char *name;
	int64_t body_len; // -1: chunks
	bool abort;
	std::string expected;
};

TEST_F(NetServer, StreamsAnswersWholeOrCut)
{
	const StreamCase cases[] = {
		{ "chunks", -1, false,
		  "Transfer-Encoding: chunked\r\n\r\n"
		  "3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n" },
		{ "sized", 6, false, "Content-Length: 6\r\n\r\nabcdef" },
		{ "cut chunks", -1, true, "" },
	};

	for (const StreamCase &c : cases) {
		SCOPED_TRACE(c.name);
		RawCaller caller(port_);

		echo_.held = nullptr;
		caller.send("GET /hold HTTP/1.1\r\n\r\n");
		ASSERT_TRUE(until([&] { return echo_.held != nullptr; }));
		net_request_begin(echo_.held, 200, nullptr, c.body_len);
		net_request_write(echo_.held, "abc", 3);
		net_request_write(echo_.held, "def", 3);
		if (c.abort)
			net_request_abort(echo_.held);
		else
			net_request_end(echo_.held);
		EXPECT_TRUE(until([&] {
			return c.abort ? caller.is_closed()
				       : caller.received().find(c.expected) !=
						 std::string::npos;
		}));
		EXPECT_EQ(std::string::npos,
			  caller.received().find(c.abort ? "0\r\n\r\n"
							 : "Connection"));
	}
}

TEST_F(NetServer, DrainsAndClosesWhatIsIdle)
{
	RawCaller idle(port_);
	RawCaller busy(port_);

	busy.send("GET /hold HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(until([&] { return echo_.held != nullptr; }));
	net_server_drain(&server_);
	idle.send("GET /a HTTP/1.1\r\n\r\n");
	EXPECT_TRUE(until([&] { return idle.is_closed(); }));
	EXPECT_NE(std::string::npos, idle.received().find("Connection: close"));
	net_server_close_idle(&server_);
	answer_text(echo_.held, "last");
	EXPECT_TRUE(until([&] { return busy.is_closed(); }));
	EXPECT_NE(std::string::npos, busy.received().find("last"));
}

// The body that has been incomplete for longest gives way.
TEST_F(NetServer, BoundsWhatAllBodiesHold)
{
	RawCaller first(port_);
	RawCaller second(port_);
	RawCaller third(port_);
	std::string half =
		post("Content-Length: 18000\r\n", std::string(17000, 'x'));

	server_.limits.idle_timeout_ns = 30 * NS_PER_S;
	first.send(half);
	ASSERT_TRUE(until([&] { return server_.held_bytes == 17000; }));
	loop_.run_for(100);
	second.send(half);
	ASSERT_TRUE(until([&] { return server_.held_bytes == 34000; }));
	third.send(half);
	EXPECT_TRUE(until([&] { return first.is_closed(); }));
	EXPECT_EQ(0u, first.received().find("HTTP/1.1 503"));
	EXPECT_TRUE(until([&] { return server_.held_bytes == 34000; }));
	third.send(std::string(1000, 'x'));
	EXPECT_TRUE(until(
		[&] { return third.received().find("HTTP/1.1 200") == 0; }));
	EXPECT_FALSE(second.is_closed());
	EXPECT_EQ(17000u, server_.held_bytes);
}

// Many silent connections must not hide those that hold the bodies.
TEST_F(NetServer, FindsTheStoppedBodiesAmongManyConnections)
{
	std::vector<std::unique_ptr<RawCaller>> stopped, silent;
	std::string body(18000, 'x');

	server_.limits.idle_timeout_ns = 30 * NS_PER_S;
	server_.limits.max_connections = 400;
	for (int i = 0; i < 2; i++) {
		stopped.emplace_back(new RawCaller(port_));
		stopped[i]->send(post("Content-Length: 18000\r\n",
				      std::string(17000, 'x')));
	}
	ASSERT_TRUE(until([&] { return server_.held_bytes == 34000; }));
	for (int i = 0; i < 300; i++)
		silent.emplace_back(new RawCaller(port_));
	ASSERT_TRUE(until([&] { return server_.connection_count == 302; }));
	loop_.run_for(300);
	EXPECT_EQ(200, http_status(http_ask(
			       &loop_, port_,
			       post("Content-Length: 18000\r\n", body))));
}

TEST_F(NetServer, RefusesABodyIfOnlyRequestsThatWaitHoldOthers)
{
	RawCaller first(port_);
	RawCaller second(port_);
	std::string body(19000, 'x');

	first.send("POST /hold HTTP/1.1\r\nContent-Length: 19000\r\n\r\n" +
		   body);
	ASSERT_TRUE(until([&] { return echo_.held != nullptr; }));
	server_.limits.max_held_bytes = 20000;
	second.send(post("Content-Length: 19000\r\n", body));
	EXPECT_TRUE(until([&] { return second.is_closed(); }));
	EXPECT_EQ(0u, second.received().find("HTTP/1.1 503"));
	EXPECT_EQ(0, echo_.disconnects);
	EXPECT_EQ(19000u, server_.held_bytes);
}

// Silent connections fill the limit; the request that waits isn't touched.
TEST_F(NetServer, ClosesWhoIsSilentForANewCaller)
{
	std::vector<std::unique_ptr<RawCaller>> silent;
	RawCaller waiting(port_);

	waiting.send("GET /hold HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(until([&] { return echo_.held != nullptr; }));
	for (uint32_t i = 1; i < test_limits().max_connections; i++)
		silent.emplace_back(new RawCaller(port_));
	ASSERT_TRUE(until([&] {
		return server_.connection_count ==
		       test_limits().max_connections;
	}));
	EXPECT_EQ(200, http_status(http_ask(&loop_, port_,
					    "GET /a HTTP/1.1\r\n\r\n")));
	EXPECT_EQ(0, echo_.disconnects);
	EXPECT_TRUE(until([&] { return silent[0]->is_closed(); }));
	EXPECT_LE(server_.connection_count, test_limits().max_connections);
}

// Bytes behind an unanswered request must not keep timers from running.
TEST_F(NetServer, RunsTimersWhileMuchIsSentAhead)
{
	RawCaller caller(port_);
	RawCaller late(port_);

	caller.send("GET /hold HTTP/1.1\r\n\r\n" + std::string(200000, 'x'));
	late.send("GET /a HTTP/1.1\r\n");
	EXPECT_TRUE(until([&] { return late.is_closed(); }));
	EXPECT_EQ(0u, late.received().find("HTTP/1.1 408"));
}

// Callers that don't read must not fill the kernel's memory with answers.
TEST_F(NetServer, BoundsTheAnswersThatNobodyReads)
{
	const std::string target = "/" + std::string(3000, 'x');
	const size_t requests = 2000;
	RawCaller caller(port_);
	size_t sent = 0;

	server_.limits.idle_timeout_ns = 30 * NS_PER_S;
	do {
		caller.send("GET " + target + " HTTP/1.1\r\n\r\n");
		sent++;
	} while (loop_.run_until([&] { return echo_.seen.size() == sent; },
				 500) &&
		 sent < requests);
	EXPECT_LE(echo_.seen.size() * target.size(), 1000000u);
}

TEST_F(NetServer, BoundsTheMemoryOfAllConnections)
{
	RawCaller first(port_);
	RawCaller second(port_);
	std::string head = "GET /a HTTP/1.1\r\nX: " + std::string(3500, 'x');

	server_.limits.max_memory_bytes = 12000;
	first.send(head);
	ASSERT_TRUE(until([&] { return server_.memory_bytes > 8000; }));
	second.send(head);
	EXPECT_TRUE(until([&] { return first.is_closed(); }));
	EXPECT_EQ(0u, first.received().find("HTTP/1.1 503"));
	EXPECT_LE(server_.memory_bytes, 12000u);
	EXPECT_FALSE(second.is_closed());
}
