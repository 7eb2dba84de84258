// Crash blame: which requests become suspect, held or quarantined, and which
// must not.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "t/lib-blame.h"

static const uint64_t bad = 666;

class BlameTest : public ::testing::Test
{
      protected:
	struct Listener {
		struct blame_listener base;
		std::vector<uint32_t> hints;
		std::vector<uint64_t> quarantined;
	};

	BlameTest()
	{
		listener.base.vt = &vtable;
		blame_init(&blame, &listener.base);
	}

	~BlameTest() override
	{
		blame_finish(&blame);
	}

	void lose(const char *server, const char *data_centre,
		  const std::vector<uint64_t> &running, double at_s,
		  uint32_t there = 9)
	{
		struct blame_loss loss = {
			server, data_centre, there, running.data(),
			static_cast<uint32_t>(running.size())
		};

		blame_on_loss(&blame, &loss, ns(at_s));
	}

	enum blame_verdict judge(uint64_t fingerprint, double at_s)
	{
		return blame_judge(&blame, fingerprint, ns(at_s));
	}

	static int64_t ns(double seconds)
	{
		return static_cast<int64_t>(seconds * NS_PER_S);
	}

	static void on_hint(struct blame_listener *base,
			    Currant__QuarantineHint *hint)
	{
		reinterpret_cast<Listener *>(base)->hints.push_back(
			hint->crashes);
	}

	static void on_quarantine(struct blame_listener *base,
				  uint64_t fingerprint, int64_t)
	{
		reinterpret_cast<Listener *>(base)->quarantined.push_back(
			fingerprint);
	}

	static const struct blame_listener_vtable vtable;
	Listener listener;
	struct blame blame;
};

const struct blame_listener_vtable BlameTest::vtable = { on_hint,
							 on_quarantine };

TEST_F(BlameTest, SecondLossAloneQuarantines)
{
	EXPECT_EQ(BLAME_CLEAN, judge(bad, 0));
	lose("e1", "a", { 1, bad, 2 }, 0);
	for (uint64_t fingerprint : { uint64_t(1), bad, uint64_t(2) })
		EXPECT_EQ(BLAME_SUSPECT, judge(fingerprint, 0));
	blame_on_success(&blame, 1, ns(1));
	blame_on_success(&blame, 2, ns(1));
	lose("e2", "b", { bad }, 1);
	EXPECT_EQ(BLAME_HELD, judge(bad, 1));
	EXPECT_EQ(BLAME_HELD, judge(bad, 3));
	EXPECT_EQ(BLAME_QUARANTINED, judge(bad, 3.1));
	EXPECT_EQ(BLAME_CLEAN, judge(1, 3.1));
	EXPECT_EQ(std::vector<uint64_t>({ bad }), listener.quarantined);
	/* Hints: three suspects, two cleared, second loss, quarantine. */
	EXPECT_EQ(std::vector<uint32_t>({ 1, 1, 1, 0, 0, 2, 2 }),
		  listener.hints);
	EXPECT_EQ(BLAME_QUARANTINED, judge(bad, 3600));
	EXPECT_EQ(BLAME_CLEAN, judge(bad, 3604));
}

TEST_F(BlameTest, BesideASuspectNobodyIsBlamed)
{
	lose("e1", "a", { bad }, 0);
	lose("e2", "b", { bad, 7 }, 5);
	EXPECT_EQ(BLAME_CLEAN, judge(7, 5));
	EXPECT_EQ(BLAME_SUSPECT, judge(bad, 5));
	/* Several samples of one request count as one. */
	lose("e3", "b", { bad, bad }, 10);
	EXPECT_EQ(BLAME_HELD, judge(bad, 10));
}

