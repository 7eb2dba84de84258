// Requests that are slow, truncated or malformed: each must be rejected or
// its connection closed in time, and the port must serve others meanwhile.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "base/rng.h"
#include "http/server.h"
}

static const uint32_t header_timeout_ms = 600;
static const uint32_t body_timeout_ms = 900;
static const uint32_t threads = 8;
static const int64_t test_timeout_ms = 20000;

static int64_t now_ms()
{
	using namespace std::chrono;

	return duration_cast<milliseconds>(
		       steady_clock::now().time_since_epoch())
		.count();
}

// Responds 200 with the body of the request.
static void echo(void *arg, struct http_exchange *exchange)
{
	(void)arg;
	http_exchange_send(exchange, 200, "text/plain", nullptr,
			   exchange->body.buf, exchange->body.len);
}

class Connection
{
      public:
	explicit Connection(uint16_t port)
	    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
	{
		struct sockaddr_in to = {};

		to.sin_family = AF_INET;
		to.sin_port = htons(port);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(0, connect(fd_, (struct sockaddr *)&to, sizeof(to)));
	}

	~Connection()
	{
		close(fd_);
	}

	bool send_bytes(const std::string &bytes)
	{
		return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
		       (ssize_t)bytes.size();
	}

	void half_close()
	{
		shutdown(fd_, SHUT_WR);
	}

	// Returns whether data or the end of the connection arrives in time.
	bool readable(int64_t wait_ms)
	{
		struct pollfd pfd = { fd_, POLLIN, 0 };

		return poll(&pfd, 1, (int)wait_ms) > 0;
	}

	// Reads until the server closes the connection.
	std::string read_to_end()
	{
		std::string out;
		char buffer[4096];
		ssize_t got = 1;

		while (got > 0 && readable(test_timeout_ms)) {
			got = recv(fd_, buffer, sizeof(buffer), 0);
			if (got > 0)
				out.append(buffer, (size_t)got);
		}
		EXPECT_LE(got, 0) << "not closed: " << out;
		return out;
	}

	// Sends one byte at a time until the server responds or closes the
	// connection. Returns the elapsed time in ms.
	int64_t trickle(char byte)
	{
		int64_t begin_ms = now_ms();

		while (now_ms() - begin_ms < test_timeout_ms && !readable(20))
			if (!send_bytes(std::string(1, byte)))
				break;
		return now_ms() - begin_ms;
	}

      private:
	int fd_;
};

class HttpServer : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct http_server_settings settings = {};
		struct error err = ERROR_INIT;

		counter_set_init(&counters);
		settings.address = "127.0.0.1:0";
		settings.threads = threads;
		settings.max_body_bytes = 1 << 20;
		settings.label = "test";
		settings.header_timeout_ms = header_timeout_ms;
		settings.body_timeout_ms = body_timeout_ms;
		ASSERT_EQ(0, http_server_start(&server, &settings, echo,
					       nullptr, &counters, &err))
			<< err.text;
		if (opens)
			http_server_open(&server);
	}

	void TearDown() override
	{
		http_server_stop(&server);
		counter_set_finish(&counters);
	}

	void expect_serving()
	{
		Connection one(server.port);

		one.send_bytes(
			"POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			"Content-Length: 2\r\n\r\nok");
		std::string got = one.read_to_end();
		EXPECT_EQ(0u, got.find("HTTP/1.1 200 ")) << got;
		EXPECT_EQ("ok", got.substr(got.size() - 2)) << got;
	}

	struct counter_set counters;
	struct http_server server = {};
	bool opens = true;
};

class HttpServerBeforeOpen : public HttpServer
{
      protected:
	HttpServerBeforeOpen()
	{
		opens = false;
	}
};

