// Batches from submission to the last result: one or two daemons with fake
// engines and an in-memory store, and faults of each of these.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lib-batches.h"

TEST_F(Batches, AreAcceptedRunListedAndEnded)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;
	std::string body;

	EXPECT_EQ(404, host->read("batch1").status);
	ASSERT_EQ(202, host->submit(submission));
	EXPECT_EQ(200, host->body("batch1", submission.item(0), &body));
	EXPECT_EQ("body", body);
	EXPECT_EQ(404, host->body("batch1", "none", &body));
	EXPECT_EQ(0u, host->read("batch1").results.size());
	add_engine("e", stream_reply(4));
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 4);
	EXPECT_EQ(std::vector<uint64_t>{ 1 }, answer.results[0].versions);

	/* Reads after any position return the same results. */
	for (uint64_t after = 0; after <= 4; after++) {
		ReadAnswer rest = host->read("batch1", after);

		ASSERT_EQ(4 - after, rest.results.size());
		EXPECT_EQ(4u, rest.next);
		for (size_t i = 0; i < rest.results.size(); i++)
			EXPECT_EQ(answer.results[after + i].id,
				  rest.results[i].id);
	}
	EXPECT_EQ(200, host->end("batch1"));
	EXPECT_EQ(200, host->end("batch1"));
	EXPECT_EQ(4u, host->read("batch1").results.size());
	EXPECT_EQ(202, host->submit(submission)) << "a repeat";
	EXPECT_EQ(4u, engines_[0]->seen.size());
}

// Guards against items that find no engine when the fleet has more engines than
// one choice considers and those with the model come last.
TEST_F(Batches, RunWhereTheModelIsAmongManyEngines)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;

	put_absent_servers(&host->fleet, 300, "s", "other", false);
	add_engine("e", stream_reply(4));
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 4);
}

// A record of another host is appended between a batch and the claim that
// follows it, at the host that ranks first for the partition or at the other.
class BatchesOfTwoHosts : public Batches,
			  public ::testing::WithParamInterface<int>
{
};

INSTANTIATE_TEST_SUITE_P(Host, BatchesOfTwoHosts, ::testing::Values(0, 1));

TEST_P(BatchesOfTwoHosts, RunAtOnceThoughAnotherOneWritesMeanwhile)
{
	Submission submission;
	ReadAnswer answer;
	int appends = 0;
	int64_t started_ns;

	add_host("a");
	add_host("b");
	BatchHost *host = hosts_[(size_t)GetParam()].get();
	add_engine("e", stream_reply(4));
	topics_.faults = [&](const std::string &kind,
			     const std::string &topic) {
		if (kind == "append" && topic == "batch" && ++appends == 2)
			for (uint32_t i = 0; i < host->set.count; i++)
				topics_.append("batch", i, "another's");
		return Fault::NONE;
	};
	ASSERT_EQ(202, host->submit(submission));
	started_ns = reactor_now_ns(&loop_.reactor);
	/* Reading the batch here would also read the partition. */
	ASSERT_TRUE(
		loop_.run_until([&] { return engines_[0]->seen.size() >= 4; }));
	EXPECT_GE(appends, 2);
	/* Partitions without an owner are read only once a second. */
	EXPECT_LT(reactor_now_ns(&loop_.reactor) - started_ns, 500 * NS_PER_MS);
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 4);
}

