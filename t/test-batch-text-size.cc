// Texts that are larger than a record of the log: one such text was appended
// again and again, and no later result of its partition was stored. An engine
// that sends events without end made its daemon run out of memory.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

namespace
{

const int RETENTION_MS = 2000;

struct LargeTextCase {
	const char *name;
	int events; // of the large text
	bool has_sound_engine; // beside the one that makes large texts
	const char *state;
};

const LargeTextCase large_text_cases[] = {
	{ "whole, at each engine", 100, false, "dead_letter" },
	{ "without end, at each engine", 1000000, false, "dead_letter" },
	{ "whole, at one engine", 100, true, "complete" },
	{ "without end, at one engine", 1000000, true, "complete" },
};

size_t largest_text(const BatchHost *host)
{
	const struct item_attempt *attempt =
		host->runner.attempt_owner.attempts;
	size_t bytes = 0;

	for (; attempt; attempt = attempt->next)
		bytes = std::max(bytes, attempt->item->output.text.alloc);
	return bytes;
}

} // namespace

TEST_F(Batches, GoOnThoughTheTextOfAnItemIsTooLarge)
{
	for (const LargeTextCase &c : large_text_cases) {
		SCOPED_TRACE(c.name);
		BatchHost *host =
			add_host("a", 1 + (uint64_t)(&c - large_text_cases));
		ServerReply large = stream_reply(c.events);
		Submission submission, later;
		ReadAnswer answer;
		size_t bytes = 0;

		large.event_bytes = 1000;
		submission.id = "b" + std::to_string(&c - large_text_cases);
		later.id = submission.id + "later";
		host->configure(2, ",\"retention_s\":2");
		add_engine("e", [&](const ServerSaw &saw) {
			return saw.id == submission.item(0) ? large
							    : stream_reply(4);
		});
		if (c.has_sound_engine)
			add_engine("f", stream_reply(4));
		EXPECT_EQ(202, host->submit(submission));
		int64_t began_ns = reactor_now_ns(&loop_.reactor);

		EXPECT_TRUE(loop_.run_until(
			[&] {
				bytes = std::max(bytes, largest_text(host));
				return bytes > 1000000 ||
				       host->read(submission.id)
						       .results.size() == 4;
			},
			4 * RETENTION_MS));
		EXPECT_LE(bytes, 2u * topics_.log()->max_record_bytes);
		answer = host->read(submission.id);
		for (const ReadResult &result : answer.results)
			EXPECT_EQ(result.id == submission.item(0) ? c.state
								  : "complete",
				  result.state);
		EXPECT_EQ(4u, answer.results.size());
		if (!c.has_sound_engine) {
			EXPECT_GE(reactor_now_ns(&loop_.reactor) - began_ns,
				  (RETENTION_MS - 100) * NS_PER_MS);
		}
		EXPECT_EQ(202, host->submit(later));
		EXPECT_TRUE(host->read_all(later, &answer));
		expect_complete(later, answer, 4);
		kill(host);
		engines_.clear();
	}
}
