// Reward calls: complete texts get their scores despite faults of the scoring
// servers.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lib-batches.h"

namespace
{

class Rewards : public Batches
{
      protected:
	Rewards()
	{
		submission_.scorer = "/score/x";
	}

	void join_servers(BatchHost *host) override
	{
		Batches::join_servers(host);
		for (auto &scorer : scorers_)
			scorer.second->join(&host->fleet, scorer.first);
	}

	FakeServer *add_scorer(const std::string &id,
			       const FakeServer::Behaviour &behaviour,
			       const std::string &service = "r")
	{
		scorers_.emplace_back(service,
				      new FakeServer(&loop_, id, behaviour));
		for (auto &host : hosts_)
			scorers_.back().second->join(&host->fleet, service);
		return scorers_.back().second.get();
	}

	FakeServer *add_scorer(const std::string &id, const ServerReply &reply,
			       const std::string &service = "r")
	{
		return add_scorer(
			id, [reply](const ServerSaw &) { return reply; },
			service);
	}

	size_t calls()
	{
		size_t count = 0;

		for (auto &scorer : scorers_)
			count += scorer.second->seen.size();
		return count;
	}

	// Waits until all texts are complete and wait for their scores.
	bool wait_all_scoring(BatchHost *host)
	{
		return loop_.run_until([&] {
			uint32_t scoring = 0;

			for (struct owned_partition *o = host->runner.owned; o;
			     o = o->next)
				for (struct active_batch *b = o->batches; b;
				     b = b->next)
					scoring += b->scoring;
			return scoring == (uint32_t)submission_.items();
		});
	}

	Submission submission_;
	std::vector<std::pair<std::string, std::unique_ptr<FakeServer>>>
		scorers_;
};

} // namespace

TEST_F(Rewards, AreAskedForAsSubmittedOnceTheTextIsWhole)
{
	FakeServer *engine = add_engine("e", stream_reply(3));
	FakeServer *scorer = add_scorer("r1", ServerReply());
	BatchHost *host = add_host("a");
	std::set<std::string> asked;
	std::string body;
	ReadAnswer answer;

	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(host->read_all(submission_, &answer));
	for (const ReadResult &result : answer.results) {
		EXPECT_EQ("complete", result.state);
		EXPECT_EQ("r1", result.score);
		EXPECT_EQ(fake_text(result.id, 3), result.text);
	}
	EXPECT_EQ(4u, engine->seen.size());
	for (const ServerSaw &saw : scorer->seen) {
		EXPECT_EQ("POST", saw.method);
		EXPECT_EQ("/score/x", saw.target);
		EXPECT_EQ("score", saw.body);
		EXPECT_EQ("", saw.team);
		EXPECT_EQ("", saw.key);
		EXPECT_EQ("r1", saw.instance);
		EXPECT_NE("", saw.deadline);
		EXPECT_EQ("", saw.last_event);
		asked.insert(saw.id);
	}
	EXPECT_EQ(4u, scorer->seen.size());
	for (int i = 0; i < submission_.items(); i++)
		EXPECT_TRUE(asked.count(submission_.reward(i)));
	/* A read at another host returns the same score. */
	EXPECT_EQ("r1", add_host("b")->read("batch1").results[0].score);
}

namespace
{

struct FaultCase {
	const char *name;
	ServerReply reply; // to the first calls, counted over both servers
	int faults; // number of such replies
	int min_calls;
};

ServerReply with(void (*change)(ServerReply *reply))
{
	ServerReply r;

	change(&r);
	return r;
}

} // namespace