// An answer holds as many results as fit into one megabyte, and no more.
TEST_F(Batches, AreReadInAnswersOfBoundedSize)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ServerReply large = stream_reply(2);
	std::vector<std::string> ids;
	int answers = 0;

	large.event_bytes = 50000; /* quotes; two bytes each in JSON */
	submission.groups = 6;
	topics_.log()->max_record_bytes = 262144;
	topics_.log()->max_append_bytes = 2000000;
	add_engine("e", large);
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(loop_.run_until([&] {
		struct batch_partition *in;
		struct batch *batch = batch_set_find(&host->set, "batch1", &in);

		return batch && batch->result_count == 12;
	}));
	while (ids.size() < 12) {
		ReadAnswer answer = host->read("batch1", ids.size());

		ASSERT_GT(answer.results.size(), 0u);
		EXPECT_LE(answer.bytes, 1000000u);
		for (const ReadResult &result : answer.results)
			ids.push_back(result.id);
		answers++;
	}
	/* Twelve results of 200,000 bytes each. */
	EXPECT_EQ(3, answers);
	EXPECT_EQ(12u, std::set<std::string>(ids.begin(), ids.end()).size());
}

TEST_F(Batches, BelongToTheirTeam)
{
	BatchHost *host = add_host("a");
	Submission submission;
	Submission stolen;

	stolen.key = "k2";
	ASSERT_EQ(202, host->submit(submission));
	EXPECT_EQ(409, host->submit(stolen)) << "an id of another team";
	submission.id = "batch2";
	submission.key = "none";
	EXPECT_EQ(401, host->submit(submission));
	submission.key = "k1";
	submission.path = "/none/";
	EXPECT_EQ(404, host->submit(submission));
}

namespace
{

struct RunCase {
	const char *name;
	// Reply of the first engine to its nth request.
	std::function<ServerReply(int)> behaviour;
	int min_attempts; // in total, for four items
};

std::function<ServerReply(int)> constant(const ServerReply &reply)
{
	return [reply](int) { return reply; };
}

std::function<ServerReply(int)> at_first(const ServerReply &reply)
{
	return [reply](int n) { return n < 2 ? reply : stream_reply(4); };
}

} // namespace

// One of two engines fails in some way; all items still complete.
TEST_F(Batches, CompleteItemsWhateverOneEngineDoes)
{
	ServerReply cut_after = stream_reply(4);
	ServerReply torn = stream_reply(4);
	ServerReply silent = stream_reply(4);
	ServerReply gap = stream_reply(4);
	ServerReply old = stream_reply(4, 1, 0);
	ServerReply no_receipt = stream_reply(4);
	ServerReply wrong_id = stream_reply(4);
	ServerReply other = status_reply(421, true);
	ServerReply cut;
	ServerReply hang;

	cut_after.cut_after = 2;
	torn.torn_after = 1;
	silent.silent_after = 1;
	gap.skip = 3;
	no_receipt.no_receipt = true;
	wrong_id.wrong_id = "another";
	cut.cut = true;
	hang.hang = true;
	const RunCase cases[] = {
		{ "sound", constant(stream_reply(4)), 4 },
		{ "cut after two events", constant(cut_after), 5 },
		{ "cut in an event", constant(torn), 5 },
		{ "silent after an event", constant(silent), 5 },
		{ "no answer", constant(hang), 5 },
		{ "cut before the answer", constant(cut), 5 },
		{ "an event is missing", constant(gap), 5 },
		{ "older weights than allowed", constant(old), 5 },
		{ "no receipt", constant(no_receipt), 5 },
		{ "another request's answer", constant(wrong_id), 5 },
		{ "fails once", at_first(status_reply(500)), 5 },
		{ "is full", at_first(status_reply(503, true)), 5 },
		{ "another engine has the address", constant(other), 5 },
	};

	for (const RunCase &c : cases) {
		SCOPED_TRACE(c.name);
		int calls = 0;
		Submission submission;
		ReadAnswer answer;
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));

		submission.id = "b" + std::to_string(&c - cases);
		add_engine("first", [&](const ServerSaw &) {
			return c.behaviour(calls++);
		});
		add_engine("second", stream_reply(4));
		EXPECT_EQ(202, host->submit(submission));
		EXPECT_TRUE(host->read_all(submission, &answer));
		expect_complete(submission, answer, 4);
		EXPECT_GE(engines_[0]->seen.size() + engines_[1]->seen.size(),
			  (size_t)c.min_attempts);
		kill(host);
		engines_.clear();
	}
}

