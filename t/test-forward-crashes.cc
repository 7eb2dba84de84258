// Requests that crash backend servers, at the forwarder of one host.
#include <string>

#include "t/lib-fake-topics.h"
#include "t/lib-forward.h"

extern "C" {
#include "base/hash.h"
#include "discovery/discovery.h"
#include "forward/crash_watch.h"
}

namespace
{

// The crash watch of one host, with its discovery and topics.
struct Crashes {
	Crashes(TestReactor *loop, struct fleet *fleet,
		struct counter_set *counters)
	    : topics(&loop->reactor.timers)
	{
		struct entry_host own = {};

		discovery_init(&discovery, topics.log(), &loop->reactor.timers,
			       &own, nullptr, counters);
		crash_watch_init(&watch, &discovery, fleet,
				 &loop->reactor.clock, nullptr, counters);
	}

	~Crashes()
	{
		crash_watch_finish(&watch);
		discovery_finish(&discovery);
	}

	FakeTopics topics;
	struct discovery discovery;
	struct crash_watch watch;
};

// The crash watch's hash of a request made by Forward::request().
uint64_t hash_of(const std::string &path)
{
	uint64_t hash = hash_text(path.c_str(), hash_text("red", 0));

	return hash_bytes("body", 4, hash);
}

struct KeptCase {
	const char *name;
	const char *path;
	bool exits; // the server, and nothing listens on its port
	bool cut; // each connection; else only the kept one, not a new one
	int64_t crashes;
};

} // namespace

// A server that exits while it runs a request on a kept connection looks the
// same as one that closes an idle connection.
TEST_F(Forward, CountsServersThatEndOnKeptConnections)
{
	const KeptCase cases[] = {
		{ "ends, repeatable", "/i/bad", true, true, 1 },
		{ "ends, once", "/o/bad", true, true, 1 },
		{ "ends, a stream", "/s/bad", true, true, 1 },
		{ "ends, resumable", "/r/bad", true, true, 1 },
		{ "closes an idle one", "/i/bad", false, false, 0 },
		{ "cuts each run", "/i/bad", false, true, 1 },
	};

	configure();
	for (const KeptCase &c : cases) {
		SCOPED_TRACE(c.name);
		Crashes crashes(&loop_, &fleet_, &counters_);
		int64_t before = counter_value(crashes.watch.crashes);
		bool reached = false;
		FakeServer *server;

		forwarder_.crashes = &crashes.watch;
		remove_servers();
		server = add("a", ServerReply());
		ASSERT_EQ(200, status(ask(request("/i/good"))));
		server->behaviour = [&](const ServerSaw &) {
			bool first = !reached;

			reached = true;
			if (c.exits)
				return hang_reply();
			return c.cut || first ? cut_reply() : ServerReply();
		};
		RawCaller caller(net_server_port(&server_));

		caller.send(request(c.path));
		ASSERT_TRUE(loop_.run_until([&] { return reached; }));
		if (c.exits)
			servers_.clear();
		ASSERT_TRUE(loop_.run_until([&] {
			return http_is_whole(caller.received()) ||
			       caller.is_closed();
		}));
		EXPECT_EQ(c.crashes,
			  counter_value(crashes.watch.crashes) - before);
		forwarder_.crashes = nullptr;
	}
}

namespace
{

struct SilentCase {
	const char *name;
	const char *path;
	enum { DROPPED, RESTARTED, LEAVES, STAYS } then;
	bool answers; // the server answers the request
	int64_t crashes;
};

} // namespace

