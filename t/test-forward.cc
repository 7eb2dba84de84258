// Forwarding of single requests: what servers receive, what callers receive,
// and which status each kind of failure results in.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "t/lib-forward.h"

extern "C" {
#include "base/alloc.h"
}

namespace
{

struct DenyCase {
	const char *name;
	std::string path, fields;
	int status;
};

} // namespace

TEST_F(Forward, DeniesWhatTheConfigurationDoesNotAllow)
{
	const DenyCase cases[] = {
		{ "no key", "/i/x", "", 401 },
		{ "an unknown key", "/i/x", "Api-Key: k2\r\n", 401 },
		{ "no route", "/none/x", "Api-Key: k1\r\n", 404 },
		{ "no route without the slash", "/i", "Api-Key: k1\r\n", 404 },
		{ "malformed time", "/i/x",
		  "Api-Key: k1\r\nX-Wait-Ms: soon\r\n", 400 },
		{ "a public route", "/p/x", "", 200 },
		{ "a known key", "/i/x", "Api-Key: k1\r\n", 200 },
	};

	add("a", ServerReply());
	EXPECT_EQ(503, status(ask(request("/i/x")))) << "no configuration yet";
	configure();
	for (const DenyCase &c : cases) {
		SCOPED_TRACE(c.name);
		int64_t before = received();
		int got = status(ask(request(c.path, c.fields)));

		EXPECT_EQ(c.status, got);
		EXPECT_EQ(before + (c.status == 200), received());
	}
}

TEST_F(Forward, PassesRequestAndAnswerOnUnchanged)
{
	FakeServer *server = add("a", status_reply(201));
	std::string answer;

	configure();
	answer = ask(request("/i/x%20y?z=/../", "Api-Key: k1\r\n"
						"X-Tenant: forged\r\n"));
	EXPECT_EQ(201, status(answer));
	EXPECT_NE(std::string::npos, answer.find("X-Response-Stamp: a"));
	EXPECT_EQ("ok", answer.substr(answer.size() - 2));
	ASSERT_EQ(1u, server->seen.size());
	EXPECT_EQ("/i/x%20y?z=/../", server->seen[0].target);
	EXPECT_EQ("body", server->seen[0].body);
	EXPECT_EQ("red", server->seen[0].team);
	EXPECT_EQ("a", server->seen[0].instance);
	EXPECT_EQ("", server->seen[0].key);
	EXPECT_LE(atoi(server->seen[0].deadline.c_str()), 800);
	EXPECT_EQ(std::vector<std::string>{ "red" }, runs_.teams);
}

namespace
{

struct FailureCase {
	const char *name;
	const char *path;
	ServerReply first; // of the server that is tried first
	int status; // 0: the connection is closed without one
	int attempts;
};

} // namespace

