// Texts of items whose batch has ended. Guards against a result that holds the
// text of another team's item, or of another model's, with the same id.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

namespace
{

struct ReuseCase {
	const char *name;
	const char *key; // of the first submission; the second one has k1
	const char *model; // likewise; the second one has m
	bool is_reused;
};

} // namespace

TEST_F(Batches, ReuseTextsOnlyOfTheSameTeamAndModel)
{
	const ReuseCase cases[] = {
		{ "the same", "k1", "m", true },
		{ "another team", "k2", "m", false },
		{ "another model", "k1", "n", false },
	};

	for (const ReuseCase &c : cases) {
		SCOPED_TRACE(c.name);
		std::string number = std::to_string(&c - cases);
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));
		Submission first, second;
		ReadAnswer answer;

		first.id = "first" + number;
		second.id = "second" + number;
		first.item_prefix = second.item_prefix = "shared" + number;
		first.key = c.key;
		first.model = first.item_model = c.model;
		/* The first event names the team and the model. */
		for (const char *model : { "n", "m" }) {
			add_engine(model, [model](const ServerSaw &saw) {
				ServerReply reply = stream_reply(8, 20);

				reply.spoiled_at = 1;
				reply.spoiled = saw.team + model;
				return reply;
			});
			engines_.back()->join(&host->fleet, "s", model);
		}
		ASSERT_EQ(202, host->submit(first));
		ASSERT_TRUE(loop_.run_until([&] {
			const struct item_attempt *a =
				host->runner.attempt_owner.attempts;

			return a && a->item->output.last_event >= 3;
		}));
		EXPECT_EQ(200, host->end(first.id, c.key));
		ASSERT_EQ(202, host->submit(second));
		EXPECT_TRUE(host->read_all(second, &answer));
		for (const ReadResult &result : answer.results)
			EXPECT_EQ("redm", result.text.substr(0, 4));
		EXPECT_EQ(c.is_reused, counter_value(counter_get(
					       &host->counters,
					       "item_texts_reused_total")) > 0);
		kill(host);
		engines_.clear();
	}
}
