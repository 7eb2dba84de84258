// Single requests through the forwarder: what reaches servers, what callers
// get, and what each failure allows to be said.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lib-fake-engine.h"
#include "lib-fake-topics.h"

extern "C" {
#include "base/alloc.h"
#include "base/hash.h"
#include "entry/caller_port.h"
#include "platform/config_decode.h"
}

namespace
{

const char config_text[] = R"({"version":1,"routes":[
 {"name":"idem","host":"h","path_prefix":"/i/","type":"idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"},
 {"name":"once","host":"h","path_prefix":"/o/","type":"non_idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"},
 {"name":"stream","host":"h","path_prefix":"/s/","type":"stream",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s"},
 {"name":"resume","host":"h","path_prefix":"/r/","type":"stream",
  "resumable":true,"timeout_ms":900,"goal_ms":300,"max_attempts":3,
  "service":"s"},
 {"name":"open","host":"h","path_prefix":"/p/","type":"idempotent",
  "timeout_ms":900,"goal_ms":300,"max_attempts":2,"service":"s",
  "public":true}],
 "services":[{"name":"s"}],
 "limits":{"max_header_bytes":4000,"max_body_bytes":100000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"red","api_keys":["k1"]}]})";

struct Runs {
	struct run_counter base;
	std::vector<std::string> teams;
};

void on_run(struct run_counter *base, const char *team, int64_t)
{
	((Runs *)base)->teams.push_back(team);
}

void no_submit(struct batch_port *, struct net_request *request,
	       const struct caller_request *, const struct entry_route *,
	       const struct entry_team *)
{
	net_request_abort(request);
}

void no_call(struct batch_port *, struct net_request *request,
	     const struct caller_request *, const struct caller_call *,
	     const struct entry_team *)
{
	net_request_abort(request);
}

const struct batch_port_vtable no_batches = { no_submit, no_call };

// The port for callers with the forwarder behind it, before fake servers.
class Forward : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct net_pool_settings pool = test_pool_settings();
		struct net_limits limits = test_limits();
		struct error err = ERROR_INIT;

		limits.max_body_bytes = limits.max_held_bytes = 1000000;
		limits.idle_timeout_ns = 5 * NS_PER_S;
		counter_set_init(&counters_);
		net_pool_init(&pool_, &loop_.reactor, &pool);
		fleet_init(&fleet_);
		config_holder_init(&config_, nullptr);
		forwarder_init(&forwarder_, &loop_.reactor, &pool_, &fleet_,
			       &config_, nullptr, &counters_, "dc", 1);
		runs_.base.add = on_run;
		forwarder_.runs = &runs_.base;
		batches_.vt = &no_batches;
		caller_port_init(&port_, &config_, &forwarder_, &batches_,
				 nullptr, &counters_);
		ASSERT_EQ(0, net_server_init(&server_, &loop_.reactor,
					     "127.0.0.1:0", &limits,
					     &port_.handler, &err));
	}

	void TearDown() override
	{
		forwarder_finish(&forwarder_);
		net_server_finish(&server_);
		net_pool_finish(&pool_);
		servers_.clear();
		fleet_finish(&fleet_);
		config_holder_finish(&config_);
		counter_set_finish(&counters_);
	}

	// Keys count for so long after they were confirmed, which was then.
	void expire_keys(uint32_t bound_ms, int64_t confirmed_ms_ago)
	{
		key_trust_set_bound(&config_.trust, bound_ms);
		config_.trust.confirmed_ns =
			clock_now_ns(&loop_.reactor.clock) -
			confirmed_ms_ago * NS_PER_MS;
	}

	void configure()
	{
		struct error err = ERROR_INIT;
		struct entry_config *config = platform_config_decode(
			config_text, strlen(config_text), &err);

		ASSERT_NE(nullptr, config) << err.text;
		config_holder_take(&config_, config, 0);
	}

	FakeServer *add(const std::string &id,
			const FakeServer::Behaviour &behaviour)
	{
		servers_.emplace_back(new FakeServer(&loop_, id, behaviour));
		servers_.back()->join(&fleet_, "s");
		return servers_.back().get();
	}

	FakeServer *add(const std::string &id, const ServerReply &reply)
	{
		return add(id, [reply](const ServerSaw &) { return reply; });
	}

	std::string request(const std::string &path,
			    const std::string &fields = "Api-Key: k1\r\n")
	{
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
		       "X-Attempt-Id: id1\r\nX-Deadline-Ms: 800\r\n" + fields +
		       "Content-Length: 4\r\n\r\nbody";
	}

	// The whole answer to a request; what came, if the connection ended.
	std::string ask(const std::string &bytes)
	{
		return http_ask(&loop_, net_server_port(&server_), bytes);
	}

	static int status(const std::string &answer)
	{
		return http_status(answer);
	}

	int64_t asked()
	{
		int64_t count = 0;

		for (auto &server : servers_)
			count += (int64_t)server->seen.size();
		return count;
	}

	TestReactor loop_;
	struct counter_set counters_;
	struct net_pool pool_;
	struct fleet fleet_;
	struct config_holder config_;
	struct forwarder forwarder_;
	Runs runs_ = {};
	struct batch_port batches_;
	struct caller_port port_;
	struct net_server server_;
	std::vector<std::unique_ptr<FakeServer>> servers_;
};