// Of two servers, the one tried first fails and the other one works.
TEST_F(Forward, RepeatsWhatMayBeRepeatedAndTellsTheTruthElse)
{
	ServerReply no_receipt = ServerReply();
	ServerReply wrong_id = ServerReply();
	ServerReply other = status_reply(421);

	no_receipt.no_receipt = true;
	wrong_id.wrong_id = "another";
	other.not_run = true;
	const FailureCase cases[] = {
		{ "sound", "/i/x", ServerReply(), 200, 1 },
		{ "full", "/i/x", status_reply(503, true), 200, 2 },
		{ "full, once", "/o/x", status_reply(503, true), 200, 2 },
		{ "another server has the address, once", "/o/x", other, 200,
		  2 },
		{ "failed", "/i/x", status_reply(500), 200, 2 },
		{ "failed, once", "/o/x", status_reply(500), 500, 1 },
		{ "a client's error is the answer", "/i/x", status_reply(404),
		  404, 1 },
		{ "cut", "/i/x", cut_reply(), 200, 2 },
		{ "cut, once", "/o/x", cut_reply(), 502, 1 },
		{ "no receipt", "/i/x", no_receipt, 200, 2 },
		{ "no receipt, once", "/o/x", no_receipt, 502, 1 },
		{ "another request's answer", "/i/x", wrong_id, 200, 2 },
		{ "status 000", "/i/x", status_reply(0), 200, 2 },
		{ "status 000, once", "/o/x", status_reply(0), 502, 1 },
		{ "status 000 of a stream", "/s/x", status_reply(0), 502, 1 },
		{ "status 999", "/i/x", status_reply(999), 200, 2 },
		{ "status 999, once", "/o/x", status_reply(999), 502, 1 },
		{ "hangs", "/i/x", hang_reply(), 200, 2 },
		{ "hangs, once", "/o/x", hang_reply(), 504, 1 },
	};

	configure();
	for (const FailureCase &c : cases) {
		SCOPED_TRACE(c.name);
		int calls = 0;
		auto behaviour = [&](const ServerSaw &) {
			return calls++ ? ServerReply() : c.first;
		};

		fleet_finish(&fleet_);
		fleet_init(&fleet_);
		net_pool_close_idle(&pool_, "");
		servers_.clear();
		loop_.run_for(2);
		add("a", behaviour);
		add("b", behaviour);
		EXPECT_EQ(c.status, status(ask(request(c.path))));
		EXPECT_EQ(c.attempts, calls);
	}
}

TEST_F(Forward, RefusesWithATimeToComeBackWhereNothingRan)
{
	std::string answer;

	configure();
	answer = ask(request("/i/x"));
	EXPECT_EQ(503, status(answer)) << "no server is known";
	EXPECT_NE(std::string::npos, answer.find("Retry-After: 0."));
	add("a", status_reply(503, true));
	add("b", status_reply(503, true));
	for (const char *path : { "/i/x", "/o/x", "/s/x", "/r/x" }) {
		SCOPED_TRACE(path);
		answer = ask(request(path));
		EXPECT_EQ(503, status(answer));
		EXPECT_NE(std::string::npos, answer.find("Retry-After: 0."));
		EXPECT_NE(std::string::npos, answer.find("not_run"));
	}
	EXPECT_TRUE(runs_.teams.empty());
}

// More servers than a choice samples (64), and the reachable ones come last.
TEST_F(Forward, UsesManyServersOfALargeService)
{
	std::set<std::string> used;

	configure();
	put_absent_servers(&fleet_, 200, "s", "", true);
	for (int i = 0; i < 70; i++)
		add("sound" + std::to_string(i), ServerReply());
	for (int i = 0; i < 2000 && used.size() < 64; i++) {
		ASSERT_EQ(200, status(ask(request("/i/"))));
		for (auto &server : servers_)
			if (!server->seen.empty())
				used.insert(server->id());
	}
	EXPECT_EQ(64u, used.size()) << "of 70: other hosts have others";
}

// A host that cannot reach the store does not see that a key was revoked.
TEST_F(Forward, TakesNoKeyThatItCannotConfirm)
{
	const struct {
		const char *name;
		const char *path, *fields;
		uint32_t bound_ms;
		int64_t confirmed_ms_ago;
		int status;
	} cases[] = {
		{ "confirmed", "/i/", "Api-Key: k1\r\n", 1000, 0, 200 },
		{ "too long ago", "/i/", "Api-Key: k1\r\n", 1000, 950, 503 },
		{ "a key that was not known", "/i/", "Api-Key: new\r\n", 1000,
		  950, 503 },
		{ "no key is needed", "/p/", "", 1000, 950, 200 },
		{ "no bound", "/i/", "Api-Key: k1\r\n", 0, 1000000, 200 },
	};

	configure();
	add("a", ServerReply());
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		expire_keys(c.bound_ms, c.confirmed_ms_ago);
		std::string answer = ask(request(c.path, c.fields));

		EXPECT_EQ(c.status, status(answer)) << answer;
		if (c.status != 503)
			continue;
		for (const char *part :
		     { "keys_unconfirmed", "not_run", "Retry-After: 0.3" })
			EXPECT_NE(std::string::npos, answer.find(part))
				<< answer;
	}
	EXPECT_EQ(3, received());
	expire_keys(1000, 950);
	EXPECT_EQ(503, status(ask("GET /v1/lots/b1 HTTP/1.1\r\nHost: h\r\n"
				  "Api-Key: k1\r\n\r\n")))
		<< "results of a batch are the team's, too";
}

