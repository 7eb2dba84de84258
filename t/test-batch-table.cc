// Tests that applying the records of a partition in log order gives the same
// batches, results and owner on every daemon.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lib-batch-records.h"

extern "C" {
#include "base/rng.h"
#include "batch/batch_table.h"
}

namespace
{

// Records the listener calls of a table as text.
struct EventRecorder {
	struct batch_table_listener base;
	std::vector<std::string> events;
};

EventRecorder *recorder_of(struct batch_table_listener *base)
{
	return (EventRecorder *)base;
}

void on_accepted(struct batch_table_listener *base, struct batch *batch)
{
	recorder_of(base)->events.push_back(std::string("accepted ") +
					    batch->id);
}

void on_listed(struct batch_table_listener *base, struct batch *batch,
	       uint32_t item)
{
	recorder_of(base)->events.push_back(
		std::string("listed ") + batch->id + " " +
		batch->items[item].id + " at " +
		std::to_string(batch->items[item].position));
}

void on_ended(struct batch_table_listener *base, struct batch *batch)
{
	recorder_of(base)->events.push_back(std::string("ended ") + batch->id);
}

void on_claimed(struct batch_table_listener *base)
{
	recorder_of(base)->events.push_back("claimed");
}

class BatchTable : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		batch_table_init(&table_);
		recorder_.base.accepted = on_accepted;
		recorder_.base.result_added = on_listed;
		recorder_.base.ended = on_ended;
		recorder_.base.claimed = on_claimed;
		batch_table_add_listener(&table_, &recorder_.base);
	}

	void TearDown() override
	{
		batch_table_finish(&table_);
	}

	void apply(const std::vector<std::string> &records)
	{
		for (const std::string &record : records)
			batch_table_apply(&table_, next_++,
					  (const uint8_t *)record.data(),
					  record.size(), 0);
	}

	struct batch_table table_;
	uint64_t next_ = 0;
	EventRecorder recorder_ = {};
};

using Events = std::vector<std::string>;

struct RecordCase {
	const char *name;
	std::vector<std::string> records;
	Events events;
};

} // namespace

TEST_F(BatchTable, TheFirstOfEachCounts)
{
	const std::string b = accepted_record("b", { "x", "y" });
	const RecordCase cases[] = {
		{ "accepted once", { b, b }, { "accepted b" } },
		{ "another submission of the id changes nothing",
		  { b, accepted_record("b", { "z" }) },
		  { "accepted b" } },
		{ "results in the order of the log",
		  { b, result_record("b", 1, { 1 }),
		    result_record("b", 0, { 1 }) },
		  { "accepted b", "listed b y at 0", "listed b x at 1" } },
		{ "a second result of an item changes nothing",
		  { b, result_record("b", 1, { 1 }),
		    result_record("b", 1, { 2 }, 9),
		    result_record("b", 0, { 1 }) },
		  { "accepted b", "listed b y at 0", "listed b x at 1" } },
		{ "a result of an unknown batch",
		  { result_record("c", 0, {}) },
		  {} },
		{ "a result of an item that it does not have",
		  { b, result_record("b", 7, { 1 }) },
		  { "accepted b" } },
		{ "a result before its batch",
		  { result_record("b", 0, { 1 }), b },
		  { "accepted b" } },
		{ "none after the end",
		  { b, end_record("b"), result_record("b", 0, { 1 }),
		    end_record("b") },
		  { "accepted b", "ended b" } },
		{ "a batch without items", { accepted_record("b", {}) }, {} },
		{ "bytes that are no record",
		  { b, "\xff\xff\xff", "" },
		  { "accepted b" } },
	};

	for (const RecordCase &c : cases) {
		SCOPED_TRACE(c.name);
		batch_table_finish(&table_);
		batch_table_init(&table_);
		batch_table_add_listener(&table_, &recorder_.base);
		recorder_.events.clear();
		apply(c.records);
		EXPECT_EQ(c.events, recorder_.events);
	}
}

namespace
{

struct ClaimCase {
	const char *name;
	std::vector<std::string> records; // from offset 0 on
	const char *owner;
	uint64_t claim;
};

} // namespace

TEST_F(BatchTable, OfRivalClaimsTheFirstInTheLogWins)
{
	const ClaimCase cases[] = {
		{ "none", {}, "", 0 },
		{ "the first", { claim_record("a", 0) }, "a", 1 },
		{ "two that saw none",
		  { claim_record("a", 0), claim_record("b", 0) },
		  "a",
		  1 },
		{ "one that saw the other",
		  { claim_record("a", 0), claim_record("b", 1) },
		  "b",
		  2 },
		{ "two that saw the same",
		  { claim_record("a", 0), claim_record("b", 1),
		    claim_record("c", 1) },
		  "b",
		  2 },
		{ "carried out late",
		  { claim_record("a", 0), claim_record("b", 1),
		    claim_record("a", 1), claim_record("a", 1) },
		  "b",
		  2 },
		{ "released",
		  { claim_record("a", 0), claim_record("a", 1, true) },
		  "",
		  2 },
		{ "a release that comes late",
		  { claim_record("a", 0), claim_record("b", 1),
		    claim_record("a", 1, true) },
		  "b",
		  2 },
		{ "taken after a release",
		  { claim_record("a", 0), claim_record("a", 1, true),
		    claim_record("b", 2) },
		  "b",
		  3 },
	};

	for (const ClaimCase &c : cases) {
		SCOPED_TRACE(c.name);
		batch_table_finish(&table_);
		batch_table_init(&table_);
		next_ = 0;
		apply(c.records);
		EXPECT_STREQ(c.owner, table_.owner);
		EXPECT_EQ(c.claim, table_.claim);
	}
}