TEST_F(Rewards, ComeWhateverTheServersDoFirst)
{
	const FaultCase cases[] = {
		{ "full", status_reply(503, true), 5, 6 },
		{ "too many", status_reply(429, true), 5, 6 },
		{ "its own failure, under the limit", status_reply(500), 2, 3 },
		{ "not found", status_reply(404), 3, 4 },
		{ "unprocessable", status_reply(422), 3, 4 },
		{ "timed out at the server", status_reply(504), 2, 3 },
		{ "cut", with([](ServerReply *r) { r->cut = true; }), 2, 3 },
		{ "no receipt",
		  with([](ServerReply *r) { r->no_receipt = true; }), 2, 3 },
		{ "a receipt that is not UTF-8",
		  with([](ServerReply *r) { r->receipt = "\xff\xfe"; }), 2, 3 },
		{ "another request's answer first",
		  with([](ServerReply *r) { r->wrong_id = "other"; }), 2, 3 },
		{ "silent", with([](ServerReply *r) { r->hang = true; }), 1,
		  2 },
	};

	for (const FaultCase &c : cases) {
		SCOPED_TRACE(c.name);
		int left = c.faults;
		auto reply = [&](const ServerSaw &) {
			return left-- > 0 ? c.reply : ServerReply();
		};
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));
		ReadAnswer answer;

		submission_.id = "b" + std::to_string(&c - cases);
		submission_.groups = submission_.group_size = 1;
		add_engine("e", stream_reply(3));
		add_scorer("r1", reply);
		add_scorer("r2", reply);
		ASSERT_EQ(202, host->submit(submission_));
		ASSERT_TRUE(host->read_all(submission_, &answer));
		EXPECT_EQ("complete", answer.results[0].state);
		EXPECT_TRUE(answer.results[0].score == "r1" ||
			    answer.results[0].score == "r2");
		EXPECT_GE(calls(), (size_t)c.min_calls);
		EXPECT_EQ(1u, engines_[0]->seen.size());
		kill(host);
		engines_.clear();
		scorers_.clear();
	}
}

// Guards against a backoff that grows too long: servers crash repeatedly during
// the call, then stay up.
TEST_F(Rewards, AreAskedForAgainSoonAfterABurstOfCrashes)
{
	// A step is due after 7.5 s, and its longest item takes 6.4 s.
	const int64_t asked_again_ms = 1000;
	const int64_t burst_ms = 5400;
	int64_t end_ns = reactor_now_ns(&loop_.reactor) + burst_ms * NS_PER_MS;
	int64_t asked_ns = 0;
	BatchHost *host = add_host("a");
	auto behaviour = [&](const ServerSaw &saw) {
		ServerReply reply;

		reply.cut = saw.at_ns < end_ns;
		if (!reply.cut && !asked_ns)
			asked_ns = saw.at_ns;
		return reply;
	};

	submission_.groups = submission_.group_size = 1;
	add_engine("e", stream_reply(3));
	add_scorer("r1", behaviour);
	add_scorer("r2", behaviour);
	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(loop_.run_until([&] { return asked_ns; }, 20000));
	EXPECT_LE((asked_ns - end_ns) / NS_PER_MS, asked_again_ms);
}

// Among unsuccessful answers, only failures of the server itself count towards
// giving an item up, after as many as the call's route allows.
TEST_F(Rewards, AreGivenUpAfterAsManyFailuresAsAllowed)
{
	add_engine("e", stream_reply(3));
	FakeServer *scorer = add_scorer("r1", status_reply(500));
	BatchHost *host = add_host("a");
	std::map<std::string, int> asked;
	ReadAnswer answer;

	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(host->read_all(submission_, &answer));
	for (const ReadResult &result : answer.results) {
		EXPECT_EQ("dead_letter", result.state);
		EXPECT_EQ("", result.score);
	}
	for (const ServerSaw &saw : scorer->seen)
		asked[saw.id]++;
	EXPECT_EQ(4u, asked.size());
	for (auto &id : asked)
		EXPECT_EQ(3, id.second) << id.first;
}

TEST_F(Rewards, StopWithTheirBatch)
{
	ServerReply silent;

	silent.hang = true;
	add_engine("e", stream_reply(3));
	FakeServer *scorer = add_scorer("r1", silent);
	BatchHost *host = add_host("a");
	size_t seen;

	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(wait_all_scoring(host));
	ASSERT_TRUE(loop_.run_until([&] { return scorer->running > 0; }));
	EXPECT_EQ(200, host->end("batch1"));
	EXPECT_TRUE(loop_.run_until([&] { return !scorer->running; }, 1000));
	seen = scorer->seen.size();
	loop_.run_for(300);
	EXPECT_EQ(seen, scorer->seen.size());
}