/* Servers lost at given times, and the verdict on a request running there. */
TEST_F(BlameTest, TellsAnEvictionFromACrash)
{
	struct Lost {
		const char *server, *data_centre;
		bool runs_request;
		double at_s;
		uint32_t there;
	};
	const struct {
		const char *name;
		std::vector<Lost> losses;
		double judged_at_s;
		enum blame_verdict verdict;
	} cases[] = {
		{ "seven of nine in one data centre",
		  { { "e1", "a", true, 0, 9 },
		    { "e2", "a", false, 0.1, 9 },
		    { "e3", "a", false, 0.2, 9 },
		    { "e4", "a", false, 0.3, 9 },
		    { "e5", "a", false, 0.4, 9 },
		    { "e6", "a", false, 0.5, 9 },
		    { "e7", "a", false, 1, 9 } },
		  1,
		  BLAME_CLEAN },
		{ "three of nine",
		  { { "e1", "a", true, 0, 9 },
		    { "e2", "a", false, 0.5, 9 },
		    { "e3", "a", false, 1, 9 } },
		  1,
		  BLAME_SUSPECT },
		{ "three of three, one reported late",
		  { { "e1", "a", true, 0, 3 },
		    { "e2", "a", false, 0.5, 3 },
		    { "e3", "a", false, 1.9, 3 } },
		  1.9,
		  BLAME_CLEAN },
		{ "both of a data centre of two",
		  { { "e1", "a", true, 0, 2 }, { "e2", "a", false, 1, 2 } },
		  1,
		  BLAME_CLEAN },
		{ "two of a larger one",
		  { { "e1", "a", true, 0, 9 }, { "e2", "a", false, 1, 9 } },
		  1,
		  BLAME_SUSPECT },
		{ "three far apart",
		  { { "e1", "a", true, 0, 3 },
		    { "e2", "a", false, 3, 3 },
		    { "e3", "a", false, 6, 3 } },
		  6,
		  BLAME_SUSPECT },
		{ "one each of three data centres",
		  { { "e1", "a", true, 0, 3 },
		    { "e2", "b", false, 0, 3 },
		    { "e3", "c", false, 0, 3 } },
		  1,
		  BLAME_SUSPECT },
		{ "the same server told of three times",
		  { { "e1", "a", true, 0, 2 },
		    { "e1", "a", false, 0.1, 2 },
		    { "e1", "a", true, 0.2, 2 } },
		  1,
		  BLAME_SUSPECT },
		{ "an eviction between two crashes",
		  { { "e1", "a", true, 0, 9 },
		    { "e2", "b", true, 10, 3 },
		    { "e3", "b", false, 10.1, 3 },
		    { "e4", "b", false, 10.2, 3 },
		    { "e5", "c", true, 20, 9 } },
		  23,
		  BLAME_QUARANTINED },
		{ "a second loss that was an eviction",
		  { { "e1", "a", true, 0, 9 },
		    { "e2", "b", true, 10, 3 },
		    { "e3", "b", false, 11, 3 },
		    { "e4", "b", false, 11.5, 3 } },
		  14,
		  BLAME_SUSPECT },
		{ "two evictions with the same request are suspicious",
		  { { "e1", "a", true, 0, 2 },
		    { "e2", "a", false, 0, 2 },
		    { "e3", "b", true, 10, 2 },
		    { "e4", "b", false, 10, 2 } },
		  14,
		  BLAME_SUSPECT },
	};

	for (const auto &c : cases) {
		blame_finish(&blame);
		blame_init(&blame, &listener.base);
		for (const Lost &lost : c.losses) {
			lose(lost.server, lost.data_centre,
			     lost.runs_request ? std::vector<uint64_t>({ bad })
					       : std::vector<uint64_t>(),
			     lost.at_s, lost.there);
			blame_tick(&blame, ns(lost.at_s));
		}
		EXPECT_EQ(c.verdict, judge(bad, c.judged_at_s)) << c.name;
	}
}

TEST_F(BlameTest, PlacesASuspect)
{
	const struct {
		const char *name;
		std::vector<struct blame_place> places;
		double at_s;
		enum blame_placement placement;
		uint32_t chosen;
	} cases[] = {
		{ "none", {}, 1, BLAME_WAIT, 0 },
		{ "hints are on their way",
		  { { "e2", "b", 0, 0 } },
		  0.2,
		  BLAME_WAIT,
		  0 },
		{ "an empty one", { { "e2", "b", 0, 0 } }, 1, BLAME_RUN, 0 },
		{ "a busy one is drained",
		  { { "e2", "b", 2, 0 } },
		  1,
		  BLAME_DRAIN,
		  0 },
		{ "but not for ever",
		  { { "e2", "b", 2, 0 } },
		  5,
		  BLAME_RUN,
		  0 },
		{ "not where another suspect is",
		  { { "e1", "b", 0, 1 }, { "e2", "b", 2, 0 } },
		  1,
		  BLAME_DRAIN,
		  1 },
		{ "not yet in the data centre of the loss",
		  { { "e1", "a", 0, 0 }, { "e2", "b", 2, 0 } },
		  1,
		  BLAME_DRAIN,
		  1 },
		{ "nowhere else", { { "e1", "a", 0, 0 } }, 1, BLAME_WAIT, 0 },
		{ "later there too", { { "e1", "a", 0, 0 } }, 3, BLAME_RUN, 0 },
	};

	lose("e0", "a", { bad }, 0);
	for (const auto &c : cases) {
		uint32_t chosen = 0;

		EXPECT_EQ(c.placement,
			  blame_place(&blame, bad, c.places.data(),
				      static_cast<uint32_t>(c.places.size()),
				      ns(c.at_s), &chosen))
			<< c.name;
		EXPECT_EQ(c.chosen, chosen) << c.name;
	}
}