// The key's validity expires while the first server rejects the request.
TEST_F(Forward, SendsNoSecondTryWithAKeyThatItCannotConfirm)
{
	configure();
	for (const char *id : { "a", "b" })
		add(id, [](const ServerSaw &) {
			ServerReply r = status_reply(503, true);

			r.delay_ms = 100;
			return r;
		});
	expire_keys(1000, 850);
	std::string answer = ask(request("/o/"));

	EXPECT_EQ(503, status(answer));
	EXPECT_NE(std::string::npos, answer.find("keys_unconfirmed")) << answer;
	EXPECT_NE(std::string::npos, answer.find("not_run")) << answer;
	EXPECT_EQ(1, received());
}

TEST_F(Forward, ASecondTryRescuesASlowOneAndTheFirstIsCancelled)
{
	int calls = 0;
	ServerReply slow = ServerReply();
	std::string answer;

	slow.delay_ms = 3000;
	auto behaviour = [&](const ServerSaw &) {
		return calls++ ? ServerReply() : slow;
	};
	add("a", behaviour);
	add("b", behaviour);
	configure();
	answer = ask(request("/i/x"));
	EXPECT_EQ(200, status(answer));
	EXPECT_EQ(2, calls);
	EXPECT_TRUE(loop_.run_until([&] {
		return servers_[0]->abandoned + servers_[1]->abandoned == 1;
	}));
}

TEST_F(Forward, CancelsAtTheServerWhenTheCallerLeaves)
{
	FakeServer *server = add("a", hang_reply());
	RawCaller caller(net_server_port(&server_));

	configure();
	caller.send(request("/o/x"));
	ASSERT_TRUE(loop_.run_until([&] { return server->running == 1; }));
	caller.close();
	EXPECT_TRUE(loop_.run_until([&] { return server->abandoned == 1; }));
	EXPECT_EQ(0u, forwarder_.running);
}

TEST_F(Forward, AnAnswerBeforeOursIsSkipped)
{
	ServerReply first = ServerReply();

	configure();
	first.wrong_id = "late";
	add("a", first);
	// The connection closes after the answer to the other request.
	EXPECT_NE(200, status(ask(request("/o/x"))));
}

namespace
{

struct LeavingCase {
	const char *name;
	ServerReply reply; // of the server that is leaving
	int status; // of the caller's answer
};

ServerReply leaving(ServerReply r)
{
	r.leaving = true;
	return r;
}

} // namespace

// Applies to any kind of answer, although the entry in the store does not
// announce that the server is leaving.
TEST_F(Forward, SendsNothingMoreToAServerThatSaysItLeaves)
{
	const LeavingCase cases[] = {
		{ "a success", leaving(ServerReply()), 200 },
		{ "a stream", leaving(stream_reply(3)), 200 },
		{ "a failure", leaving(status_reply(500)), 500 },
		{ "a refusal", leaving(status_reply(503, true)), 503 },
		{ "another answer before ours",
		  [] {
			  ServerReply r = leaving(ServerReply());

			  r.wrong_id = "late";
			  return r;
		  }(),
		  504 },
	};

	configure();
	for (const LeavingCase &c : cases) {
		SCOPED_TRACE(c.name);
		std::string id = "a" + std::to_string(&c - cases);
		FakeServer *server = add(id, c.reply);
		bool is_stream = c.reply.stream;

		EXPECT_EQ(c.status,
			  status(ask(request(is_stream ? "/s/x" : "/o/x"))));
		server->join(&fleet_, "s"); // an older entry is read again
		EXPECT_EQ(503, status(ask(request("/o/x"))));
		EXPECT_EQ(1u, server->seen.size());
	}
	/* A restarted server counts as a new one. */
	struct server_entry entry;

	server_entry_init(&entry);
	copy_text(entry.id, sizeof(entry.id), "a0");
	copy_text(entry.service, sizeof(entry.service), "s");
	copy_text(entry.address, sizeof(entry.address),
		  servers_[0]->address().c_str());
	copy_text(entry.data_centre, sizeof(entry.data_centre), "dc");
	entry.slots = 4;
	entry.started_ms = 7;
	fleet_put(&fleet_, &entry, 100);
	EXPECT_EQ(200, status(ask(request("/o/x"))));
}

