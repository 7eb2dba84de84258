// Items of batches that must not mix weight versions. Guards against items that
// wait for an engine which has the version of their text but takes nothing any
// more.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lib-batches.h"
#include "lib-demand.h"

extern "C" {
#include "batch/batch_runner_private.h"
}

namespace
{

// A step is due 7.5 s after its submission, and its longest item takes 6.4 s.
const int64_t PLACED_AGAIN_MS = 1000;

struct AloneCase {
	const char *name;
	// What happens to the one engine that has the version of the texts.
	void (*happens)(BatchHost *host, FakeServer *engine);
	uint64_t version; // of the results
};

// Whether all four items run at the engine and have two events each.
bool all_run_for_two_events(BatchHost *host, FakeServer *engine)
{
	const struct item_attempt *a = host->runner.attempt_owner.attempts;

	while (a && a->item->output.last_event >= 2)
		a = a->next;
	return !a && engine->running == 4;
}

void leave(BatchHost *host, FakeServer *engine)
{
	engine->join(&host->fleet, "s", "m", 3, true);
}

void say_leaving(BatchHost *host, FakeServer *engine)
{
	fleet_find(&host->fleet, engine->id().c_str())->saw_leaving = 1;
}

void reject(BatchHost *host, FakeServer *engine)
{
	struct item_attempt *next;

	engine->behaviour = [engine](const ServerSaw &) {
		return engine->seen.size() < 10 ? status_reply(503, true)
						: stream_reply(8, 10, 3);
	};
	for (struct item_attempt *a = host->runner.attempt_owner.attempts; a;
	     a = next) {
		next = a->next;
		runner_requeue(&host->runner, a, "test");
	}
}

} // namespace

TEST_F(Batches, BeginAnewOnlyWhereTheirVersionTakesNoMoreItems)
{
	const AloneCase cases[] = {
		{ "its entry says that it leaves", leave, 4 },
		{ "an answer said that it leaves", say_leaving, 4 },
		{ "it is full for a while", reject, 3 },
	};

	for (const AloneCase &c : cases) {
		SCOPED_TRACE(c.name);
		Submission submission;
		ReadAnswer answer;
		BatchHost *host = add_host("a", 1 + (uint64_t)(&c - cases));
		int64_t began_ns;

		submission.id = "b" + std::to_string(&c - cases);
		host->configure(2, ",\"single_version\":true");
		add_engine("alone", stream_reply(8, 100, 3), 3);
		ASSERT_EQ(202, host->submit(submission));
		ASSERT_TRUE(loop_.run_until([&] {
			return all_run_for_two_events(host, engines_[0].get());
		}));
		add_engine("other", stream_reply(8, 1, 4), 4);
		c.happens(host, engines_[0].get());
		began_ns = reactor_now_ns(&loop_.reactor);
		EXPECT_TRUE(host->read_all(submission, &answer));
		EXPECT_LE((reactor_now_ns(&loop_.reactor) - began_ns) /
				  NS_PER_MS,
			  PLACED_AGAIN_MS);
		expect_complete(submission, answer, 8);
		for (const ReadResult &result : answer.results)
			EXPECT_EQ(std::vector<uint64_t>{ c.version },
				  result.versions);
		EXPECT_EQ(200, host->end(submission.id));
		kill(host);
		engines_.clear();
	}
}

// Guards against texts that are made anew because the host that takes them over
// has read neither the announcement of their version nor that an engine has it.
TEST_F(Batches, GoOnThoughTheirVersionIsNotReadYet)
{
	const char alone[] = ",\"single_version\":true";
	BatchHost *first = add_host("a");
	FakeServer *engine = add_engine("e", stream_reply(8, 100, 4), 4);
	BatchHost *second;
	Submission submission;
	ReadAnswer answer;
	size_t seen;

	first->configure(2, alone);
	ASSERT_EQ(202, first->submit(submission));
	ASSERT_TRUE(loop_.run_until(
		[&] { return all_run_for_two_events(first, engine); }));
	second = add_host("b");
	second->configure(2, alone);
	engine->join(&second->fleet, "s", "m", 3);
	DemandLog log(&second->runner);
	log.named["m"] = 3;
	seen = engine->seen.size();
	first->leave();
	ASSERT_TRUE(loop_.run_until([&] { return !log.seen.empty(); }));
	loop_.run_for(300);
	EXPECT_EQ(seen, engine->seen.size());
	log.named["m"] = 4;
	engine->join(&second->fleet, "s", "m", 4);
	EXPECT_TRUE(second->read_all(submission, &answer));
	expect_complete(submission, answer, 8);
	for (size_t i = seen; i < engine->seen.size(); i++)
		EXPECT_NE("", engine->seen[i].last_event);
	second->runner.demand_listener = nullptr;
}