ServerReply reply(int status = 200)
{
	ServerReply r;

	r.status = status;
	return r;
}

ServerReply not_run()
{
	ServerReply r;

	r.status = 503;
	r.not_run = true;
	return r;
}

ServerReply cut()
{
	ServerReply r;

	r.cut = true;
	return r;
}

ServerReply hang()
{
	ServerReply r;

	r.hang = true;
	return r;
}

ServerReply events(int count = 3)
{
	ServerReply r;

	r.stream = true;
	r.events = count;
	return r;
}

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

	add("a", reply());
	EXPECT_EQ(503, status(ask(request("/i/x")))) << "no configuration yet";
	configure();
	for (const DenyCase &c : cases) {
		SCOPED_TRACE(c.name);
		int64_t before = asked();
		int got = status(ask(request(c.path, c.fields)));

		EXPECT_EQ(c.status, got);
		EXPECT_EQ(before + (c.status == 200), asked());
	}
}

TEST_F(Forward, PassesRequestAndAnswerOnUnchanged)
{
	FakeServer *server = add("a", reply(201));
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
	ServerReply first; // of the server that is asked first
	int status; // 0: the connection ends without one
	int asked; // servers
};

} // namespace

// Two servers: the first one asked fails, the other one is sound.
TEST_F(Forward, RepeatsWhatMayBeRepeatedAndTellsTheTruthElse)
{
	ServerReply no_receipt = reply();
	ServerReply wrong_id = reply();
	ServerReply other = reply(421);

	no_receipt.no_receipt = true;
	wrong_id.wrong_id = "another";
	other.not_run = true;
	const FailureCase cases[] = {
		{ "sound", "/i/x", reply(), 200, 1 },
		{ "full", "/i/x", not_run(), 200, 2 },
		{ "full, once", "/o/x", not_run(), 200, 2 },
		{ "another server has the address, once", "/o/x", other, 200,
		  2 },
		{ "failed", "/i/x", reply(500), 200, 2 },
		{ "failed, once", "/o/x", reply(500), 500, 1 },
		{ "a client's error is the answer", "/i/x", reply(404), 404,
		  1 },
		{ "cut", "/i/x", cut(), 200, 2 },
		{ "cut, once", "/o/x", cut(), 502, 1 },
		{ "no receipt", "/i/x", no_receipt, 200, 2 },
		{ "no receipt, once", "/o/x", no_receipt, 502, 1 },
		{ "another request's answer", "/i/x", wrong_id, 200, 2 },
		{ "hangs", "/i/x", hang(), 200, 2 },
		{ "hangs, once", "/o/x", hang(), 504, 1 },
	};

	configure();
	for (const FailureCase &c : cases) {
		SCOPED_TRACE(c.name);
		int calls = 0;
		auto behaviour = [&](const ServerSaw &) {
			return calls++ ? reply() : c.first;
		};

		fleet_finish(&fleet_);
		fleet_init(&fleet_);
		net_pool_forget(&pool_, "");
		servers_.clear();
		loop_.run_for(2);
		add("a", behaviour);
		add("b", behaviour);
		EXPECT_EQ(c.status, status(ask(request(c.path))));
		EXPECT_EQ(c.asked, calls);
	}
}