// Applies to single requests, to attempts that follow an earlier one, and to
// kept connections.
TEST_F(Forward, SendsNothingMoreToAnEvacuatedDataCentre)
{
	struct evacuations evacuations;
	std::string answer;
	bool closes = false;
	FakeServer *server = add("a", [&](const ServerSaw &) {
		if (!closes)
			return ServerReply();
		evacuations_begin(&evacuations, "dc", 3, 1);
		return cut_reply();
	});

	evacuations_init(&evacuations, &fleet_, nullptr, &counters_);
	configure();
	EXPECT_EQ(200, status(ask(request("/i/x"))));
	evacuations_begin(&evacuations, "dc", 1, 1);
	answer = ask(request("/i/x"));
	EXPECT_EQ(503, status(answer));
	EXPECT_NE(std::string::npos, answer.find("Retry-After"));
	EXPECT_EQ(503, status(ask(request("/o/x"))));
	EXPECT_EQ(1u, server->seen.size());
	server->join(&fleet_, "s"); /* its entry is read again */
	EXPECT_EQ(503, status(ask(request("/o/x"))));
	evacuations_end(&evacuations, "dc", 2, 1);
	EXPECT_EQ(200, status(ask(request("/o/x"))));
	EXPECT_EQ(2u, server->seen.size());

	/* It closes the kept connection, which may mean that it was idle. */
	closes = true;
	EXPECT_EQ(502, status(ask(request("/i/x"))));
	EXPECT_EQ(3u, server->seen.size());
	evacuations_finish(&evacuations);
	fleet_.evacuations = nullptr;
}

// Load pattern: a server restarts while requests come faster than it takes.
TEST_F(Forward, SendsNoMoreToAColdServerThanItTakes)
{
	struct cold_limits limits;
	FakeServer *cold = add("a", ServerReply());
	FakeServer *warm;

	configure();
	cold_limits_init(&limits, &fleet_, nullptr, &counters_, "host");
	cold_limits_set(&limits, "s", 2, 3 * NS_PER_S, sole_sender("host"), 1);
	fleet_server_assume_cold(fleet_find(&fleet_, "a"),
				 reactor_now_ns(&loop_.reactor));
	warm = add("b", ServerReply());
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200, status(ask(request("/i/x"))));
	EXPECT_EQ(20u, cold->seen.size() + warm->seen.size());
	EXPECT_LE(cold->seen.size(), 2u);
	fleet_find(&fleet_, "b")->saw_leaving = 1;
	for (int i = 0; i < 20; i++)
		ask(request("/i/x"));
	EXPECT_EQ(2u, cold->seen.size());
	EXPECT_EQ(503, status(ask(request("/o/x"))));
	fleet_.cold_limits = nullptr;
	remove_servers();
	cold_limits_finish(&limits);
}

namespace
{

struct StreamCase {
	const char *name;
	const char *path;
	ServerReply first;
	bool whole;
	std::vector<int> events; // received by the caller
	std::string resumed_after; // Last-Event-Id at the second server
};

ServerReply cut_stream(int after, bool torn = false)
{
	ServerReply r = stream_reply(6);

	if (torn)
		r.torn_after = after;
	else
		r.cut_after = after;
	return r;
}

} // namespace