// A server that disappears from the network does not reset its connections.
TEST_F(Forward, CountsServersThatEndInSilence)
{
	const SilentCase cases[] = {
		{ "gone", "/o/bad", SilentCase::DROPPED, false, 1 },
		{ "back under its id", "/o/bad", SilentCase::RESTARTED, false,
		  1 },
		{ "leaves as planned", "/o/bad", SilentCase::LEAVES, false, 0 },
		{ "is slow", "/o/bad", SilentCase::STAYS, false, 0 },
		{ "gone later, and had answered", "/o/bad", SilentCase::DROPPED,
		  true, 0 },
	};

	configure();
	for (const SilentCase &c : cases) {
		SCOPED_TRACE(c.name);
		Crashes crashes(&loop_, &fleet_, &counters_);
		int64_t before = counter_value(crashes.watch.crashes);
		std::string id = "a" + std::to_string(&c - cases);
		FakeServer *server =
			add(id, c.answers ? ServerReply() : hang_reply());

		forwarder_.crashes = &crashes.watch;
		EXPECT_EQ(c.answers ? 200 : 504, status(ask(request(c.path))));
		if (c.then == SilentCase::LEAVES)
			server->join(&fleet_, "s", "", 1, true);
		if (c.then == SilentCase::RESTARTED)
			put_server(&fleet_, 2, id, "127.0.0.1:1", "s");
		if (c.then != SilentCase::STAYS)
			fleet_drop(&fleet_, id.c_str(), 9,
				   reactor_now_ns(&loop_.reactor));
		EXPECT_EQ(c.crashes,
			  counter_value(crashes.watch.crashes) - before);
		forwarder_.crashes = nullptr;
		fleet_drop(&fleet_, id.c_str(), 10,
			   reactor_now_ns(&loop_.reactor));
	}
}

// The id of an attempt is optional, but was copied without a check when nobody
// waited for its answer any more: a missing one ended the daemon.
TEST_F(Forward, RemembersUnansweredRequestsWithoutAnId)
{
	const struct {
		const char *name;
		bool leaves; // the caller; else the route's time is over
	} cases[] = { { "the caller leaves", true },
		      { "no answer in time", false } };

	configure();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Crashes crashes(&loop_, &fleet_, &counters_);
		std::string id = "a" + std::to_string(c.leaves);
		FakeServer *server = add(id, hang_reply());
		RawCaller caller(net_server_port(&server_));

		forwarder_.crashes = &crashes.watch;
		caller.send("POST /o/x HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
			    "X-Deadline-Ms: 300\r\nContent-Length: 0\r\n\r\n");
		ASSERT_TRUE(loop_.run_until(
			[&] { return server->seen.size() == 1; }));
		if (c.leaves)
			caller.close();
		EXPECT_TRUE(loop_.run_until(
			[&] { return server->abandoned == 1; }));
		fleet_drop(&fleet_, id.c_str(), 9,
			   reactor_now_ns(&loop_.reactor));
		EXPECT_EQ(1 + !c.leaves, counter_value(crashes.watch.crashes));
		forwarder_.crashes = nullptr;
	}
}

// Crashes at other hosts are recorded while the first attempt hangs.
TEST_F(Forward, StartsNoSecondTryOfARequestThatCrashesServers)
{
	for (bool crashed : { false, true }) {
		SCOPED_TRACE(crashed);
		Crashes crashes(&loop_, &fleet_, &counters_);
		std::string path = crashed ? "/i/bad" : "/i/slow";
		RawCaller caller(net_server_port(&server_));
		uint64_t hash = hash_of(path);
		size_t before;

		configure();
		forwarder_.crashes = &crashes.watch;
		if (servers_.empty())
			for (const char *id : { "a", "b" })
				add(id, hang_reply());
		before = (size_t)received();
		caller.send(request(path));
		ASSERT_TRUE(loop_.run_until(
			[&] { return (size_t)received() > before; }));
		for (const char *server : { "x", "y", "z" })
			if (crashed)
				crash_watch_note_crash(&crashes.watch, hash,
						       "id", server);
		ASSERT_TRUE(loop_.run_until(
			[&] { return http_is_whole(caller.received()); }));
		EXPECT_EQ(before + (crashed ? 1 : 2), (size_t)received());
		forwarder_.crashes = nullptr;
	}
}