namespace
{

struct BurstCase {
	const char *name;
	int64_t for_ms;
	bool restarts; // every 400 ms servers come back as new processes
};

// A step is due 7.5 s after its submission, and its longest item takes 6.4 s.
const int64_t PLACED_AGAIN_MS = 1000;

} // namespace

// Guards against a backoff that grows too long: servers crash repeatedly while
// they run a valid item, then stay up.
TEST_F(Batches, PlaceAnItemAgainSoonAfterABurstOfCrashes)
{
	const BurstCase cases[] = {
		{ "servers restart", 6000, true },
		{ "servers stay, cut off from the host", 10000, false },
	};

	for (const BurstCase &c : cases) {
		SCOPED_TRACE(c.name);
		int64_t end_ns, placed_ns = 0;
		Submission submission;
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));

		submission.id = "b" + std::to_string(&c - cases);
		submission.groups = submission.group_size = 1;
		end_ns = reactor_now_ns(&loop_.reactor) + c.for_ms * NS_PER_MS;
		for (const char *id : { "first", "second", "third" })
			add_engine(id, [&](const ServerSaw &saw) {
				if (saw.at_ns < end_ns)
					return cut_reply();
				placed_ns = placed_ns ? placed_ns : saw.at_ns;
				return stream_reply(4);
			});
		ASSERT_EQ(202, host->submit(submission));
		for (int64_t ms = 0; ms < c.for_ms; ms += 400) {
			loop_.run_for(400);
			for (auto &engine : engines_) {
				if (!c.restarts)
					continue;
				fleet_drop(&host->fleet, engine->id().c_str(),
					   1000,
					   reactor_now_ns(&loop_.reactor));
				engine->join(&host->fleet, "s", "m");
			}
		}
		EXPECT_TRUE(loop_.run_until([&] { return placed_ns; }, 30000));
		EXPECT_LE((placed_ns - end_ns) / NS_PER_MS, PLACED_AGAIN_MS);
		kill(host);
		engines_.clear();
	}
}

// Another engine continues a text after its last event, and the result lists
// the weight versions that the answers named.
TEST_F(Batches, GoOnAtAnotherEngineFromTheLastEvent)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;
	ServerReply cut_after = stream_reply(4, 1, 3);

	cut_after.cut_after = 2;
	submission.groups = submission.group_size = 1;
	add_engine("first", cut_after, 3);
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(
		loop_.run_until([&] { return engines_[0]->seen.size() == 1; }));
	engines_[0]->join(&host->fleet, "s", "m", 3, true);
	add_engine("second", stream_reply(4, 1, 5), 5);
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 4);
	EXPECT_EQ((std::vector<uint64_t>{ 3, 5 }), answer.results[0].versions);
	EXPECT_EQ("2", engines_[1]->seen[0].last_event);
}

TEST_F(Batches, OfOneVersionBeginAnewUnderAnother)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;
	ServerReply changes = stream_reply(6, 1, 3);

	host->configure(2, ",\"single_version\":true");
	submission.groups = submission.group_size = 1;
	changes.new_version_at = 3;
	int calls = 0;
	add_engine(
		"only",
		[&](const ServerSaw &) {
			return calls++ ? stream_reply(6, 1, 4) : changes;
		},
		3);
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 6);
	EXPECT_EQ(std::vector<uint64_t>{ 4 }, answer.results[0].versions);
}

namespace
{

struct GiveUpCase {
	const char *name;
	ServerReply reply;
	std::string route; // further settings of the route
	bool drop_route;
	int max_attempts; // attempts of one item
};

} // namespace