TEST_F(Forward, StreamsGoOnAtAnotherServerWhereTheyMay)
{
	const StreamCase cases[] = {
		{ "whole",
		  "/s/x",
		  stream_reply(6),
		  true,
		  { 1, 2, 3, 4, 5, 6 },
		  "" },
		{ "broken", "/s/x", cut_stream(3), false, { 1, 2, 3 }, "" },
		{ "broken, may go on",
		  "/r/x",
		  cut_stream(3),
		  true,
		  { 1, 2, 3, 4, 5, 6 },
		  "3" },
		{ "torn in an event, may go on",
		  "/r/x",
		  cut_stream(2, true),
		  true,
		  { 1, 2, 3, 4, 5, 6 },
		  "2" },
		{ "torn in an event",
		  "/s/x",
		  cut_stream(2, true),
		  false,
		  { 1, 2 },
		  "" },
		{ "broken before the first event, may go on",
		  "/r/x",
		  cut_stream(0),
		  true,
		  { 1, 2, 3, 4, 5, 6 },
		  "" },
	};

	configure();
	for (const StreamCase &c : cases) {
		SCOPED_TRACE(c.name);
		std::vector<ServerSaw> saw;
		std::vector<int> got;
		std::string answer;
		auto behaviour = [&](const ServerSaw &s) {
			saw.push_back(s);
			return saw.size() > 1 ? stream_reply(6) : c.first;
		};

		fleet_finish(&fleet_);
		fleet_init(&fleet_);
		servers_.clear();
		loop_.run_for(2);
		add("a", behaviour);
		add("b", behaviour);
		answer = ask(request(c.path));
		for (int i = 1; i < 10; i++)
			if (answer.find("data: id1." + std::to_string(i) +
					"\n\n") != std::string::npos)
				got.push_back(i);
		EXPECT_EQ(c.events, got);
		EXPECT_EQ(c.whole, http_is_whole(answer));
		EXPECT_EQ(200, status(answer));
		ASSERT_FALSE(saw.empty());
		EXPECT_EQ(c.resumed_after,
			  saw.size() > 1 ? saw[1].last_event : "");
	}
}

TEST_F(Forward, ALargeAnswerIsPassedOnAsItComes)
{
	ServerReply large = ServerReply();
	std::string answer;

	configure();
	large.body.assign(1000000, 'x');
	add("a", large);
	answer = ask(request("/i/x"));
	EXPECT_EQ(200, status(answer));
	EXPECT_EQ(large.body, answer.substr(answer.find("\r\n\r\n") + 4));
}

namespace
{

std::string repeated(const std::string &unit, size_t bytes)
{
	std::string out;

	while (out.size() < bytes)
		out += unit;
	return out;
}

struct BodyCase {
	const char *name;
	int status;
	std::string unit; // of the body
	size_t bytes;
};

const BodyCase body_cases[] = {
	{ "Small", 500, "x", 1000 },
	{ "OfOneLine", 500, "x", 300000 },
	{ "OfEvents", 500, "id: 1\ndata: x\n\n", 300000 },
	{ "WithMalformedIds", 500, "id: one\n\n", 300000 },
	{ "OfTheCaller", 404, "x", 300000 },
	{ "Redirect", 300, "\n", 300000 },
};

class StreamFailure : public Forward,
		      public ::testing::WithParamInterface<BodyCase>
{
};

std::string body_name(const ::testing::TestParamInfo<BodyCase> &info)
{
	return info.param.name;
}

} // namespace

