// Servers that send an unlimited number of bytes that never form an answer.
// Each attempt must end in time and count as failed, use bounded memory, and
// not affect other requests.
#include <gtest/gtest.h>

#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "lib-batch-host.h"
#include "lib-listener.h"

namespace
{

// Answers each request with `prefix`, then repeats `unit` until the peer
// closes.
class EndlessServer
{
      public:
	EndlessServer(const std::string &prefix, const std::string &unit)
	    : prefix_(prefix)
	{
		while (unit_.size() < 16384)
			unit_ += unit;
		listener_ = listen_on_loopback(16, &port_);
		thread_ = std::thread([this] { serve(); });
	}

	~EndlessServer()
	{
		shutdown(listener_, SHUT_RDWR);
		thread_.join();
		close(listener_);
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	std::atomic<uint64_t> sent{ 0 };
	std::atomic<int> closed{ 0 }; // connections, by the peer

      private:
	void serve()
	{
		int fd;

		while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
			char request[65536];

			if (recv(fd, request, sizeof(request), 0) > 0 &&
			    write_all(fd, prefix_))
				while (write_all(fd, unit_))
					sent += unit_.size();
			closed++;
			close(fd);
		}
	}

	static bool write_all(int fd, const std::string &bytes)
	{
		size_t at = 0;

		while (at < bytes.size()) {
			ssize_t len = send(fd, bytes.data() + at,
					   bytes.size() - at, MSG_NOSIGNAL);

			if (len <= 0)
				return false;
			at += (size_t)len;
		}
		return true;
	}

	std::string prefix_, unit_;
	int listener_, port_;
	std::thread thread_;
};

struct EndlessCase {
	const char *name;
	std::string prefix, unit;
	bool is_stopped_early; // by a size limit, not only by a timeout
};

const std::string plain_head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id1\r\n"
			       "X-Response-Stamp: s\r\n";
const std::string chunked = plain_head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string events = plain_head + "Content-Type: text/event-stream\r\n"
					"X-Weight-Versions: 1\r\n\r\n";

const EndlessCase cases[] = {
	{ "no HTTP at all", "", "hello ", true },
	{ "line ends", "", "\r\n", true },
	{ "interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n", true },
	{ "answers to other requests", "",
	  "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
	  "X-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
	  true },
	{ "the body of another answer",
	  "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n"
	  "X-Response-Stamp: s\r\n\r\n",
	  "x", true },
	{ "a status line", "HTTP/1.1 200 ", "OK", true },
	{ "header lines", plain_head, "A: b\r\n", true },
	{ "a header value", plain_head + "A: ", "b", true },
	{ "a chunk's size", chunked, "0", true },
	{ "a chunk's extension", chunked + "5;", "x", true },
	{ "extensions of tiny chunks", chunked,
	  "1;" + std::string(1000, 'x') + "\r\ny\r\n", true },
	{ "trailers", chunked + "2\r\nok\r\n0\r\n", "T: r\r\n", true },
	{ "the body of a refusal",
	  "HTTP/1.1 503 Full\r\nX-Attempt-Id: id1\r\nX-Not-Run: 1\r\n\r\n", "x",
	  true },
	{ "a body without a length", plain_head + "\r\n", "x", false },
	{ "an event", events + "id: 1\ndata: ", "x", false },
	{ "comments", events, ": x\n\n", false },
	{ "bytes behind a whole answer",
	  plain_head + "Content-Length: 2\r\n\r\nok", "x", true },
};

// Bytes allocated on the heap.
int64_t heap_bytes()
{
	struct mallinfo2 info = mallinfo2();

	return (int64_t)(info.uordblks + info.hblkhd);
}

const int64_t MEMORY_BOUND_BYTES = 4 * 1024 * 1024;

} // namespace

// Single requests by the callers' port. An unlimited body is forwarded as it
// arrives until the route's timeout.
TEST(Endless, AnswersToSingleRequestsAreLeft)
{
	for (const EndlessCase &c : cases) {
		SCOPED_TRACE(c.name);
		TestReactor loop;
		FakeTopics topics(&loop.reactor.timers);
		BatchHost host(&loop, &topics, "a");
		EndlessServer server(c.prefix, c.unit);
		int64_t before, after;
		int64_t began_ns;

		host.configure();
		put_server(&host.fleet, 1, "e", server.address(), "s");
		host.wait_ready();
		before = heap_bytes();
		began_ns = reactor_now_ns(&loop.reactor);
		RawCaller caller(host.port());
		caller.send("POST /i/x HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
			    "X-Attempt-Id: id1\r\nX-Deadline-Ms: 800\r\n"
			    "Content-Length: 0\r\n\r\n");
		EXPECT_TRUE(loop.run_until([&] { return server.closed > 0; },
					   3000));
		EXPECT_LT(reactor_now_ns(&loop.reactor) - began_ns,
			  1500 * NS_PER_MS);
		if (c.is_stopped_early) {
			EXPECT_LT((int64_t)server.sent, 8 * MEMORY_BOUND_BYTES);
		}
		/* The caller receives an answer or a closed connection. */
		EXPECT_TRUE(loop.run_until(
			[&] {
				return http_is_whole(caller.received()) ||
				       caller.is_closed();
			},
			3000));
		after = heap_bytes() - (int64_t)caller.received().capacity();
		EXPECT_LT(after, before + MEMORY_BOUND_BYTES);
	}
}

// Batch items; the item is then retried at another engine.
TEST(Endless, AnswersToItemsAreLeft)
{
	for (const EndlessCase &c : cases) {
		SCOPED_TRACE(c.name);
		TestReactor loop;
		FakeTopics topics(&loop.reactor.timers);
		BatchHost host(&loop, &topics, "a");
		EndlessServer server(c.prefix, c.unit);
		Submission submission;
		ReadAnswer answer;
		int64_t before;

		topics.log()->max_record_bytes = 65536;
		topics.log()->max_append_bytes = 1000000;
		submission.groups = submission.group_size = 1;
		host.configure();
		put_server(&host.fleet, 1, "e", server.address(), "s", "m");
		host.wait_ready();
		ASSERT_EQ(202, host.submit(submission));
		before = heap_bytes();
		EXPECT_TRUE(loop.run_until([&] { return server.closed > 0; },
					   5000));
		EXPECT_LT(heap_bytes(), before + MEMORY_BOUND_BYTES);
		/* A working engine completes the item. */
		FakeServer working(&loop, "f", [](const ServerSaw &) {
			ServerReply r;

			r.stream = true;
			return r;
		});
		working.join(&host.fleet, "s", "m");
		ASSERT_TRUE(host.read_all(submission, &answer, 20000));
		EXPECT_EQ("complete", answer.results[0].state);
		EXPECT_EQ(fake_text(submission.item(0), 3),
			  answer.results[0].text);
	}
}