// A partly working server answers 5xx to requests that it has not run.
TEST_F(Forward, AFailureDoesNotClearARequestThatCrashesServers)
{
	const struct {
		const char *name;
		ServerReply reply;
		bool clears;
	} cases[] = {
		{ "a success", ServerReply(), true },
		{ "a client's error", status_reply(404), true },
		{ "a failure", status_reply(500), false },
		{ "a failure at the end of its time", status_reply(504),
		  false },
		{ "a refusal", status_reply(503, true), false },
	};

	configure();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Crashes crashes(&loop_, &fleet_, &counters_);
		uint64_t hash = hash_of("/o/bad");
		struct crash_tally tally;
		bool cuts = true;

		forwarder_.crashes = &crashes.watch;
		remove_servers();
		add("a", [&](const ServerSaw &) {
			return cuts ? cut_reply() : c.reply;
		});
		ASSERT_EQ(502, status(ask(request("/o/bad"))));
		crash_board_tally(&crashes.discovery.crashes, hash,
				  wall_now_ms(), &tally);
		ASSERT_EQ(1u, crash_tally_count(&tally));
		cuts = false;
		EXPECT_EQ(c.reply.status, status(ask(request("/o/bad"))));
		crash_board_tally(&crashes.discovery.crashes, hash,
				  wall_now_ms(), &tally);
		EXPECT_EQ(c.clears ? 0u : 1u, crash_tally_count(&tally));
		forwarder_.crashes = nullptr;
	}
}

// A caller repeatedly sends a request that crashes each server.
TEST_F(Forward, RefusesARequestThatCrashesServers)
{
	Crashes crashes(&loop_, &fleet_, &counters_);
	std::string answer;
	size_t reached = 0;

	forwarder_.crashes = &crashes.watch;
	configure();
	add("a", [](const ServerSaw &saw) {
		return saw.target == "/o/bad" ? cut_reply() : ServerReply();
	});
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(502, status(ask(request("/o/bad"))));
		loop_.run_for(CRASH_DEDUP_WINDOW_MS + 50);
	}
	reached = servers_[0]->seen.size();
	EXPECT_EQ(3u, reached);
	answer = ask(request("/o/bad"));
	EXPECT_EQ(503, status(answer));
	EXPECT_NE(std::string::npos, answer.find("Retry-After: "));
	EXPECT_NE(std::string::npos, answer.find("crashes_servers"));
	EXPECT_EQ(reached, servers_[0]->seen.size());
	// The server is used again once its circuit breaker closes.
	for (int i = 0; i < 50 && status(answer) != 200; i++) {
		answer = ask(request("/o/good"));
		loop_.run_for(100);
	}
	EXPECT_EQ(200, status(answer));
	EXPECT_EQ(503, status(ask(request("/o/bad"))));
}

// Guards against the second attempt and the next callers of a request that was
// rejected, while nobody knows whether the first attempt takes down its server.
TEST_F(Forward, LetsOneAttemptThroughAfterARejection)
{
	Crashes crashes(&loop_, &fleet_, &counters_);
	RawCaller caller(net_server_port(&server_));
	int64_t over_ms = clock_wall_ms(&loop_.reactor.clock) -
			  CRASH_REFUSAL_FIRST_MS - 1000;

	configure();
	forwarder_.crashes = &crashes.watch;
	for (const char *id : { "a", "b" })
		add(id, hang_reply());
	for (uint64_t server : { 11, 12, 13 }) {
		const struct crash crash = { hash_of("/i/bad"), server,
					     over_ms };

		crash_board_add(&crashes.discovery.crashes, &crash);
	}
	caller.send(request("/i/bad"));
	ASSERT_TRUE(loop_.run_until([&] { return received() == 1; }));
	EXPECT_EQ(503, status(ask(request("/i/bad"))));
	ASSERT_TRUE(loop_.run_until(
		[&] { return http_is_whole(caller.received()); }));
	EXPECT_EQ(504, status(caller.received()));
	EXPECT_EQ(503, status(ask(request("/i/bad"))));
	EXPECT_EQ(1, received());
	forwarder_.crashes = nullptr;
}