// The body of a failure that was too large to buffer was split into events, as
// the route's answers are streams. What is no event was taken for a broken
// invariant and ended the daemon with all its requests.
TEST_P(StreamFailure, IsPassedOnUnchangedWhateverItsSize)
{
	for (const char *path : { "/s/x", "/r/x" }) {
		SCOPED_TRACE(path);
		ServerReply failure;
		std::string answer;

		remove_servers();
		configure();
		failure.status = GetParam().status;
		failure.body = repeated(GetParam().unit, GetParam().bytes);
		add("a", failure);
		answer = ask(request(path));
		EXPECT_EQ(GetParam().status, status(answer));
		EXPECT_TRUE(http_is_whole(answer));
		/* EXPECT_EQ() would compare the bodies line by line. */
		EXPECT_TRUE(failure.body ==
			    answer.substr(answer.find("\r\n\r\n") + 4));
	}
}

INSTANTIATE_TEST_SUITE_P(Bodies, StreamFailure, ::testing::ValuesIn(body_cases),
			 body_name);

// Another server continues a stream, but never the body of a failure.
TEST_F(Forward, NothingFollowsAFailureThatWasPassedOn)
{
	ServerReply failure = status_reply(500);
	int calls = 0;

	configure();
	failure.body.assign(300000, 'x');
	for (const char *id : { "a", "b" })
		add(id, [&](const ServerSaw &) {
			return calls++ ? stream_reply(6) : failure;
		});
	RawCaller caller(net_server_port(&server_));
	caller.send(request("/r/x"));
	EXPECT_TRUE(loop_.run_until(
		[&] { return http_is_whole(caller.received()); }));
	loop_.run_for(50);
	EXPECT_EQ(500, status(caller.received()));
	EXPECT_EQ(failure.body,
		  caller.received().substr(caller.received().find("\r\n\r\n") +
					   4));
	EXPECT_EQ(1, calls);
}

// An answer after the route's timeout is not waited for.
TEST_F(Forward, AnswersWhenTheRoutesTimeIsOver)
{
	int64_t began_ns = reactor_now_ns(&loop_.reactor);
	int64_t took_ms;

	configure();
	add("a", hang_reply());
	EXPECT_EQ(504, status(ask(request("/o/x"))));
	took_ms = (reactor_now_ns(&loop_.reactor) - began_ns) / NS_PER_MS;
	EXPECT_GE(took_ms, 790);
	EXPECT_LE(took_ms, 1300);
}

// After a long partition from all servers their circuit breakers would stay
// open for many seconds after it ends.
TEST_F(Forward, TriesServersThatAllFailedOnceMore)
{
	const struct {
		const char *name;
		int open; // circuits, of two
		int64_t open_for_ms;
		int status;
	} cases[] = {
		{ "all, for a while", 2, 600, 200 },
		{ "all, just now", 2, 100, 503 },
		{ "one of two", 1, 600, 200 },
		{ "none", 0, 0, 200 },
	};

	configure();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		int64_t now_ns = reactor_now_ns(&loop_.reactor);

		remove_servers();
		add("a", ServerReply());
		add("b", ServerReply());
		for (int i = 0; i < c.open; i++) {
			struct circuit *circuit =
				&fleet_find(&fleet_, i ? "b" : "a")->circuit;

			circuit->state = CIRCUIT_OPEN;
			circuit->opened_ns = now_ns - c.open_for_ms * NS_PER_MS;
			circuit->retry_at_ns = now_ns + 30 * NS_PER_S;
		}
		EXPECT_EQ(c.status, status(ask(request("/o/x"))));
		if (c.open == 1) {
			EXPECT_TRUE(servers_[0]->seen.empty());
		}
	}
}

// A probe on a kept connection that the server had closed shows nothing about
// the server, and must not keep further requests from it.
TEST_F(Forward, ProbesAgainAfterAClosedKeptConnection)
{
	int calls = 0;

	configure();
	add("a", [&](const ServerSaw &) {
		return calls++ == 1 ? cut_reply() : ServerReply();
	});
	EXPECT_EQ(200, status(ask(request("/o/x"))));
	fleet_find(&fleet_, "a")->circuit.state = CIRCUIT_OPEN;
	EXPECT_EQ(502, status(ask(request("/o/x"))));
	EXPECT_EQ(200, status(ask(request("/o/x"))));
	EXPECT_EQ(3, calls);
}