/* Four suspects of one loss get four different servers; a fifth waits. */
TEST_F(BlameTest, DealsSuspectsOutOverServers)
{
	const struct blame_place places[] = { { "e1", "b", 0, 0 },
					      { "e2", "b", 0, 0 },
					      { "e3", "b", 0, 0 },
					      { "e4", "b", 0, 0 } };
	std::vector<bool> taken(4);

	lose("e0", "a", { 11, 22, 33, 44, 55 }, 0);
	for (uint64_t fingerprint : { 44, 22, 11, 33 }) {
		uint32_t chosen = 9;

		ASSERT_EQ(BLAME_RUN, blame_place(&blame, fingerprint, places, 4,
						 ns(1), &chosen));
		EXPECT_FALSE(taken[chosen]);
		taken[chosen] = true;
	}
	uint32_t chosen;
	EXPECT_EQ(BLAME_WAIT,
		  blame_place(&blame, 55, places, 4, ns(1), &chosen));
}

/* Two requests ran on both lost servers, so either may be the cause. */
TEST_F(BlameTest, BlamesNeitherOfTwoThatSharedBothLosses)
{
	lose("e1", "a", { bad, 7 }, 0);
	lose("e2", "b", { bad }, 5);
	lose("e2", "b", { 7 }, 5.01); /* as reported by another daemon */
	EXPECT_EQ(BLAME_HELD, judge(7, 6));
	EXPECT_EQ(BLAME_SUSPECT, judge(7, 8));
	EXPECT_EQ(BLAME_SUSPECT, judge(bad, 8));
	lose("e3", "c", { bad }, 9);
	EXPECT_EQ(BLAME_QUARANTINED, judge(bad, 12));
	EXPECT_EQ(BLAME_SUSPECT, judge(7, 12));
}

/* Passes hints to the blame of another daemon, as the peer service does. */
struct HintPipe {
	struct blame_listener base;
	struct blame *to;
	int64_t now_ns;
	int quarantines;
};

static void pipe_hint(struct blame_listener *base,
		      Currant__QuarantineHint *hint)
{
	HintPipe *pipe = reinterpret_cast<HintPipe *>(base);

	if (pipe->to)
		blame_on_hint(pipe->to, hint, pipe->now_ns);
}

static void pipe_quarantine(struct blame_listener *base, uint64_t, int64_t)
{
	reinterpret_cast<HintPipe *>(base)->quarantines++;
}

static const struct blame_listener_vtable pipe_vtable = { pipe_hint,
							  pipe_quarantine };

TEST(BlameHint, AnotherDaemonGoesOnWhereOneDied)
{
	struct blame first, second;
	HintPipe pipe = { { &pipe_vtable }, &second, 0, 0 };
	HintPipe own = { { &pipe_vtable }, nullptr, 0, 0 };
	uint64_t running[] = { bad };
	struct blame_loss loss = { "e1", "a", 9, running, 1 };

	blame_init(&first, &pipe.base);
	blame_init(&second, &own.base);
	blame_on_loss(&first, &loss, 0);
	EXPECT_EQ(BLAME_SUSPECT, blame_judge(&second, bad, 0));
	/* The second loss is seen by the first daemon, which then dies. */
	loss.server = "e2";
	pipe.now_ns = 5 * NS_PER_S;
	blame_on_loss(&first, &loss, pipe.now_ns);
	blame_finish(&first);
	EXPECT_EQ(BLAME_HELD, blame_judge(&second, bad, 6 * NS_PER_S));
	blame_tick(&second, 8 * NS_PER_S);
	EXPECT_EQ(BLAME_QUARANTINED, blame_judge(&second, bad, 8 * NS_PER_S));
	/* Losses that only peers saw are logged by those peers. */
	EXPECT_EQ(0, own.quarantines);
	blame_finish(&second);
}

