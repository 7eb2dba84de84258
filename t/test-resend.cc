// A persistent connection closes after the request was sent and before the
// response: which requests libcurl resends on its own, and the outcome that
// is reported.
#include <gtest/gtest.h>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <cstring>
#include <string>
#include <thread>

#include "t/lib-listener.h"
#include "t/lib-raw-server.h"

extern "C" {
#include "backend/call.h"
#include "backend/loop.h"
#include "base/clock.h"
#include "base/counter.h"
#include "client/http_call.h"
}

enum Then { KEEPS_LISTENING, STOPS_LISTENING };

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Answers the first request and keeps the connection open. Reads the whole
// second request and closes the connection; then either answers further
// requests or closes its listener as well.
class ClosingServer
{
      public:
	explicit ClosingServer(enum Then then) : then_(then)
	{
		listener_ = listen_on_loopback(8, &port_);
		EXPECT_LE(0, listener_);
		thread_ = std::thread(&ClosingServer::serve, this);
	}

	~ClosingServer()
	{
		stopping_ = true;
		thread_.join();
		if (listener_ >= 0)
			close(listener_);
	}

	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port_);
	}

	int requests() const
	{
		return requests_;
	}

      private:
	void serve()
	{
		while (!stopping_ && listener_ >= 0) {
			struct pollfd pfd = { listener_, POLLIN, 0 };

			if (poll(&pfd, 1, 20) <= 0)
				continue;
			int fd = accept(listener_, nullptr, nullptr);
			while (!stopping_ && serve_one(fd))
				;
			close(fd);
		}
	}

	// Returns false once the connection is to be closed.
	bool serve_one(int fd)
	{
		if (!read_request(fd))
			return false;
		if (++requests_ == 2) {
			if (then_ == STOPS_LISTENING) {
				close(listener_);
				listener_ = -1;
			}
			return false;
		}
		return send(fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL) > 0;
	}

	// A request ends with its head, or with the body "body".
	bool read_request(int fd)
	{
		std::string got;
		char buffer[4096];

		while (!is_complete(got)) {
			struct pollfd pfd = { fd, POLLIN, 0 };

			if (stopping_)
				return false;
			if (poll(&pfd, 1, 20) <= 0)
				continue;
			ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
			if (n <= 0)
				return false;
			got.append(buffer, (size_t)n);
		}
		return true;
	}

	static bool is_complete(const std::string &got)
	{
		size_t end = got.find("\r\n\r\n");

		return end != std::string::npos &&
		       (got.find("Content-Length: 4") == std::string::npos ||
			got.size() >= end + 8);
	}

	enum Then then_;
	int listener_;
	int port_;
	std::atomic<int> requests_{ 0 };
	std::atomic<bool> stopping_{ false };
	std::thread thread_;
};

static enum http_outcome call_external(struct http_pool *pool, const char *body)
{
	struct http_call call;

	http_call_init(&call);
	call.path = "/a";
	if (body) {
		call.method = "POST";
		call.body = body;
		call.body_len = strlen(body);
	}
	http_call_run(pool, &call, nullptr);
	http_call_finish(&call);
	return call.outcome;
}

// A call to an external system is not resent if it has a body; without a body
// it is a GET, which may be resent.
TEST(Resend, CallToAnOutsideSystem)
{
	const struct {
		const char *name;
		const char *body;
		enum Then then;
		enum http_outcome outcome;
		int requests;
	} cases[] = {
		{ "POST, server goes on", "body", KEEPS_LISTENING, HTTP_CUT,
		  2 },
		{ "POST, server is gone", "body", STOPS_LISTENING, HTTP_CUT,
		  2 },
		{ "GET, server goes on", nullptr, KEEPS_LISTENING,
		  HTTP_ANSWERED, 3 },
		{ "GET, server is gone", nullptr, STOPS_LISTENING, HTTP_CUT,
		  2 },
	};

	for (const auto &c : cases) {
		ClosingServer server(c.then);
		struct http_pool pool;

		ASSERT_EQ(0,
			  http_pool_init(&pool, server.url().c_str(), nullptr));
		EXPECT_EQ(HTTP_ANSWERED, call_external(&pool, c.body))
			<< c.name;
		EXPECT_EQ(c.outcome, call_external(&pool, c.body)) << c.name;
		EXPECT_EQ(c.requests, server.requests()) << c.name;
		http_pool_finish(&pool);
	}
}

// A call to a backend server, with what a test needs to wait for its end.
struct WaitedCall {
	struct backend_call call; // first: on_done() casts it to WaitedCall
	std::mutex lock;
	std::condition_variable changed;
	bool done = false;
};

