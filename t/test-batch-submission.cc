// Submissions that are repeated, and those that the store fails: each is run
// once or refused.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

// The same submission arrives at two hosts, which may each see the other's
// first.
TEST_F(Batches, AreAcceptedOnceAtTwoHosts)
{
	BatchHost *first = add_host("a");
	BatchHost *second = add_host("b");
	Submission submission;
	ReadAnswer at_first, at_second;

	add_engine("only", stream_reply(4));
	ASSERT_EQ(202, first->submit(submission));
	ASSERT_EQ(202, second->submit(submission));
	ASSERT_TRUE(second->read_all(submission, &at_second));
	ASSERT_TRUE(first->read_all(submission, &at_first));
	expect_complete(submission, at_first, 4);
	for (size_t i = 0; i < 4; i++)
		EXPECT_EQ(at_first.results[i].id, at_second.results[i].id);
	EXPECT_EQ(4u, engines_[0]->seen.size());
}

namespace
{

struct RepeatCase {
	const char *name;
	const char *model; // of the batch
	const char *item_model;
};

// Ends the object of the route under /b/ and begins another one.
const char longer_route[] =
	R"(},{"name":"longer","host":"h","path_prefix":"/b/more/",
  "type":"rollout","timeout_ms":900,"goal_ms":300,"max_attempts":2,
  "due_ms":2000,"retention_s":30,"sticky":true,"resumable":true,
  "service":"s")";

class RepeatedBatches : public Batches,
			public ::testing::WithParamInterface<RepeatCase>
{
};

const RepeatCase repeat_cases[] = {
	{ "ModelOfTheBatch", "m", "m" },
	{ "ModelsOfTheItemsAlone", "", "m" },
	{ "NoModel", "", "" },
};

std::string repeat_name(const ::testing::TestParamInfo<RepeatCase> &info)
{
	return info.param.name;
}

} // namespace

// A configuration that added a route with a longer prefix sent the repeat of a
// submission without a model to another partition, where it was a new batch.
TEST_P(RepeatedBatches, AreAcceptedOnceThoughTheirRouteChanges)
{
	// One of the last two does not own the partition, so it has not read
	// the batch before.
	BatchHost *hosts[] = { add_host("a"), add_host("b"), add_host("c") };
	Submission submission;
	ReadAnswer before;

	submission.model = GetParam().model;
	submission.item_model = GetParam().item_model;
	submission.path = "/b/more/";
	add_engine("only", stream_reply(4));
	ASSERT_EQ(202, hosts[0]->submit(submission));
	ASSERT_TRUE(hosts[0]->read_all(submission, &before));
	for (BatchHost *host : hosts)
		host->configure(2, longer_route);
	for (BatchHost *other : { hosts[1], hosts[2] }) {
		ReadAnswer after;

		ASSERT_EQ(202, other->submit(submission));
		ASSERT_TRUE(other->read_all(submission, &after));
		for (size_t i = 0; i < before.results.size(); i++)
			EXPECT_EQ(before.results[i].id, after.results[i].id);
	}
	EXPECT_EQ((size_t)submission.items(), engines_[0]->seen.size());
}

INSTANTIATE_TEST_SUITE_P(Models, RepeatedBatches,
			 ::testing::ValuesIn(repeat_cases), repeat_name);

namespace
{

struct StoreCase {
	const char *name;
	Fault fault; // of the first appends
	int calls; // number of appends with the fault
};

} // namespace