TEST(BlameHint, NewsIsSentOnOnce)
{
	struct blame blame;
	Currant__QuarantineHint hint = CURRANT__QUARANTINE_HINT__INIT;
	Currant__Crash crash = CURRANT__CRASH__INIT;
	Currant__Crash *list[] = { &crash };
	std::string too_long(NAME_BYTES, 'x');

	blame_init(&blame, nullptr);
	crash.server = const_cast<char *>("e1");
	crash.data_centre = const_cast<char *>("a");
	hint.fingerprint = bad;
	hint.crashes = 1;
	hint.crash_list = list;
	hint.n_crash_list = 1;
	EXPECT_TRUE(blame_on_hint(&blame, &hint, 0));
	EXPECT_FALSE(blame_on_hint(&blame, &hint, NS_PER_S));
	hint.quarantine_ms = 1000;
	EXPECT_TRUE(blame_on_hint(&blame, &hint, NS_PER_S));
	EXPECT_EQ(BLAME_QUARANTINED, blame_judge(&blame, bad, NS_PER_S));
	EXPECT_EQ(BLAME_CLEAN, blame_judge(&blame, bad, 2 * NS_PER_S));
	hint.quarantine_ms = 0;
	crash.server = const_cast<char *>(too_long.c_str());
	EXPECT_FALSE(blame_on_hint(&blame, &hint, 9 * NS_PER_S));
	hint.crashes = 0;
	EXPECT_TRUE(blame_on_hint(&blame, &hint, 9 * NS_PER_S));
	EXPECT_FALSE(blame_on_hint(&blame, &hint, 9 * NS_PER_S));
	blame_finish(&blame);
}

TEST_F(BlameTest, ForgetsSuspectsBeforeQuarantinedOnes)
{
	lose("e1", "a", { bad }, 0);
	lose("e2", "b", { bad }, 10);
	ASSERT_EQ(BLAME_QUARANTINED, judge(bad, 13));
	for (uint64_t i = 0; i < BLAME_MAX_ENTRIES + 100; i++)
		lose(("x" + std::to_string(i)).c_str(), "c", { 1000 + i },
		     20 + i * 0.001, 100000);
	EXPECT_EQ(static_cast<uint32_t>(BLAME_MAX_ENTRIES), blame.count);
	EXPECT_EQ(BLAME_QUARANTINED, judge(bad, 100));
}

/* A starting daemon gets entries from a peer that the log may not hold yet. */
TEST_F(BlameTest, APeerThatStartsIsToldAll)
{
	Listener other;

	other.base.vt = &vtable;
	lose("e1", "a", { bad, 1 }, 0);
	lose("e2", "a", { bad }, 3);
	EXPECT_EQ(BLAME_QUARANTINED, judge(bad, 6));
	blame_send_all_hints(&blame, &other.base, ns(6));
	EXPECT_EQ((std::vector<uint32_t>{ 2, 1 }), other.hints);
}

TEST_F(BlameTest, AVerdictHasAnAge)
{
	EXPECT_EQ(-1, blame_verdict_age_ns(&blame, bad, ns(1)));
	lose("e1", "a", { bad }, 0);
	EXPECT_EQ(-1, blame_verdict_age_ns(&blame, bad, ns(1)));
	lose("e2", "a", { bad }, 3);
	EXPECT_EQ(BLAME_QUARANTINED, judge(bad, 6));
	EXPECT_EQ(ns(2), blame_verdict_age_ns(&blame, bad, ns(8)));
}

/*
 * Seeds 1 to 40: one request that crashes servers, among harmless ones, over
 * three daemons. It crashes at most two servers and is then rejected; no
 * harmless request is rejected.
 */
TEST(BlameProperty, ACulpritHarmsTwoServersAtMost)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		BlameWorld world({ seed, 1, false, true, 3 });

		world.run(600);
		ASSERT_EQ(1u, world.servers_crashed.size()) << seed;
		EXPECT_LE(world.servers_crashed.begin()->second, 2) << seed;
		EXPECT_GT(world.culprits_rejected, 0) << seed;
		EXPECT_EQ(0, world.harmless_rejected) << seed;
		EXPECT_GT(world.harmless_done, 1000) << seed;
	}
}

/* Seeds 1 to 40: evictions of whole data centres make no request suspect. */
TEST(BlameProperty, EvictionsBlameNobody)
{
	for (uint64_t seed = 1; seed <= 40; seed++) {
		BlameWorld world({ seed, 0, true, true, 3 });

		world.run(1000);
		EXPECT_EQ(0, world.harmless_rejected) << seed;
		EXPECT_GT(world.harmless_done, 1000) << seed;
	}
}