TEST_F(Forward, RefusesWithATimeToComeBackWhereNothingRan)
{
	std::string answer;

	configure();
	answer = ask(request("/i/x"));
	EXPECT_EQ(503, status(answer)) << "no server is known";
	EXPECT_NE(std::string::npos, answer.find("Retry-After: 0."));
	add("a", not_run());
	add("b", not_run());
	for (const char *path : { "/i/x", "/o/x", "/s/x", "/r/x" }) {
		SCOPED_TRACE(path);
		answer = ask(request(path));
		EXPECT_EQ(503, status(answer));
		EXPECT_NE(std::string::npos, answer.find("Retry-After: 0."));
		EXPECT_NE(std::string::npos, answer.find("not_run"));
	}
	EXPECT_TRUE(runs_.teams.empty());
}

// More servers than one choice looks at, and the sound ones come last.
TEST_F(Forward, UsesManyServersOfALargeService)
{
	std::set<std::string> used;

	configure();
	put_absent_servers(&fleet_, 200, "s", "", true);
	for (int i = 0; i < 70; i++)
		add("sound" + std::to_string(i), reply());
	for (int i = 0; i < 2000 && used.size() < 64; i++) {
		ASSERT_EQ(200, status(ask(request("/i/"))));
		for (auto &server : servers_)
			if (!server->seen.empty())
				used.insert(server->id());
	}
	EXPECT_EQ(64u, used.size()) << "of 70: other hosts have others";
}

// A host that is cut off can't see that a key was withdrawn.
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
	add("a", reply());
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
	EXPECT_EQ(3, asked());
	expire_keys(1000, 950);
	EXPECT_EQ(503, status(ask("GET /v1/lots/b1 HTTP/1.1\r\nHost: h\r\n"
				  "Api-Key: k1\r\n\r\n")))
		<< "results of a batch are the team's, too";
}

// The first server refuses it while the key's time runs out.
TEST_F(Forward, SendsNoSecondTryWithAKeyThatItCannotConfirm)
{
	configure();
	for (const char *id : { "a", "b" })
		add(id, [](const ServerSaw &) {
			ServerReply r = not_run();

			r.delay_ms = 100;
			return r;
		});
	expire_keys(1000, 850);
	std::string answer = ask(request("/o/"));

	EXPECT_EQ(503, status(answer));
	EXPECT_NE(std::string::npos, answer.find("keys_unconfirmed")) << answer;
	EXPECT_NE(std::string::npos, answer.find("not_run")) << answer;
	EXPECT_EQ(1, asked());
}