// A handler ran as soon as its own port was bound, and read the other ports of
// the daemon while they were still being set up.
TEST_F(HttpServerBeforeOpen, RequestsAreRefusedUntilAllPortsAreSetUp)
{
	Connection one(server.port);

	one.send_bytes("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	std::string got = one.read_to_end();
	EXPECT_EQ(0u, got.find("HTTP/1.1 503 ")) << got;
	EXPECT_NE(std::string::npos, got.find("Retry-After: ")) << got;
	EXPECT_NE(std::string::npos, got.find("\"starting\"")) << got;
	http_server_open(&server);
	expect_serving();
}

// Guards against requests that CivetWeb takes for itself: an open port answered
// an upgrade that it was still starting.
TEST_F(HttpServer, EveryRequestReachesTheHandlerOnceItIsOpen)
{
	const std::string own =
		"http://127.0.0.1:" + std::to_string(server.port) + "/a";
	const struct {
		const char *name;
		std::string target;
		const char *headers;
	} cases[] = {
		{ "a path", "/a", "Connection: close\r\n" },
		{ "an absolute target", own, "Connection: close\r\n" },
		{ "parent folders", "/a/../../b", "Connection: close\r\n" },
		{ "an upgrade to a websocket", "/a",
		  "Connection: Upgrade\r\nUpgrade: websocket\r\n"
		  "Sec-WebSocket-Version: 13\r\n"
		  "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" },
	};

	for (const auto &c : cases) {
		Connection one(server.port);

		one.send_bytes("GET " + c.target + " HTTP/1.1\r\nHost: h\r\n" +
			       c.headers + "\r\n");
		std::string got = one.read_to_end();
		EXPECT_EQ(0u, got.find("HTTP/1.1 200 "))
			<< c.name << ": " << got;
	}
	expect_serving();
}

// One byte every 20 ms is within the limit between two bytes; the body as a
// whole exceeds its timeout.
TEST_F(HttpServer, TrickledBodyIsRefusedInTime)
{
	const struct {
		const char *name;
		std::string framing;
		char byte;
	} cases[] = {
		{ "by length", "Content-Length: 100000\r\n\r\n", 'x' },
		{ "in a chunk", "Transfer-Encoding: chunked\r\n\r\n186A0\r\n",
		  'x' },
		{ "in the length of a chunk",
		  "Transfer-Encoding: chunked\r\n\r\n", '0' },
	};

	for (const auto &c : cases) {
		Connection slow(server.port);

		slow.send_bytes("POST / HTTP/1.1\r\nHost: h\r\n" + c.framing);
		int64_t took_ms = slow.trickle(c.byte);
		std::string got = slow.read_to_end();
		EXPECT_EQ(0u, got.find("HTTP/1.1 408 ")) << c.name << got;
		EXPECT_NE(std::string::npos, got.find("body_incomplete"));
		EXPECT_LT(took_ms, 5 * body_timeout_ms) << c.name;
		expect_serving();
	}
}

TEST_F(HttpServer, TrickledHeadIsCutInTime)
{
	const char *const heads[] = {
		"",
		"POST / HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nX: ",
	};

	for (const char *head : heads) {
		Connection slow(server.port);

		slow.send_bytes(head);
		int64_t took_ms = slow.trickle('x');
		std::string got = slow.read_to_end();
		EXPECT_EQ(0u, got.find("HTTP/1.1 400 ")) << got;
		EXPECT_NE(std::string::npos, got.find("malformed_request"));
		EXPECT_LT(took_ms, 5 * header_timeout_ms) << head;
		expect_serving();
	}
}

TEST_F(HttpServer, BrokenHeadsAreProblems)
{
	const std::string heads[] = {
		"hello\r\n\r\n",
		"GET / HTTP/7\r\n\r\n",
		"GET / HTTP/1.1 <\xff>\r\n\r\n",
		"GET / HTTP/1.1\r\nno field\r\n\r\n",
		"GET / HTTP/1.1\r\nX: " + std::string(40000, 'x') + "\r\n\r\n",
	};

	for (const std::string &head : heads) {
		Connection one(server.port);

		one.send_bytes(head);
		std::string got = one.read_to_end();
		for (const char *part :
		     { "HTTP/1.1 400 ", "application/problem+json",
		       "malformed_request", "\"ran\":\"not_run\"" })
			EXPECT_NE(std::string::npos, got.find(part)) << got;
	}
}

// As many slow senders as there are threads occupy the port until the body
// timeout and no longer.
TEST_F(HttpServer, SlowSendersDoNotHoldThePort)
{
	std::vector<std::unique_ptr<Connection>> slow;
	int64_t begin_ms = now_ms();
	int open = threads;

	for (uint32_t i = 0; i < threads; i++) {
		slow.emplace_back(new Connection(server.port));
		slow.back()->send_bytes("POST / HTTP/1.1\r\nHost: h\r\n"
					"Content-Length: 100000\r\n\r\n");
	}
	while (open && now_ms() - begin_ms < test_timeout_ms) {
		open = 0;
		for (auto &one : slow)
			open += !one->readable(2) && one->send_bytes("x");
	}
	EXPECT_EQ(0, open);
	EXPECT_LT(now_ms() - begin_ms, 5 * body_timeout_ms);
	expect_serving();
}

// A truncated body is rejected with either kind of framing.
TEST_F(HttpServer, CutBodyIsNoBody)
{
	const char *const cases[] = {
		"Content-Length: 10\r\n\r\n",
		"Content-Length: 10\r\n\r\n123456789",
		"Transfer-Encoding: chunked\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n5",
		"Transfer-Encoding: chunked\r\n\r\n5\r\n",
		"Transfer-Encoding: chunked\r\n\r\n5\r\n123",
		"Transfer-Encoding: chunked\r\n\r\n5\r\n12345",
		"Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0",
		"Transfer-Encoding: chunked\r\n\r\nzz\r\n12345\r\n0\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n-5\r\n12345\r\n0\r\n\r\n",
	};

	for (const char *framing : cases) {
		Connection cut(server.port);

		cut.send_bytes(std::string("POST / HTTP/1.1\r\nHost: h\r\n") +
			       framing);
		cut.half_close();
		std::string got = cut.read_to_end();
		EXPECT_EQ(0u, got.find("HTTP/1.1 408 ")) << framing << got;
		expect_serving();
	}
}

static std::string mutate(struct rng *rng, std::string text)
{
	static const std::string bytes("\r\n :;,0159-+xPOST/%?#\0\xff", 23);

	for (uint64_t n = 1 + rng_below(rng, 4); n; n--) {
		std::string piece(rng_below(rng, 3),
				  bytes[rng_below(rng, bytes.size())]);

		text.replace(rng_below(rng, text.size()), rng_below(rng, 6),
			     piece);
	}
	return text;
}

// Seed 21: each of 1,000 mutated requests gets an HTTP response, or its
// connection is closed.
TEST_F(HttpServer, MutatedRequestsAreAnsweredOrCut)
{
	const std::string bases[] = {
		"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
		"Authorization: Bearer cr_a_b\r\n\r\n12345",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
		"\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
		"GET /v1/addresses?class=batch HTTP/1.1\r\nHost: h\r\n\r\n",
	};
	struct rng rng;
	int served = 0;

	rng_init(&rng, 21);
	for (int i = 0; i < 1000; i++) {
		std::string text = mutate(&rng, bases[i % 3]);
		Connection one(server.port);

		one.send_bytes(text);
		one.half_close();
		std::string got = one.read_to_end();
		EXPECT_TRUE(got.empty() || got.find("HTTP/1.1 ") == 0)
			<< text << got;
		served += got.find("HTTP/1.1 200 ") == 0;
	}
	EXPECT_GT(served, 100);
	EXPECT_LT(served, 1000);
	expect_serving();
}

// Control for the tests above: a slow sender within the limits is served.
TEST_F(HttpServer, SlowSenderWithinTheLimitsIsServed)
{
	Connection slow(server.port);

	slow.send_bytes("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
	for (const char *piece : { "2\r\n", "ab", "\r\n", "1\r\nc\r\n" }) {
		EXPECT_FALSE(slow.readable(30));
		slow.send_bytes(piece);
	}
	slow.send_bytes("0\r\n\r\n");
	std::string got = slow.read_to_end();
	EXPECT_EQ(0u, got.find("HTTP/1.1 200 ")) << got;
	EXPECT_EQ("abc", got.substr(got.size() - 3)) << got;
}
