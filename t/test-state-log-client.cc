// The log client against a log service with faults.
#include <gtest/gtest.h>

#include "t/lib-daemon.h"

static const int64_t LIMIT_NS = DAEMON_LIMIT_NS;

TEST(LogClient, AnAppendedCommandIsInForceWhenItReturns)
{
	FakeLog log;
	Daemon a(&log, "a", 1);

	ASSERT_TRUE(a.start());
	ASSERT_EQ(0, a.create("c1", "red")) << a.err.text;
	EXPECT_EQ(1, a.result.accepted);
	EXPECT_TRUE(a.has_team("red"));
	ASSERT_EQ(0, a.create("c2", "red"));
	EXPECT_EQ(0, a.result.accepted);
	EXPECT_EQ(ERROR_CONFLICT, a.result.why.code) << a.result.why.text;
}

TEST(LogClient, FaultsOfAnAppendNeitherLoseNorDouble)
{
	const struct {
		const char *what;
		int lose_answers, lose_appends, refuse, hold;
	} cases[] = {
		{ "none", 0, 0, 0, 0 },
		{ "answer lost after it took effect", 1, 0, 0, 0 },
		{ "answers lost twice", 2, 0, 0, 0 },
		{ "lost before it took effect", 0, 2, 0, 0 },
		{ "rate limited", 0, 0, 3, 0 },
		{ "takes effect late, after it was sent again", 0, 0, 0, 1 },
		{ "all together", 1, 1, 1, 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Daemon a(&log, "a", 1);

		a.port.lose_answers(c.lose_answers);
		a.port.lose_appends(c.lose_appends);
		a.port.refuse(c.refuse);
		a.port.hold(c.hold);
		for (int i = 0; i < 10; i++) {
			with_partial("p", 60, "red", 1,
				     [&](const Currant__Record *r) {
					     EXPECT_EQ(0, a.submit(r));
				     });
			a.append();
			if (i % 2)
				a.read();
		}
		for (int i = 0; i < 10; i++) {
			a.append();
			a.read();
		}
		a.port.release();
		a.read();
		EXPECT_EQ(10u, a.requests("p", 60));
		EXPECT_EQ(0u, a.client.queue.count);
	}
}

TEST(LogClient, ABrokenEntryIsAppendedAgain)
{
	FakeLog log;
	Daemon a(&log, "a", 1);

	with_partial("p", 60, "red", 1, [&](const Currant__Record *r) {
		EXPECT_EQ(0, a.submit(r));
		EXPECT_EQ(1, a.append());
		log.cut_entry(0, 5);
		EXPECT_EQ(0, a.submit(r));
		EXPECT_EQ(1, a.append());
	});
	a.read();
	EXPECT_EQ(1u, a.requests("p", 60));
	EXPECT_EQ(1, a.append());
	a.read();
	EXPECT_EQ(2u, a.requests("p", 60));
	EXPECT_EQ(0u, a.client.queue.count);
}

TEST(LogClient, SaysWhatIsKnownWhenTimeRunsOut)
{
	FakeLog log;
	Daemon a(&log, "a", 1);

	a.port.set_down(true);
	ASSERT_TRUE(a.start());
	EXPECT_EQ(-1, a.create("c1", "red", 30 * NS_PER_MS));
	EXPECT_EQ(ERROR_UNAVAILABLE, a.err.code);
	a.port.set_down(false);
	a.port.lose_appends(1000000);
	EXPECT_EQ(-1, a.create("c2", "red", 30 * NS_PER_MS));
	EXPECT_EQ(ERROR_UNKNOWN_OUTCOME, a.err.code);
	a.port.lose_appends(0);
	// What was given up is not sent again.
	ASSERT_EQ(0, a.create("c3", "blue")) << a.err.text;
	EXPECT_FALSE(a.has_team("red"));
	// The append call itself may still be returning.
	EXPECT_EQ(0, log_client_flush(&a.client, 5 * NS_PER_S, &a.err))
		<< a.err.text;
}

TEST(LogClient, TheQueueIsBounded)
{
	FakeLog log;
	Daemon a(&log, "a", 1);
	int refused = 0;

	a.port.set_down(true);
	with_partial("p", 60, "red", 1, [&](const Currant__Record *r) {
		for (int i = 0; i < 60; i++)
			refused += a.submit(r) != 0;
	});
	EXPECT_EQ(10, refused);
	EXPECT_EQ(ERROR_FULL, a.err.code);
	a.port.set_down(false);
	EXPECT_EQ(1, a.append());
	a.read();
	EXPECT_EQ(50u, a.requests("p", 60));
}

TEST(LogClient, APeerFeedsEntriesWhileTheLogIsCutOff)
{
	FakeLog log;
	Daemon a(&log, "a", 1), b(&log, "b", 2);
	struct log_chunk chunk;

	ASSERT_TRUE(a.start());
	ASSERT_EQ(0, b.read());
	ASSERT_EQ(0, a.create("c1", "red"));
	b.port.set_down(true);
	EXPECT_EQ(-1, b.read());
	log_client_copy_entries(&a.client, 0, 10, &chunk);
	ASSERT_EQ(1u, chunk.entry_count);
	EXPECT_EQ(1u, chunk.head);
	EXPECT_EQ(0, log_client_feed_entries(&b.client, chunk.entries,
					     chunk.entry_count, &b.err));
	EXPECT_TRUE(b.has_team("red"));
	// Once more changes nothing; a gap is refused.
	EXPECT_EQ(0, log_client_feed_entries(&b.client, chunk.entries,
					     chunk.entry_count, &b.err));
	chunk.entries[0].offset = 5;
	EXPECT_EQ(-1, log_client_feed_entries(&b.client, chunk.entries,
					      chunk.entry_count, &b.err));
	log_chunk_finish(&chunk);
}

TEST(LogClient, ReachableUntilReadsHaveFailedForLong)
{
	FakeLog log;
	Daemon a(&log, "a", 1);

	EXPECT_FALSE(log_client_reachable(&a.client, a.clock.now_ns));
	a.read();
	EXPECT_TRUE(log_client_reachable(&a.client, a.clock.now_ns));
	a.port.set_down(true);
	a.read();
	fake_clock_advance(&a.clock, 4 * NS_PER_S);
	EXPECT_TRUE(log_client_reachable(&a.client, a.clock.now_ns));
	fake_clock_advance(&a.clock, 1);
	EXPECT_FALSE(log_client_reachable(&a.client, a.clock.now_ns));
}

TEST(LogClient, BuildsTheStateAgainWhenTheLogLostItsTail)
{
	const struct {
		const char *what;
		bool outage; // reads fail between the loss and the growth
		bool own_append; // its own append shows the loss
		int grown; // entries of others since
	} cases[] = {
		{ "shorter than before", false, false, 0 },
		{ "grown to the same length in an outage", true, false, 1 },
		{ "grown longer in an outage", true, false, 3 },
		{ "grown by an own append", false, true, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Daemon a(&log, "a", 1);
		Writer b = { "b", 2, 0 };
		auto grow = [&](const std::string &team) {
			with_create_team(
				"c-" + team, team, "1",
				[&](const Currant__Record *r) {
					log.append(entry_of({ packed(b, r) }));
				});
		};

		grow("red");
		grow("blue");
		a.read();
		ASSERT_TRUE(a.has_team("blue"));
		log.truncate_tail(1);
		if (c.outage) {
			a.port.set_down(true);
			a.read();
			a.port.set_down(false);
		}
		for (int i = 0; i < c.grown; i++)
			grow("green" + std::to_string(i));
		with_partial("p", 60, "red", 1, [&](const Currant__Record *r) {
			ASSERT_EQ(0, a.submit(r));
		});
		if (c.own_append)
			a.append();
		for (int i = 0; i < 4; i++) {
			a.read();
			a.append();
		}
		a.read();
		EXPECT_TRUE(a.has_team("red"));
		EXPECT_FALSE(a.has_team("blue"));
		EXPECT_EQ(c.grown > 0, a.has_team("green0"));
		EXPECT_EQ(1u, a.requests("p", 60));
		EXPECT_EQ(0u, a.client.queue.count);
	}
}

TEST(LogClient, FlushWaitsUntilAllIsInTheLog)
{
	FakeLog log;
	Daemon a(&log, "a", 1);

	ASSERT_TRUE(a.start());
	with_partial("p", 60, "red", 1, [&](const Currant__Record *r) {
		for (int i = 0; i < 20; i++)
			ASSERT_EQ(0, a.submit(r));
	});
	EXPECT_EQ(0, log_client_flush(&a.client, LIMIT_NS, &a.err));
	EXPECT_EQ(20u, a.requests("p", 60));
	a.port.set_down(true);
	with_partial("p", 60, "red", 1, [&](const Currant__Record *r) {
		ASSERT_EQ(0, a.submit(r));
	});
	EXPECT_EQ(-1, log_client_flush(&a.client, 10 * NS_PER_MS, &a.err));
	EXPECT_EQ(ERROR_TIMEOUT, a.err.code);
}

// Flushes while what was read is applied and not yet published.
struct FlushingListener {
	struct publish_listener base;
	struct log_client *client;
	std::vector<int> results;
};

static void flush_unpublished(struct publish_listener *base)
{
	auto *listener = reinterpret_cast<FlushingListener *>(base);

	listener->results.push_back(
		log_client_flush(listener->client, 10 * NS_PER_MS, nullptr));
}

// Guards against a lease that a stopping daemon keeps, as its last renewal is
// in the log but its outcome can't be told yet.
TEST(LogClient, FlushWaitsUntilTheOutcomeCanBeTold)
{
	FakeLog log;
	Daemon a(&log, "a", 1);
	FlushingListener listener = {};
	struct log_waiter waiter = {};

	listener.base.on_published = flush_unpublished;
	listener.client = &a.client;
	log_client_set_listener(&a.client, &listener.base);
	with_create_team("c1", "red", "1", [&](const Currant__Record *r) {
		ASSERT_EQ(0, log_client_begin(&a.client, r, LOG_SUBMIT_URGENT,
					      &waiter, &a.err));
	});
	ASSERT_EQ(1, a.append());
	ASSERT_EQ(1, a.read());
	EXPECT_EQ(std::vector<int>({ -1 }), listener.results);
	EXPECT_EQ(0, log_client_flush(&a.client, 10 * NS_PER_MS, &a.err));
	EXPECT_EQ(1, log_client_poll(&a.client, &waiter));
}