TEST_F(Forward, ASecondTryRescuesASlowOneAndTheFirstIsCancelled)
{
	int calls = 0;
	ServerReply slow = reply();
	std::string answer;

	slow.delay_ms = 3000;
	auto behaviour = [&](const ServerSaw &) {
		return calls++ ? reply() : slow;
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
	FakeServer *server = add("a", hang());
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
	ServerReply first = reply();

	configure();
	first.wrong_id = "late";
	add("a", first);
	// The connection ends with the other request's answer alone.
	EXPECT_NE(200, status(ask(request("/o/x"))));
}

namespace
{

struct LeavingCase {
	const char *name;
	ServerReply reply; // of the server that leaves
	int status; // that the caller gets of it
};

ServerReply leaving(ServerReply r)
{
	r.leaving = true;
	return r;
}

} // namespace

// Whatever the answer is, and though the store's view says nothing of it.
TEST_F(Forward, SendsNothingMoreToAServerThatSaysItLeaves)
{
	const LeavingCase cases[] = {
		{ "a success", leaving(reply()), 200 },
		{ "a stream", leaving(events()), 200 },
		{ "a failure", leaving(reply(500)), 500 },
		{ "a refusal", leaving(not_run()), 503 },
		{ "another answer before ours",
		  [] {
			  ServerReply r = leaving(reply());

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
		server->join(&fleet_, "s"); // an older view comes again
		EXPECT_EQ(503, status(ask(request("/o/x"))));
		EXPECT_EQ(1u, server->seen.size());
	}
	/* The same server, once it has started again, is another one. */
	struct server_entry entry;

	server_entry_init(&entry);
	copy_text(entry.id, sizeof(entry.id), "a0");
	copy_text(entry.service, sizeof(entry.service), "s");
	copy_text(entry.address, sizeof(entry.address),
		  servers_[0]->address().c_str());
	copy_text(entry.data_centre, sizeof(entry.data_centre), "dc");
	entry.slots = 4;
	entry.born_ms = 7;
	fleet_put(&fleet_, &entry, 100);
	EXPECT_EQ(200, status(ask(request("/o/x"))));
}

namespace
{

struct StreamCase {
	const char *name;
	const char *path;
	ServerReply first;
	bool whole;
	std::vector<int> events; // that the caller gets
	std::string resumed_after; // Last-Event-Id at the second server
};

ServerReply broken(int after, bool torn = false)
{
	ServerReply r = events(6);

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
		{ "whole", "/s/x", events(6), true, { 1, 2, 3, 4, 5, 6 }, "" },
		{ "broken", "/s/x", broken(3), false, { 1, 2, 3 }, "" },
		{ "broken, may go on",
		  "/r/x",
		  broken(3),
		  true,
		  { 1, 2, 3, 4, 5, 6 },
		  "3" },
		{ "torn in an event, may go on",
		  "/r/x",
		  broken(2, true),
		  true,
		  { 1, 2, 3, 4, 5, 6 },
		  "2" },
		{ "torn in an event",
		  "/s/x",
		  broken(2, true),
		  false,
		  { 1, 2 },
		  "" },
		{ "broken before the first event, may go on",
		  "/r/x",
		  broken(0),
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
			return saw.size() > 1 ? events(6) : c.first;
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
	ServerReply large = reply();
	std::string answer;

	configure();
	large.body.assign(1000000, 'x');
	add("a", large);
	answer = ask(request("/i/x"));
	EXPECT_EQ(200, status(answer));
	EXPECT_EQ(large.body, answer.substr(answer.find("\r\n\r\n") + 4));
}

// What a server answers after the route's time is over counts no more.
TEST_F(Forward, AnswersWhenTheRoutesTimeIsOver)
{
	int64_t began_ns = reactor_now_ns(&loop_.reactor);
	int64_t took_ms;

	configure();
	add("a", hang());
	EXPECT_EQ(504, status(ask(request("/o/x"))));
	took_ms = (reactor_now_ns(&loop_.reactor) - began_ns) / NS_PER_MS;
	EXPECT_GE(took_ms, 790);
	EXPECT_LE(took_ms, 1300);
}

// A host was cut off from all servers for so long that their circuits would
// stay open for many seconds more.
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

		servers_.clear();
		fleet_finish(&fleet_);
		fleet_init(&fleet_);
		add("a", reply());
		add("b", reply());
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

namespace
{

// What the hosts know of requests that crash servers, of one host.
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

struct KeptCase {
	const char *name;
	const char *path;
	bool ends; // the server, and nobody listens
	bool cut; // else the kept connection alone, and a new one is served
	int64_t crashes;
};

} // namespace

// A server that ends while it runs a request on a kept connection looks like
// one that closes an idle connection.
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
		servers_.clear();
		fleet_finish(&fleet_);
		fleet_init(&fleet_);
		server = add("a", reply());
		ASSERT_EQ(200, status(ask(request("/i/good"))));
		server->behaviour = [&](const ServerSaw &) {
			bool first = !reached;

			reached = true;
			if (c.ends)
				return hang();
			return c.cut || first ? cut() : reply();
		};
		RawCaller caller(net_server_port(&server_));

		caller.send(request(c.path));
		ASSERT_TRUE(loop_.run_until([&] { return reached; }));
		if (c.ends)
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
	bool answers; // the server, in the end
	int64_t crashes;
};

} // namespace

// A server that is gone without a word resets no connection.
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
		FakeServer *server = add(id, c.answers ? reply() : hang());

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

// Other hosts' crashes became known while the first try hangs.
TEST_F(Forward, StartsNoSecondTryOfARequestThatCrashesServers)
{
	for (bool crashed : { false, true }) {
		SCOPED_TRACE(crashed);
		Crashes crashes(&loop_, &fleet_, &counters_);
		std::string path = crashed ? "/i/bad" : "/i/slow";
		RawCaller caller(net_server_port(&server_));
		uint64_t hash = hash_text(path.c_str(), hash_text("red", 0));
		size_t before;

		hash = hash_bytes("body", 4, hash);
		configure();
		forwarder_.crashes = &crashes.watch;
		if (servers_.empty())
			for (const char *id : { "a", "b" })
				add(id, hang());
		before = (size_t)asked();
		caller.send(request(path));
		ASSERT_TRUE(loop_.run_until(
			[&] { return (size_t)asked() > before; }));
		for (const char *server : { "x", "y", "z" })
			if (crashed)
				crash_watch_cut(&crashes.watch, hash, "id",
						server);
		ASSERT_TRUE(loop_.run_until(
			[&] { return http_is_whole(caller.received()); }));
		EXPECT_EQ(before + (crashed ? 1 : 2), (size_t)asked());
		forwarder_.crashes = nullptr;
	}
}

// A server that is half sound fails requests that it has not run.
TEST_F(Forward, AFailureDoesNotClearARequestThatCrashesServers)
{
	const struct {
		const char *name;
		ServerReply reply;
		bool clears;
	} cases[] = {
		{ "a success", reply(), true },
		{ "a client's error", reply(404), true },
		{ "a failure", reply(500), false },
		{ "a failure at the end of its time", reply(504), false },
		{ "a refusal", not_run(), false },
	};

	configure();
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		Crashes crashes(&loop_, &fleet_, &counters_);
		uint64_t hash = hash_text("/o/bad", hash_text("red", 0));
		struct crash_tally tally;
		bool cuts = true;

		hash = hash_bytes("body", 4, hash);

		forwarder_.crashes = &crashes.watch;
		servers_.clear();
		fleet_finish(&fleet_);
		fleet_init(&fleet_);
		add("a",
		    [&](const ServerSaw &) { return cuts ? cut() : c.reply; });
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

// A caller sends a request that takes each server down, again and again.
TEST_F(Forward, RefusesARequestThatCrashesServers)
{
	Crashes crashes(&loop_, &fleet_, &counters_);
	std::string answer;
	size_t reached = 0;

	forwarder_.crashes = &crashes.watch;
	configure();
	ServerReply crash;
	crash.cut = true;
	add("a", [crash](const ServerSaw &saw) {
		return saw.target == "/o/bad" ? crash : ServerReply();
	});
	for (int i = 0; i < 3; i++) {
		EXPECT_EQ(502, status(ask(request("/o/bad"))));
		loop_.run_for(CRASH_APART_MS + 50);
	}
	reached = servers_[0]->seen.size();
	EXPECT_EQ(3u, reached);
	answer = ask(request("/o/bad"));
	EXPECT_EQ(503, status(answer));
	EXPECT_NE(std::string::npos, answer.find("Retry-After: "));
	EXPECT_NE(std::string::npos, answer.find("crashes_servers"));
	EXPECT_EQ(reached, servers_[0]->seen.size());
	// The server is asked again once its circuit closes.
	for (int i = 0; i < 50 && status(answer) != 200; i++) {
		answer = ask(request("/o/good"));
		loop_.run_for(100);
	}
	EXPECT_EQ(200, status(answer));
	EXPECT_EQ(503, status(ask(request("/o/bad"))));
}