static void on_done(struct backend_call *call)
{
	auto *waited = reinterpret_cast<WaitedCall *>(call);
	std::lock_guard<std::mutex> guard(waited->lock);

	waited->done = true;
	waited->changed.notify_all();
}

static const struct backend_call_handler handler = { nullptr, on_done };

static void call_backend(struct backend_loop *loop, const std::string &url,
			 const char *body, int run_once, WaitedCall *waited)
{
	struct backend_call *call = &waited->call;
	std::unique_lock<std::mutex> guard(waited->lock);

	backend_call_init(call, &handler);
	strcpy(call->method, body ? "POST" : "GET");
	strbuf_addstr(&call->url, url.c_str());
	if (body)
		strbuf_addstr(&call->body, body);
	call->timeout_ms = 20000;
	call->run_once = run_once;
	backend_loop_submit(loop, call);
	waited->changed.wait(guard, [&] { return waited->done; });
	backend_call_finish(call);
}

// A refused connection means that nothing was sent.
TEST(Resend, NobodyListens)
{
	struct counter_set counters;
	struct backend_loop loop;
	int port;

	close(listen_on_loopback(8, &port));
	counter_set_init(&counters);
	ASSERT_EQ(0, backend_loop_init(&loop, &counters));
	backend_loop_start(&loop);
	for (int run_once : { 0, 1 }) {
		WaitedCall call;

		call_backend(&loop, "http://127.0.0.1:" + std::to_string(port),
			     "{}", run_once, &call);
		EXPECT_EQ(CALL_NOT_SENT, call.call.outcome) << run_once;
	}
	backend_loop_finish(&loop);
	counter_set_finish(&counters);
}

// A call that was sent is never reported as CALL_NOT_SENT, even if libcurl
// resent it and the second connection was refused.
TEST(Resend, CallToABackendServer)
{
	const struct {
		const char *name;
		const char *body;
		int run_once;
		enum Then then;
		enum call_outcome outcome;
		int requests;
	} cases[] = {
		{ "once, server goes on", "body", 1, KEEPS_LISTENING, CALL_LOST,
		  2 },
		{ "once, server is gone", "body", 1, STOPS_LISTENING, CALL_LOST,
		  2 },
		{ "POST, server goes on", "body", 0, KEEPS_LISTENING, CALL_LOST,
		  2 },
		{ "POST, server is gone", "body", 0, STOPS_LISTENING, CALL_LOST,
		  2 },
		{ "GET, server goes on", nullptr, 0, KEEPS_LISTENING,
		  CALL_ANSWERED, 3 },
		{ "GET, server is gone", nullptr, 0, STOPS_LISTENING, CALL_LOST,
		  2 },
	};

	for (const auto &c : cases) {
		ClosingServer server(c.then);
		struct counter_set counters;
		struct backend_loop loop;
		WaitedCall first;
		WaitedCall second;

		counter_set_init(&counters);
		ASSERT_EQ(0, backend_loop_init(&loop, &counters));
		backend_loop_start(&loop);
		call_backend(&loop, server.url(), c.body, c.run_once, &first);
		EXPECT_EQ(CALL_ANSWERED, first.call.outcome) << c.name;
		call_backend(&loop, server.url(), c.body, c.run_once, &second);
		EXPECT_EQ(c.outcome, second.call.outcome) << c.name;
		EXPECT_EQ(c.requests, server.requests()) << c.name;
		backend_loop_finish(&loop);
		counter_set_finish(&counters);
	}
}

// A server in trouble answers with a status that no answer can have. Callers
// of plain services would get that status as their answer.
TEST(BackendAnswer, HasAStatusOfHttp)
{
	const struct {
		const char *status;
		enum call_outcome outcome;
	} cases[] = {
		{ "000", CALL_LOST },	  { "099", CALL_LOST },
		{ "200", CALL_ANSWERED }, { "599", CALL_ANSWERED },
		{ "600", CALL_LOST },	  { "999", CALL_LOST },
	};

	for (const auto &c : cases) {
		RawServer server("HTTP/1.1 " + std::string(c.status) +
				 " X\r\nContent-Length: 2\r\n\r\nok");
		struct counter_set counters;
		struct backend_loop loop;
		WaitedCall call;

		counter_set_init(&counters);
		ASSERT_EQ(0, backend_loop_init(&loop, &counters));
		backend_loop_start(&loop);
		call_backend(&loop, server.url(), "{}", 1, &call);
		EXPECT_EQ(c.outcome, call.call.outcome) << c.status;
		backend_loop_finish(&loop);
		counter_set_finish(&counters);
	}
}