TEST_F(Batches, GiveUpOnlyWhatCannotBeDone)
{
	const GiveUpCase cases[] = {
		{ "can never be served", status_reply(422), "", false, 1 },
		{ "fails each time", status_reply(500), "", false, 2 },
		{ "the retention period is over", status_reply(503, true),
		  ",\"retention_s\":0.3", false, 1000 },
		{ "the route was removed", status_reply(503, true), "", true,
		  1000 },
	};

	for (const GiveUpCase &c : cases) {
		SCOPED_TRACE(c.name);
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));
		Submission submission;
		ReadAnswer answer;
		std::map<std::string, int> runs;

		submission.id = "b" + std::to_string(&c - cases);
		host->configure(2, c.route);
		add_engine("first", c.reply);
		add_engine("second", c.reply);
		ASSERT_EQ(202, host->submit(submission));
		if (c.drop_route)
			host->configure(3, "", false);
		loop_.run_until([&] {
			BatchHost *h = host;
			uint32_t listed = 0;

			for (uint32_t i = 0; i < h->set.count; i++)
				for (struct batch *b =
					     h->set.partitions[i].table.oldest;
				     b; b = b->newer)
					if (submission.id == b->id)
						listed = b->result_count;
			return listed == 4;
		});
		if (c.drop_route)
			host->configure(4);
		ASSERT_TRUE(host->read_all(submission, &answer));
		for (const ReadResult &result : answer.results)
			EXPECT_EQ("dead_letter", result.state);
		for (auto &engine : engines_)
			for (const ServerSaw &saw : engine->seen)
				runs[saw.id]++;
		for (auto &run : runs)
			EXPECT_LE(run.second, c.max_attempts) << run.first;
		kill(host);
		engines_.clear();
	}
}

// Guards against a request storm: an engine that is down appears idle, so that
// all waiting items are placed there. It must be tried only rarely.
TEST_F(Batches, AskAnEngineThatIsDownRarely)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;

	submission.groups = 10;
	submission.group_size = 4;
	add_engine("down", stream_reply(4));
	engines_.clear(); /* the entry stays in the fleet */
	add_engine("up", stream_reply(20, 10));
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer, 20000));
	expect_complete(submission, answer, 20);
	/* One burst into its slots, then single attempts with backoff. */
	EXPECT_LE(ended_count(host, "not_run"), 12);
}

TEST_F(Batches, LeaveAnEngineThatLeavesAndStopWhenEnded)
{
	BatchHost *host = add_host("a");
	Submission submission;

	add_engine("first", stream_reply(1000, 5));
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(loop_.run_until([&] { return engines_[0]->running == 4; }));
	add_engine("second", stream_reply(1000, 5));
	engines_[0]->join(&host->fleet, "s", "m", 1, true);
	ASSERT_TRUE(loop_.run_until([&] { return engines_[0]->running == 0; },
				    400));
	ASSERT_TRUE(loop_.run_until([&] { return engines_[1]->running == 4; }));
	for (const ServerSaw &saw : engines_[1]->seen)
		EXPECT_NE("", saw.last_event);
	EXPECT_EQ(200, host->end(submission.id));
	EXPECT_TRUE(loop_.run_until([&] { return engines_[1]->running == 0; },
				    400));
}

// One engine becomes several times slower than the others.
TEST_F(Batches, MoveLongItemsAwayFromASlowEngine)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;

	submission.groups = 4;
	submission.length_hint = 60;
	add_engine("slow", stream_reply(30, 60));
	add_engine("fast", stream_reply(30, 12), 1, 12);
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 30);
	EXPECT_GT(engines_[0]->abandoned, 0);
	EXPECT_GT(counter_value(counter_get(&host->counters,
					    "item_runs_moved_total")),
		  0);
}

