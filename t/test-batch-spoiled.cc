// Events and stored texts that are not UTF-8, which no answer can carry.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

namespace
{

struct SpoiledCase {
	const char *name;
	std::string bytes;
	bool is_text; // of a result, which must be UTF-8
};

const SpoiledCase spoiled_cases[] = {
	{ "no lead byte", "\xff\xfe", false },
	{ "a trail byte alone", "\x80", false },
	{ "a character that breaks off", "\xe2\x82", false },
	{ "an overlong form", "\xc0\xaf", false },
	{ "half of a surrogate pair", "\xed\xa0\x80", false },
	{ "above the last character", "\xf4\x90\x80\x80", false },
	{ "characters of two to four bytes",
	  "\xc3\xbc \xe2\x82\xac \xf0\x9f\x98\x80", true },
	{ "control characters", "\x01\x1f", true },
};

// Overwrites the ends of all stored events with bytes that are not UTF-8.
void spoil_stored_texts(FakeTopics *topics)
{
	for (uint32_t i = 0; i < topics->log()->partitions; i++)
		for (auto &record : topics->partition("text", i).records)
			for (size_t at = 0; (at = record.find(".1\n", at)) !=
					    std::string::npos;)
				record.replace(at, 2, "\xff\xfe");
}

} // namespace

// One event that was not UTF-8 was stored in the text of its item, and from
// then on no read of the batch could be answered.
TEST_F(Batches, CanBeReadThoughAnEventIsNotUtf8)
{
	for (const SpoiledCase &c : spoiled_cases) {
		SCOPED_TRACE(c.name);
		BatchHost *host =
			add_host("a", 1 + (uint64_t)(&c - spoiled_cases));
		ServerReply spoiled = stream_reply(4);
		Submission submission;
		ReadAnswer answer;
		int calls = 0;

		spoiled.spoiled_at = 3;
		spoiled.spoiled = c.bytes;
		submission.id = "b" + std::to_string(&c - spoiled_cases);
		submission.groups = submission.group_size = 1;
		add_engine("e", [&](const ServerSaw &) {
			return calls++ ? stream_reply(4) : spoiled;
		});
		EXPECT_EQ(202, host->submit(submission));
		EXPECT_TRUE(host->read_all(submission, &answer));
		EXPECT_EQ(200, answer.status);
		if (c.is_text) {
			EXPECT_EQ(1, calls);
			ASSERT_EQ(1u, answer.results.size());
			EXPECT_NE(std::string::npos,
				  answer.results[0].text.find(c.bytes));
		} else {
			expect_complete(submission, answer, 4);
			ASSERT_EQ(2, calls);
			EXPECT_EQ("2", engines_[0]->seen[1].last_event);
		}
		kill(host);
		engines_.clear();
	}
}

// Texts that an older daemon stored without the check: a handed over one is
// made anew, a listed one becomes a dead letter, and the others can be read.
TEST_F(Batches, CanBeReadThoughAStoredTextIsNotUtf8)
{
	BatchHost *first = add_host("a");
	BatchHost *second = add_host("b");
	Submission listed, open;
	ReadAnswer answer;

	listed.id = "listed";
	open.id = "open";
	engines_.clear();
	add_engine("quick", stream_reply(4));
	ASSERT_EQ(202, first->submit(listed));
	ASSERT_TRUE(first->read_all(listed, &answer));
	engines_.clear();
	add_engine("slow", stream_reply(40, 25));
	ASSERT_EQ(202, first->submit(open));
	ASSERT_TRUE(loop_.run_until([&] {
		const struct item_attempt *attempt =
			first->runner.attempt_owner.attempts;

		return attempt && attempt->item->output.last_event >= 4;
	}));
	first->leave();
	kill(first);
	spoil_stored_texts(&topics_);
	ASSERT_TRUE(second->read_all(open, &answer, 12000));
	expect_complete(open, answer, 40);
	answer = second->read(listed.id);
	EXPECT_EQ(200, answer.status);
	ASSERT_EQ((size_t)listed.items(), answer.results.size());
	for (const ReadResult &result : answer.results) {
		EXPECT_EQ("dead_letter", result.state);
		EXPECT_EQ("", result.text);
	}
}