namespace
{

struct OwnerCase {
	const char *name;
	bool leaves; // otherwise it is killed
	int outstanding_ms; // time for which the scores are outstanding before
			    // that
};

} // namespace

// Another host takes over the batch: it makes the reward calls without
// generating any text again.
TEST_F(Rewards, AreAskedForByANewOwnerWithoutMakingTheTextAgain)
{
	const OwnerCase cases[] = {
		{ "stopped at once", true, 0 },
		{ "killed, and the texts were noted", false, 900 },
	};

	for (const OwnerCase &c : cases) {
		SCOPED_TRACE(c.name);
		bool unavailable = true;
		BatchHost *first, *second;
		ReadAnswer answer;

		submission_.id = "b" + std::to_string(&c - cases);
		FakeServer *engine = add_engine("e", stream_reply(3));
		FakeServer *scorer = add_scorer("r1", [&](const ServerSaw &) {
			return unavailable ? status_reply(503, true)
					   : ServerReply();
		});

		first = add_host("a", 1 + (uint64_t)(2 * (&c - cases)));
		ASSERT_EQ(202, first->submit(submission_));
		ASSERT_TRUE(wait_all_scoring(first));
		loop_.run_for(c.outstanding_ms);
		second = add_host("b", 2 + (uint64_t)(2 * (&c - cases)));
		if (c.leaves)
			first->leave();
		kill(first);
		unavailable = false;
		ASSERT_TRUE(second->read_all(submission_, &answer, 15000));
		for (const ReadResult &result : answer.results) {
			EXPECT_EQ("complete", result.state);
			EXPECT_EQ("r1", result.score);
			EXPECT_EQ(fake_text(result.id, 3), result.text);
		}
		EXPECT_EQ(4u, engine->seen.size());
		EXPECT_GE(scorer->seen.size(), 4u);
		kill(second);
		engines_.clear();
		scorers_.clear();
	}
}

// Calls use the configuration in force when they are sent.
TEST_F(Rewards, FollowTheirRoute)
{
	add_engine("e", stream_reply(3));
	FakeServer *before = add_scorer("r1", status_reply(503, true));
	FakeServer *after = add_scorer("r2", ServerReply(), "r2");
	BatchHost *host = add_host("a");
	ReadAnswer answer;
	size_t seen;

	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(wait_all_scoring(host));
	ASSERT_TRUE(loop_.run_until([&] { return !before->seen.empty(); }));
	host->configure(2, "", true, "");
	loop_.run_for(50); /* calls that are in flight */
	seen = before->seen.size();
	loop_.run_for(200);
	EXPECT_EQ(seen, before->seen.size()) << "there is no route";
	EXPECT_TRUE(host->read("batch1").results.empty());
	host->configure(3, "", true, "r2");
	ASSERT_TRUE(host->read_all(submission_, &answer));
	EXPECT_EQ("r2", answer.results[0].score);
	EXPECT_EQ(4u, after->seen.size());
	EXPECT_EQ(seen, before->seen.size());
}

TEST_F(Rewards, WithoutARouteAreRefusedWithTheBatch)
{
	BatchHost *host = add_host("a");

	host->configure(2, "", true, "");
	EXPECT_EQ(404, host->submit(submission_));
	EXPECT_EQ(404, host->read("batch1").status);
}

