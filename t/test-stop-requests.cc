// Requests that reach a host late in its graceful stop, or still wait then.
// Guards against streams that are taken though they can't end before the stop,
// and against requests and waiting reads that are closed without an answer.
#include <gtest/gtest.h>

#include <signal.h>

#include "t/lib-batch-host.h"
#include "t/lib-entry-process.h"
#include "t/lib-hostile-crowd.h"

extern "C" {
#include "policy/stop_admission.h"
}

namespace
{

const int STOP_LIMIT_MS = 10000;

// A request on a connection of its own.
struct Asked {
	Asked(const EntryProcess &host, const std::string &text)
	    : client(host.ip, EntryProcess::CALLERS,
		     { 1, text, "", text.size(), text.size(), true })
	{
	}

	bool ended()
	{
		client.step();
		return client.is_closed() || http_is_whole(client.received());
	}

	CrowdClient client;
};

std::string post(const std::string &path, const std::string &fields = "",
		 const std::string &body = "body")
{
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n" +
	       fields + "Content-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

const char read_request[] = "GET /v1/lots/1?after=0 HTTP/1.1\r\nHost: h\r\n"
			    "X-Wait-Ms: 30000\r\n\r\n";

} // namespace

TEST(StopRequests, AreAnsweredWholeOrRefused)
{
	const struct {
		const char *name;
		std::string request;
		int after_stop_ms; // negative: it is under way by then
		int status;
		const char *part; // of the answer
		bool reaches_server;
	} cases[] = {
		{ "a stream that can't end", post("/s/late"), 1500, 503,
		  "\"ran\":\"not_run\"", false },
		{ "a request that can end", post("/i/late"), 1500, 200,
		  "Connection: close", true },
		{ "a limited wait", post("/w/late", "X-Deadline-Ms: 100\r\n"),
		  1500, 504, "timeout", true },
		{ "a request that no server answers", post("/w/early"), -1, 504,
		  "\"ran\":\"unknown\"", true },
		{ "a stream in the first half", post("/s/early"), 100, 0, "",
		  true },
		{ "a read that waits", read_request, -1, 200, "results",
		  false },
		{ "a read that comes and waits", read_request, 1500, 200,
		  "results", false },
	};
	EntryProcess host;
	std::vector<std::unique_ptr<Asked>> asked;
	int64_t stopped_ns;

	ASSERT_TRUE(host.start());
	ASSERT_TRUE(host.wait_for("event=ready")) << host.output();
	Asked batch(host, post("/b/x", "", Submission().body()));
	ASSERT_TRUE(host.loop.run_until([&] { return batch.ended(); }));
	ASSERT_EQ(202, http_status(batch.client.received()));
	for (const auto &c : cases)
		asked.emplace_back(c.after_stop_ms < 0
					   ? new Asked(host, c.request)
					   : nullptr);
	host.loop.run_until(
		[&] {
			for (auto &a : asked)
				if (a)
					a->ended();
			return !host.server.seen.empty();
		},
		EntryProcess::START_LIMIT_MS);
	host.loop.run_for(300); // the read waits, too
	host.process.signal(SIGTERM);
	stopped_ns = reactor_now_ns(&host.loop.reactor);
	host.loop.run_until(
		[&] {
			int64_t ms = (reactor_now_ns(&host.loop.reactor) -
				      stopped_ns) /
				     NS_PER_MS;

			for (size_t i = 0; i < asked.size(); i++) {
				if (!asked[i] && ms >= cases[i].after_stop_ms)
					asked[i].reset(new Asked(
						host, cases[i].request));
				if (asked[i])
					asked[i]->ended();
			}
			return !host.process.running();
		},
		STOP_LIMIT_MS);
	EXPECT_EQ(0, host.process.wait(STOP_LIMIT_MS)) << host.output();
	for (size_t i = 0; i < asked.size(); i++) {
		const auto &c = cases[i];
		const std::string path =
			c.request.substr(c.request.find(' ') + 1, 8);
		bool reached = false;

		SCOPED_TRACE(c.name);
		ASSERT_TRUE(asked[i]) << "the host had ended";
		while (!asked[i]->ended())
			;
		const std::string &answer = asked[i]->client.received();
		for (const ServerSaw &saw : host.server.seen)
			reached = reached ||
				  saw.target == path.substr(0, path.find(' '));
		EXPECT_EQ(c.reaches_server, reached);
		if (!c.status)
			continue;
		EXPECT_TRUE(http_is_whole(answer)) << answer;
		EXPECT_EQ(c.status, http_status(answer)) << answer;
		EXPECT_NE(std::string::npos, answer.find(c.part)) << answer;
		if (c.after_stop_ms >= 0) {
			EXPECT_NE(std::string::npos,
				  answer.find("Connection: close"))
				<< answer;
		}
	}
}

TEST(StopAdmission, TakesWhatEndsBeforeTheStop)
{
	const struct {
		const char *name;
		int64_t began_ms, ends_ms, now_ms, limit_ms;
		int admits;
	} cases[] = {
		{ "no stop", 0, 0, 5000, 65000, 1 },
		{ "just after the signal", 1000, 8300, 1000, 61000, 1 },
		{ "by an address that may be in use", 1000, 8300, 4000, 64000,
		  1 },
		{ "later", 1000, 8300, 4001, 64001, 0 },
		{ "later, and ends in time", 1000, 8300, 4001, 8300, 1 },
		{ "later, and ends too late", 1000, 8300, 4001, 8301, 0 },
		{ "half of a short stop", 1000, 3300, 2150, 62150, 1 },
		{ "later in a short stop", 1000, 3300, 2151, 62151, 0 },
		{ "no time at all", 1000, 800, 1000, 61000, 0 },
	};

	for (const auto &c : cases) {
		const struct stop_times stop = { c.began_ms * NS_PER_MS,
						 c.ends_ms * NS_PER_MS };

		EXPECT_EQ(c.admits, stop_admits(&stop, c.now_ms * NS_PER_MS,
						c.limit_ms * NS_PER_MS))
			<< c.name;
	}
}