// The many long items of one team must not delay the few short ones of another
// until the end.
TEST_F(Batches, OfTwoTeamsRunInTurns)
{
	BatchHost *host = add_host("a");
	Submission large, small;
	ReadAnswer answer;
	size_t large_attempts = 0;

	large.id = "large";
	large.key = "k2";
	large.groups = 20;
	large.length_hint = 500;
	add_engine("e", stream_reply(10, 10));
	ASSERT_EQ(202, host->submit(large));
	ASSERT_EQ(202, host->submit(small));
	ASSERT_TRUE(host->read_all(small, &answer));
	expect_complete(small, answer, 10);
	for (const ServerSaw &saw : engines_[0]->seen)
		large_attempts += saw.team == "blue";
	EXPECT_GE(large_attempts, 4u);
	EXPECT_LT(large_attempts, 20u) << "half of the large one has not begun";
}

// An engine that cannot continue the text of another engine generates a
// complete one.
TEST_F(Batches, TakeWholeTextsFromEnginesThatStartOver)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;
	ServerReply cut = stream_reply(30, 10), anew = stream_reply(30, 10, 2);

	cut.silent_after = 20;
	anew.starts_over = true;
	submission.groups = submission.group_size = 1;
	add_engine("cut", cut, 1);
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(loop_.run_until([&] {
		const struct item_attempt *attempt =
			host->runner.attempt_owner.attempts;

		return attempt && attempt->item->output.last_event >= 10;
	}));
	add_engine("anew", anew, 2);
	ASSERT_TRUE(host->read_all(submission, &answer));
	expect_complete(submission, answer, 30);
	EXPECT_EQ(std::vector<uint64_t>{ 2 }, answer.results[0].versions)
		<< "nothing of the first text is left";
	EXPECT_EQ(1u, engines_[1]->seen.size());
	EXPECT_NE("", engines_[1]->seen[0].last_event);
}

// Texts of items submitted again with another batch are reused if their weight
// versions are allowed.
TEST_F(Batches, ReuseTextsOfGroupsThatComeAgain)
{
	BatchHost *host = add_host("a");
	Submission first, second;
	ReadAnswer answer;

	first.groups = second.groups = 1;
	first.item_prefix = second.item_prefix = "shared";
	second.id = "batch2";
	second.step = 1;
	add_engine("only", stream_reply(8, 20));
	ASSERT_EQ(202, host->submit(first));
	ASSERT_TRUE(loop_.run_until([&] {
		const struct item_attempt *attempt =
			host->runner.attempt_owner.attempts;

		return attempt && attempt->item->output.last_event >= 3;
	}));
	EXPECT_EQ(200, host->end(first.id));
	ASSERT_EQ(202, host->submit(second));
	ASSERT_TRUE(host->read_all(second, &answer));
	expect_complete(second, answer, 8);
	EXPECT_EQ(1u, std::count_if(engines_[0]->seen.begin(),
				    engines_[0]->seen.end(),
				    [](const ServerSaw &saw) {
					    return saw.last_event >= "3";
				    }) > 0);
}

// A graceful stop hands texts over; after a kill, items start from the
// beginning.
TEST_F(Batches, GoOnAtAnotherHost)
{
	for (bool graceful : { true, false }) {
		SCOPED_TRACE(graceful ? "stopped" : "killed");
		std::string name = graceful ? "g" : "k";
		BatchHost *first = add_host(name + "1");
		BatchHost *second = add_host(name + "2");
		Submission submission;
		ReadAnswer answer;

		submission.id = "batch-" + name;
		add_engine("only", stream_reply(40, 25));
		ASSERT_EQ(202, first->submit(submission));
		ASSERT_TRUE(loop_.run_until([&] {
			const struct item_attempt *attempt =
				first->runner.attempt_owner.attempts;

			return attempt && attempt->item->output.last_event >= 4;
		}));
		if (graceful)
			first->leave();
		kill(first);
		ASSERT_TRUE(second->read_all(submission, &answer, 12000));
		expect_complete(submission, answer, 40);
		EXPECT_EQ(graceful,
			  std::any_of(engines_[0]->seen.begin(),
				      engines_[0]->seen.end(),
				      [](const ServerSaw &saw) {
					      return !saw.last_event.empty();
				      }));
		kill(second);
		engines_.clear();
	}
}