// A server whose answers say that it is leaving gets no more calls, even if its
// entry does not say so.
TEST_F(Rewards, GoToNoServerThatSaysItLeaves)
{
	ServerReply leaving;

	leaving.leaving = true;
	add_engine("e", stream_reply(3));
	FakeServer *first = add_scorer("r1", leaving);
	BatchHost *host = add_host("a");
	ReadAnswer answer;
	size_t seen;

	submission_.groups = 10;
	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(loop_.run_until([&] {
		const struct fleet_server *server =
			fleet_find(&host->fleet, "r1");

		return server->saw_leaving != 0;
	}));
	seen = first->seen.size();
	FakeServer *second = add_scorer("r2", ServerReply());
	first->join(&host->fleet, "r"); /* an older entry of it */
	ASSERT_TRUE(host->read_all(submission_, &answer));
	EXPECT_LE(first->seen.size(), seen + 4) << "those on their way";
	EXPECT_GE(second->seen.size(), 20 - first->seen.size());
}

static int close_one_idle(void *pool)
{
	return net_pool_close_one_idle((struct net_pool *)pool);
}

// Guards against a step whose items and reward calls open more connections
// than the host has descriptors: they wait for one instead.
TEST_F(Rewards, AndItemsWaitWhileDescriptorsRunOut)
{
	BatchHost *host = add_host("a");
	struct net_pool *pool = host->runner.pool;
	struct net_descriptors descriptors = {};
	uint32_t most_items = 0, most = 0;
	ReadAnswer answer;
	ServerReply slow;

	descriptors.max = 3;
	descriptors.make_room = close_one_idle;
	descriptors.arg = pool;
	pool->descriptors = &descriptors;
	slow.delay_ms = 50;
	for (int i = 0; i < 3; i++) {
		add_engine("e" + std::to_string(i), stream_reply(5, 10));
		add_scorer("r" + std::to_string(i), slow);
	}
	submission_.groups = 8;
	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(loop_.run_until([&] {
		struct batch_partition *in;
		struct batch *batch = batch_set_find(&host->set, "batch1", &in);

		most = std::max(most, descriptors.open);
		if (!calls())
			most_items = most;
		return batch &&
		       batch->result_count == (uint32_t)submission_.items();
	}));
	EXPECT_LE(most_items, descriptors.max);
	EXPECT_LE(most, descriptors.max);
	ASSERT_TRUE(host->read_all(submission_, &answer));
	expect_complete(submission_, answer, 5);
	kill(host); // its connections are counted here
}

// Guards against reward calls to the service that their route had before the
// configuration under which the batch was accepted, by a host that takes the
// complete texts over before it has read that configuration.
TEST_F(Rewards, GoByTheConfigurationOfTheAcceptance)
{
	BatchHost *first = add_host("a");
	BatchHost *second;
	FakeServer *before = add_scorer("before", ServerReply(), "r");
	FakeServer *after = add_scorer("after", hang_reply(), "r2");
	ReadAnswer answer;

	add_engine("e", stream_reply(4));
	first->configure(2, "", true, "r2");
	ASSERT_EQ(202, first->submit(submission_));
	ASSERT_TRUE(wait_all_scoring(first));
	second = add_host("b");
	first->leave();
	ASSERT_TRUE(wait_all_scoring(second));
	loop_.run_for(300);
	EXPECT_EQ(0u, before->seen.size());
	after->behaviour = [](const ServerSaw &) { return ServerReply(); };
	second->configure(2, "", true, "r2");
	ASSERT_TRUE(second->read_all(submission_, &answer));
	expect_complete(submission_, answer, 4);
	for (const ReadResult &result : answer.results)
		EXPECT_EQ("after", result.score);
	EXPECT_EQ(0u, before->seen.size());
}

// Guards against complete items without a score: the score of a text without
// bytes was not stored, as texts without bytes have no record in the log.
TEST_F(Rewards, AreListedWithATextWithoutBytes)
{
	BatchHost *host = add_host("a");
	ServerReply silent = stream_reply(1);
	ReadAnswer answer;

	silent.no_data = true;
	add_scorer("r1", ServerReply());
	add_engine("e", silent);
	ASSERT_EQ(202, host->submit(submission_));
	ASSERT_TRUE(host->read_all(submission_, &answer));
	for (const ReadResult &result : answer.results) {
		EXPECT_EQ("complete", result.state);
		EXPECT_EQ("", result.text);
		EXPECT_EQ("r1", result.score);
	}
}