// Whatever the store does, a submission answered "503: not run" is not run, and
// one answered 202 is kept.
TEST_F(Batches, TellTheTruthOfTheStore)
{
	const StoreCase cases[] = {
		{ "sound", Fault::NONE, 0 },
		{ "the first append is refused", Fault::REFUSED, 1 },
		{ "two are refused", Fault::REFUSED, 2 },
		{ "all are refused", Fault::REFUSED, 1000 },
		{ "the first answer is lost", Fault::LOST, 1 },
		{ "the second answer is lost", Fault::LOST, 2 },
		{ "the first is carried out late", Fault::LATE, 1 },
		{ "the first two are carried out late", Fault::LATE, 2 },
		{ "the first gets no answer", Fault::SILENT, 1 },
		{ "none gets an answer", Fault::SILENT, 1000 },
	};

	for (const StoreCase &c : cases) {
		SCOPED_TRACE(c.name);
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));
		Submission submission;
		ReadAnswer answer;
		int left = c.calls;
		int status;

		submission.id = "b" + std::to_string(&c - cases);
		add_engine("only", stream_reply(4));
		topics_.faults = [&](const std::string &kind,
				     const std::string &topic) {
			if (kind != "append" ||
			    (topic != "batch" && topic != "text") || left <= 0)
				return Fault::NONE;
			left--;
			return c.fault;
		};
		status = host->submit(submission);
		topics_.faults = nullptr;
		topics_.carry_out_late();
		EXPECT_TRUE(status == 202 || status == 503 || status == 504)
			<< status;
		if (!c.calls) {
			EXPECT_EQ(202, status);
		}
		if (status == 202) {
			EXPECT_TRUE(host->read_all(submission, &answer));
			expect_complete(submission, answer, 4);
		} else if (status == 503) {
			loop_.run_for(300);
			EXPECT_EQ(0u, engines_[0]->seen.size());
			EXPECT_EQ(404, host->read(submission.id).status);
		}
		kill(host);
		engines_.clear();
	}
}

namespace
{

struct LargeCase {
	const char *name;
	int items;
	bool is_mixed; // others append to the partition meanwhile
	Fault fault; // of the third append of items
	int status;
};

} // namespace

// The items of a large submission were sent in one call, which the store
// refused for its size, so that no host could take the submission.
TEST_F(Batches, AreTakenThoughTheStoreTakesTheirItemsInSeveralCalls)
{
	const LargeCase cases[] = {
		{ "one call", 5, false, Fault::NONE, 202 },
		{ "several calls", 300, false, Fault::NONE, 202 },
		{ "records of others between", 300, true, Fault::NONE, 202 },
		{ "an answer is lost", 300, true, Fault::LOST, 202 },
		{ "one is refused", 300, true, Fault::REFUSED, 503 },
	};

	topics_.log()->max_record_bytes = 7000;
	topics_.log()->max_append_bytes = 7000;
	for (const LargeCase &c : cases) {
		SCOPED_TRACE(c.name);
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));
		Submission submission;
		ReadAnswer answer;
		int calls = 0;

		submission.id = "b" + std::to_string(&c - cases);
		submission.groups = c.items / 5;
		submission.group_size = 5;
		add_engine("only", stream_reply(4), 1, 100);
		topics_.faults = [&](const std::string &kind,
				     const std::string &topic) {
			if (kind != "append" || topic != "text")
				return Fault::NONE;
			for (uint32_t i = 0; c.is_mixed && i < 12; i++)
				topics_.append("text", i, "other");
			return ++calls == 3 ? c.fault : Fault::NONE;
		};
		EXPECT_EQ(c.status, host->submit(submission));
		topics_.faults = nullptr;
		if (c.status == 202) {
			EXPECT_TRUE(host->read_all(submission, &answer));
			expect_complete(submission, answer, 4);
		} else {
			loop_.run_for(300);
			EXPECT_EQ(0u, engines_[0]->seen.size());
		}
		kill(host);
		engines_.clear();
	}
}

// While the store cannot be read, reads answer 503, never 404 or fewer results.
TEST_F(Batches, SayTheyCannotBeSureWhileTheStoreIsAway)
{
	BatchHost *host = add_host("a");
	Submission submission;
	ReadAnswer answer;

	add_engine("only", stream_reply(4));
	ASSERT_EQ(202, host->submit(submission));
	ASSERT_TRUE(host->read_all(submission, &answer));
	for (Fault fault : { Fault::REFUSED, Fault::SILENT, Fault::LOST }) {
		topics_.faults = [&](const std::string &, const std::string &) {
			return fault;
		};
		answer = host->read(submission.id);
		EXPECT_TRUE(answer.status == 503 || answer.status == 200);
		if (answer.status == 200) {
			EXPECT_EQ(4u, answer.results.size());
		}
		EXPECT_EQ(503, host->read("unknown").status);
		topics_.faults = nullptr;
	}
	ASSERT_TRUE(host->read_all(submission, &answer));
}