TEST_F(BatchTable, ResultsNameTheirVersionsAndTexts)
{
	const struct version_set *set;
	struct batch *batch;

	apply({ accepted_record("b", { "x", "y", "z" }),
		result_record("b", 0, { 6, 7 }, 100, 5),
		result_record("b", 1, { 6 }, 101, 6),
		result_record("b", 2, { 6, 7 }, 102, 0, false) });
	batch = batch_table_find(&table_, "b");
	ASSERT_NE(nullptr, batch);
	EXPECT_EQ(2u, batch->version_set_count);
	set = batch_item_versions(batch, &batch->items[0]);
	ASSERT_EQ(2u, set->count);
	EXPECT_EQ(7u, set->versions[1]);
	EXPECT_EQ(set, batch_item_versions(batch, &batch->items[2]));
	EXPECT_EQ(101u, batch->items[1].text_offset);
	EXPECT_EQ(BATCH_ITEM_GIVEN_UP, batch->items[2].state);
	EXPECT_TRUE(batch_is_done(batch));
}

TEST_F(BatchTable, NotesOfProgressLastAsLongAsTheirItemIsOpen)
{
	struct batch *batch;

	apply({ accepted_record("b", { "x", "y" }), progress_record("b", 0, 4),
		progress_record("b", 0, 9, 2), progress_record("b", 1, 1),
		progress_record("b", 5, 1) });
	batch = batch_table_find(&table_, "b");
	ASSERT_NE(nullptr, batch_find_progress(batch, 0));
	EXPECT_EQ(9, batch_find_progress(batch, 0)->last_event);
	EXPECT_EQ(2u, batch_find_progress(batch, 0)->failed_runs);
	EXPECT_EQ(nullptr, batch_find_progress(batch, 5));
	apply({ end_record("b"), progress_record("b", 1, 7) });
	EXPECT_EQ(nullptr, batch->progress);
}

TEST_F(BatchTable, ForgetsWhatIsDoneAndOldAlone)
{
	apply({ accepted_record("open", { "x" }),
		accepted_record("done", { "x" }),
		result_record("done", 0, { 1 }),
		accepted_record("ended", { "x" }), end_record("ended") });
	batch_table_evict(&table_, 0, 0);
	EXPECT_EQ(3u, table_.count);
	batch_table_evict(&table_, 1, 0);
	EXPECT_EQ(2u, table_.count);
	EXPECT_EQ(nullptr, batch_table_find(&table_, "ended"));
	batch_table_evict(&table_, 1, 1);
	EXPECT_EQ(1u, table_.count);
	EXPECT_NE(nullptr, batch_table_find(&table_, "open"));
}

// Guards against a batch that runs after its end: a repeated acceptance stands
// behind the end in the log, and the daemon that reads it when it takes the
// partition over has evicted the batch.
TEST_F(BatchTable, AcceptsNoEvictedBatchAgain)
{
	apply({ accepted_record("b", { "x" }), end_record("b") });
	batch_table_evict(&table_, 1, 0);
	ASSERT_EQ(0u, table_.count);
	recorder_.events.clear();
	apply({ accepted_record("b", { "x" }) });
	EXPECT_EQ(0u, table_.count);
	EXPECT_EQ(std::vector<std::string>(), recorder_.events);
	apply({ accepted_record("other", { "x" }) });
	EXPECT_EQ(1u, table_.count);
	/* The log keeps no repeat for longer. */
	batch_table_evict(&table_, 1, 1);
	EXPECT_EQ(nullptr, table_.evicted);
	apply({ accepted_record("b", { "x" }) });
	EXPECT_EQ(2u, table_.count);
}

// Guards against state that depends on anything but the log: two tables apply
// the same random records at different times and must report the same events
// and the same owner.
TEST_F(BatchTable, AllDaemonsTellTheSame)
{
	struct rng rng;

	for (uint64_t seed = 1; seed <= 30; seed++) {
		std::vector<std::string> log;
		struct batch_table other;
		EventRecorder other_recorder = {};

		rng_init(&rng, seed);
		for (int i = 0; i < 300; i++) {
			std::string id =
				"b" + std::to_string(rng_below(&rng, 6));
			uint32_t item = (uint32_t)rng_below(&rng, 9);

			switch (rng_below(&rng, 8)) {
			case 0:
				log.push_back(accepted_record(
					id,
					std::vector<std::string>(
						1 + rng_below(&rng, 8), "i")));
				break;
			case 1:
				log.push_back(
					i % 3 ? progress_record(id, item, i)
					      : end_record(id));
				break;
			case 2:
				log.push_back(claim_record(
					"h" + std::to_string(item),
					rng_below(&rng, log.size() + 1),
					rng_below(&rng, 2)));
				break;
			default:
				log.push_back(
					result_record(id, item, { seed }));
				break;
			}
		}
		recorder_.events.clear();
		batch_table_finish(&table_);
		batch_table_init(&table_);
		batch_table_add_listener(&table_, &recorder_.base);
		next_ = 0;
		apply(log);
		other_recorder.base = recorder_.base;
		batch_table_init(&other);
		batch_table_add_listener(&other, &other_recorder.base);
		for (size_t i = 0; i < log.size(); i++)
			batch_table_apply(&other, i,
					  (const uint8_t *)log[i].data(),
					  log[i].size(), (int64_t)i);
		EXPECT_EQ(recorder_.events, other_recorder.events);
		EXPECT_STREQ(table_.owner, other.owner);
		batch_table_finish(&other);
	}
}
