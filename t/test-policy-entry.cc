// Tables of cases for the decisions of entry daemons: retries, choice of
// servers, engines and hosts, weight loads.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "base/hash.h"
#include "policy/address_answer.h"
#include "policy/attempt_plan.h"
#include "policy/choice_sample.h"
#include "policy/engine_pace.h"
#include "policy/item_move.h"
#include "policy/item_order.h"
#include "policy/item_place.h"
#include "policy/key_trust.h"
#include "policy/partition_owner.h"
#include "policy/plain_choice.h"
#include "policy/team_turns.h"
#include "policy/version_plan.h"
}

namespace
{

struct PlanCase {
	const char *name;
	struct attempt_state state;
	enum attempt_outcome outcome;
	enum attempt_action action;
};

struct attempt_state state(int may_repeat, int may_have_run, uint32_t sent,
			   uint32_t running = 0, int stale = 0, int over = 0)
{
	struct attempt_state s = {};

	s.may_repeat = may_repeat;
	s.may_have_run = may_have_run;
	s.sent = sent;
	s.max_attempts = 2;
	s.running = running;
	s.stale_retries = stale;
	s.out_of_time = over;
	return s;
}

} // namespace

TEST(AttemptPlan, SaysNotRunOnlyWhereItIsTrue)
{
	const PlanCase cases[] = {
		{ "answered", state(0, 1, 1), ATTEMPT_ANSWERED,
		  ATTEMPT_DELIVER },
		{ "refused by the server", state(0, 0, 1), ATTEMPT_NOT_RUN,
		  ATTEMPT_RETRY_OTHER },
		{ "refused by the last server", state(0, 0, 2), ATTEMPT_NOT_RUN,
		  ATTEMPT_REFUSE },
		{ "not reached", state(0, 0, 1), ATTEMPT_NOT_SENT,
		  ATTEMPT_RETRY_OTHER },
		{ "lost, may run once", state(0, 1, 1), ATTEMPT_LOST,
		  ATTEMPT_UNKNOWN },
		{ "lost, may run again", state(1, 1, 1), ATTEMPT_LOST,
		  ATTEMPT_RETRY_OTHER },
		{ "lost at the last server", state(1, 1, 2), ATTEMPT_LOST,
		  ATTEMPT_UNKNOWN },
		{ "not reached, after one was lost", state(1, 1, 2),
		  ATTEMPT_NOT_SENT, ATTEMPT_UNKNOWN },
		{ "refused, after one was lost, may run once", state(0, 1, 2),
		  ATTEMPT_NOT_RUN, ATTEMPT_UNKNOWN },
		{ "failed, may run again", state(1, 1, 1), ATTEMPT_FAILED,
		  ATTEMPT_RETRY_OTHER },
		{ "failed, may run once", state(0, 1, 1), ATTEMPT_FAILED,
		  ATTEMPT_DELIVER },
		{ "failed at the last server", state(1, 1, 2), ATTEMPT_FAILED,
		  ATTEMPT_DELIVER },
		{ "another try runs", state(1, 1, 2, 1), ATTEMPT_LOST,
		  ATTEMPT_WAIT },
		{ "closed kept connection", state(1, 1, 1), ATTEMPT_STALE,
		  ATTEMPT_RETRY_SAME },
		{ "closed kept connections", state(1, 1, 1, 0, 2),
		  ATTEMPT_STALE, ATTEMPT_RETRY_OTHER },
		{ "closed kept connection, may run once", state(0, 1, 1),
		  ATTEMPT_STALE, ATTEMPT_UNKNOWN },
		{ "closed kept connection, takes nothing now",
		  [] {
			  struct attempt_state s = state(1, 1, 1);

			  s.server_closed = 1;
			  return s;
		  }(),
		  ATTEMPT_STALE, ATTEMPT_RETRY_OTHER },
		{ "time is over", state(1, 0, 1, 0, 0, 1), ATTEMPT_NOT_RUN,
		  ATTEMPT_REFUSE },
		{ "time is over, may have run", state(1, 1, 1, 0, 0, 1),
		  ATTEMPT_LOST, ATTEMPT_UNKNOWN },
	};

	for (const PlanCase &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.action, attempt_plan(&c.state, c.outcome));
	}
}

// In all states: never "not run" after an attempt that may have run.
TEST(AttemptPlan, NeverRefusesWhatMayHaveRun)
{
	for (int bits = 0; bits < 1 << 6; bits++) {
		struct attempt_state s =
			state(bits & 1, 1, 1 + (bits >> 1 & 1), bits >> 2 & 1,
			      bits >> 3 & 1 ? 2 : 0, bits >> 4 & 1);

		for (int o = ATTEMPT_ANSWERED; o <= ATTEMPT_LOST; o++)
			EXPECT_NE(ATTEMPT_REFUSE,
				  attempt_plan(&s, (enum attempt_outcome)o));
	}
}

namespace
{

struct plain_server server(uint32_t own, uint32_t reported = 0,
			   int64_t age_ms = -1, int local = 0, int usable = 1,
			   int tried = 0)
{
	struct plain_server s = {};

	s.slots = 6;
	s.own_running = own;
	s.reported = reported;
	s.reported_age_ns = age_ms < 0 ? -1 : age_ms * NS_PER_MS;
	s.same_data_centre = local;
	s.usable = usable;
	s.tried = tried;
	return s;
}

struct ChoiceCase {
	const char *name;
	std::vector<struct plain_server> servers;
	int32_t chosen;
};

} // namespace

namespace
{

// Returns the candidates, except the removed ones, that a host considers.
std::set<uint32_t> considered_by(uint64_t host, uint32_t candidates,
				 uint32_t limit,
				 const std::set<uint32_t> &removed = {})
{
	std::vector<uint32_t> places(limit, candidates);
	struct choice_sample sample;

	choice_sample_begin(&sample, limit);
	for (uint32_t i = 0; i < candidates; i++) {
		uint64_t rank =
			hash_text(("server" + std::to_string(i)).c_str(), host);
		int32_t place = removed.count(i)
					? -1
					: choice_sample_offer(&sample, rank);

		if (place >= 0)
			places[(size_t)place] = i;
	}
	places.resize(sample.count);
	return std::set<uint32_t>(places.begin(), places.end());
}

} // namespace

// Each host considers 64 of 640 candidates; over all hosts each one is
// considered equally often.
TEST(ChoiceSample, LooksAtEachCandidateAlike)
{
	const uint32_t limit = 64, candidates = 640;
	const int hosts = 4000;
	std::vector<int> considered(candidates);

	for (int host = 0; host < hosts; host++) {
		std::set<uint32_t> own =
			considered_by((uint64_t)host, candidates, limit);

		EXPECT_EQ(limit, own.size());
		for (uint32_t candidate : own)
			considered[candidate]++;
	}
	/* The expected value is 400; six standard deviations are 114. */
	for (int times : considered)
		EXPECT_NEAR(hosts * (int)limit / (int)candidates, times, 114);
}

// A host keeps those of its candidates that can still be chosen.
TEST(ChoiceSample, ChangesOnlyForThoseThatAreGone)
{
	std::set<uint32_t> before = considered_by(7, 640, 64);
	std::set<uint32_t> removed(before.begin(),
				   std::next(before.begin(), 10));
	std::set<uint32_t> after = considered_by(7, 640, 64, removed);
	uint32_t kept = 0;

	EXPECT_EQ(before, considered_by(7, 640, 64));
	EXPECT_EQ(64u, after.size());
	for (uint32_t candidate : after)
		kept += (uint32_t)before.count(candidate);
	EXPECT_EQ(54u, kept);
}

TEST(ChoiceSample, LooksAtAllWhereThereIsRoom)
{
	EXPECT_EQ(5u, considered_by(1, 5, 5).size());
	EXPECT_EQ(3u, considered_by(1, 3, 5).size());
	EXPECT_EQ(0u, considered_by(1, 0, 5).size());
}

// A host that was cut off from the store at 10 s, with a bound of 5 s.
TEST(KeyTrust, EndsBeforeTheBound)
{
	const struct {
		const char *name;
		uint32_t bound_ms;
		int64_t now_ms;
		int holds;
	} cases[] = {
		{ "just read", 5000, 10000, 1 },
		{ "between two reads", 5000, 12000, 1 },
		{ "cut off for most of the bound", 5000, 14500, 1 },
		{ "the rest is for the way to the server", 5000, 14501, 0 },
		{ "cut off for long", 5000, 100000, 0 },
		{ "a shorter bound", 1000, 10901, 0 },
		{ "no bound", 0, 100000, 1 },
	};

	for (const auto &c : cases) {
		struct key_trust trust = {};

		key_trust_set_bound(&trust, c.bound_ms);
		key_trust_confirm(&trust, 10 * NS_PER_S);
		key_trust_confirm(&trust, 9 * NS_PER_S); /* out of order */
		EXPECT_EQ(c.holds,
			  key_trust_holds(&trust, c.now_ms * NS_PER_MS))
			<< c.name;
	}
}

TEST(PlainChoice, TakesTheLeastLoadedThenTheNearest)
{
	const ChoiceCase cases[] = {
		{ "none", {}, -1 },
		{ "none usable", { server(0, 0, -1, 0, 0) }, -1 },
		{ "all tried", { server(0, 0, -1, 0, 1, 1) }, -1 },
		{ "least own", { server(4), server(1), server(3) }, 1 },
		{ "a fresh report counts",
		  { server(0, 6, 10, 1), server(1, 0, 10) },
		  1 },
		{ "an old report does not",
		  { server(0, 6, 5000, 1), server(0, 0, 10) },
		  0 },
		{ "the nearest of equal ones",
		  { server(0), server(0, 0, -1, 1), server(0) },
		  1 },
		{ "a little more load is equal",
		  { server(0), server(1, 0, -1, 1) },
		  1 },
		{ "much more is not", { server(0), server(4, 0, -1, 1) }, 0 },
	};

	for (const ChoiceCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct rng rng;

		rng_init(&rng, 1);
		EXPECT_EQ(c.chosen,
			  plain_choice(c.servers.data(),
				       (uint32_t)c.servers.size(), &rng));
	}
}

TEST(PlainChoice, SpreadsOverEqualServers)
{
	std::vector<struct plain_server> servers(4, server(0));
	std::map<int32_t, int> chosen;
	struct rng rng;

	rng_init(&rng, 5);
	for (int i = 0; i < 4000; i++)
		chosen[plain_choice(servers.data(), 4, &rng)]++;
	for (int i = 0; i < 4; i++)
		EXPECT_NEAR(1000, chosen[i], 150);
}

namespace
{

struct AddressCase {
	const char *name;
	std::vector<struct address_candidate> hosts;
	std::vector<uint32_t> expected;
};

} // namespace

TEST(AddressAnswer, NamesTheNearestThatTakeCalls)
{
	const AddressCase cases[] = {
		{ "own data centre",
		  { { "a", "r", 1 }, { "b", "r", 1 }, { "a", "r", 1 } },
		  { 0, 2 } },
		{ "one alone is too few",
		  { { "a", "r", 1 }, { "b", "r", 1 }, { "b", "q", 1 } },
		  { 0, 1 } },
		{ "those that take no calls are left out",
		  { { "a", "r", 0 }, { "a", "r", 1 }, { "b", "r", 1 } },
		  { 1, 2 } },
		{ "far ones where nothing else is",
		  { { "x", "q", 1 }, { "a", "r", 1 } },
		  { 0, 1 } },
		{ "none", { { "a", "r", 0 } }, {} },
	};

	for (const AddressCase &c : cases) {
		SCOPED_TRACE(c.name);
		uint32_t out[ADDRESS_ANSWER_MAX];
		struct rng rng;
		uint32_t count;

		rng_init(&rng, 1);
		count = address_answer(c.hosts.data(), (uint32_t)c.hosts.size(),
				       "a", "r", &rng, out, ADDRESS_ANSWER_MAX);
		EXPECT_EQ(c.expected, std::vector<uint32_t>(out, out + count));
	}
}

TEST(AddressAnswer, NamesABoundedNumberAtRandom)
{
	std::vector<struct address_candidate> hosts(200, { "a", "r", 1 });
	uint32_t out[ADDRESS_ANSWER_MAX];
	std::map<uint32_t, int> named;
	struct rng rng;

	rng_init(&rng, 3);
	for (int i = 0; i < 500; i++) {
		uint32_t count = address_answer(hosts.data(), 200, "a", "r",
						&rng, out, ADDRESS_ANSWER_MAX);

		ASSERT_EQ((uint32_t)ADDRESS_ANSWER_MAX, count);
		for (uint32_t at = 0; at < count; at++)
			named[out[at]]++;
	}
	for (uint32_t i = 0; i < 200; i++)
		EXPECT_NEAR(160, named[i], 60);
}

namespace
{

struct OwnerCase {
	const char *name;
	struct owner_view view;
	int claims;
};

} // namespace

TEST(PartitionOwner, ClaimsWhatNobodyRuns)
{
	const OwnerCase cases[] = {
		{ "first, no owner", { 1, 0, 0, 1, 0, 500, 500 }, 1 },
		{ "not first, no owner", { 1, 0, 0, 0, 0, 500, 500 }, 0 },
		{ "not first, has the batch", { 1, 0, 0, 0, 1, 500, 500 }, 1 },
		{ "weak, has the batch", { 1, 0, 0, 0, 1, 120, 500 }, 0 },
		{ "owner lives", { 1, 0, 1, 1, 1, 500, 500 }, 0 },
		{ "owns it", { 1, 1, 0, 1, 1, 500, 500 }, 0 },
		{ "not ready", { 0, 0, 0, 1, 1, 500, 500 }, 0 },
	};

	for (const OwnerCase &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.claims, partition_owner_claims(&c.view));
	}
}

TEST(PartitionOwner, RanksAlikeEverywhereAndByProcessor)
{
	std::vector<std::string> names;
	std::vector<struct owner_candidate> hosts;
	std::map<int32_t, int> owned;

	for (int i = 0; i < 10; i++)
		names.push_back("host-" + std::to_string(i));
	for (int i = 0; i < 10; i++)
		hosts.push_back(
			{ names[i].c_str(), i < 5 ? 100u : 500u, i != 9 });
	for (uint32_t p = 0; p < 3000; p++) {
		std::vector<struct owner_candidate> turned(hosts.rbegin(),
							   hosts.rend());
		int32_t rank = partition_owner_rank(hosts.data(), 10, p);

		owned[rank]++;
		EXPECT_EQ(9 - rank, partition_owner_rank(turned.data(), 10, p));
		EXPECT_EQ(0u, partition_owner_position(
				      hosts.data(), 10, p,
				      names[(size_t)rank].c_str()));
	}
	EXPECT_EQ(0, owned[9]);
	for (int i = 0; i < 5; i++)
		EXPECT_NEAR(3000 * 100 / 2500, owned[i], 60);
	for (int i = 5; i < 9; i++)
		EXPECT_NEAR(3000 * 500 / 2500, owned[i], 120);
}

// The loss of one host moves only its own partitions.
TEST(PartitionOwner, MovesOnlyWhatTheLostHostHad)
{
	std::vector<struct owner_candidate> hosts = { { "a", 500, 1 },
						      { "b", 500, 1 },
						      { "c", 500, 1 } };

	for (uint32_t p = 0; p < 500; p++) {
		int32_t before, after;

		hosts[1].takes_calls = 1;
		before = partition_owner_rank(hosts.data(), 3, p);
		hosts[1].takes_calls = 0;
		after = partition_owner_rank(hosts.data(), 3, p);
		if (before != 1) {
			EXPECT_EQ(before, after);
		}
	}
}

namespace
{

struct item_rank rank(uint64_t step, int required, double left,
		      uint32_t group_left = 4, uint32_t number = 0)
{
	struct item_rank r = {};

	r.step = step;
	r.is_required = required;
	r.tokens_left = left;
	r.group_left = group_left;
	r.number = number;
	return r;
}

struct OrderCase {
	const char *name;
	struct item_rank first, second;
};

} // namespace

TEST(TeamTurns, GoByUrgencyThenByWhatRuns)
{
	const struct {
		const char *name;
		std::vector<struct turn_team> teams;
		std::vector<uint32_t> team_of;
		std::vector<uint32_t> order;
	} cases[] = {
		{ "none", {}, {}, {} },
		{ "one team keeps its order",
		  { { 1, 5 } },
		  { 0, 0, 0 },
		  { 0, 1, 2 } },
		{ "two teams in turn",
		  { { 1, 0 }, { 1, 0 } },
		  { 0, 0, 0, 1, 1 },
		  { 0, 3, 1, 4, 2 } },
		{ "who runs more waits",
		  { { 1, 2 }, { 1, 0 } },
		  { 0, 0, 1, 1, 1, 1 },
		  { 2, 3, 0, 4, 1, 5 } },
		{ "the more urgent one first",
		  { { 1, 0 }, { 0, 9 } },
		  { 0, 0, 1, 1 },
		  { 2, 3, 0, 1 } },
		{ "a team without items",
		  { { 1, 0 }, { 1, 0 }, { 1, 3 } },
		  { 2, 2, 1 },
		  { 2, 0, 1 } },
	};

	for (const auto &c : cases) {
		std::vector<struct turn_team> teams = c.teams;
		std::vector<uint32_t> order(c.team_of.size());

		team_turns_order(teams.data(), (uint32_t)teams.size(),
				 c.team_of.data(), (uint32_t)c.team_of.size(),
				 order.data());
		EXPECT_EQ(c.order, order) << c.name;
	}
}

namespace
{

// Two teams at one engine with 16 slots, at 10 ms per token: 400 items of 100
// tokens from the start, and 16 items of 40 tokens that arrive after 2 s.
struct SharedEngine {
	static const uint32_t slots = 16;
	const uint32_t items[2] = { 400, 16 };
	const int64_t item_ms[2] = { 1000, 400 };
	const int64_t from_ms[2] = { 0, 2000 };

	// Returns when the last item of each team ends, ordered by length alone
	// or by team.
	std::vector<int64_t> simulate(bool by_team)
	{
		std::vector<std::pair<int64_t, uint32_t>> running;
		uint32_t left[2] = { items[0], items[1] };
		std::vector<int64_t> ended(2);

		for (int64_t now = 0; left[0] || left[1] || !running.empty();
		     now += 100) {
			for (size_t i = running.size(); i-- > 0;)
				if (running[i].first <= now) {
					ended[running[i].second] = now;
					running.erase(running.begin() +
						      (long)i);
				}
			for (uint32_t team :
			     next(left, running, now, by_team)) {
				if (running.size() == slots)
					break;
				running.push_back(
					{ now + item_ms[team], team });
				left[team]--;
			}
		}
		return ended;
	}

      private:
	std::vector<uint32_t>
	next(const uint32_t *left,
	     const std::vector<std::pair<int64_t, uint32_t>> &running,
	     int64_t now, bool by_team)
	{
		struct turn_team teams[2] = { { 1, 0 }, { 1, 0 } };
		std::vector<uint32_t> waiting, order, ordered;

		for (uint32_t team = 0; team < 2; team++)
			if (now >= from_ms[team])
				waiting.insert(waiting.end(), left[team], team);
		if (!by_team)
			return waiting; /* the longest first */
		for (const auto &run : running)
			teams[run.second].running++;
		order.resize(waiting.size());
		team_turns_order(teams, 2, waiting.data(),
				 (uint32_t)waiting.size(), order.data());
		for (uint32_t i : order)
			ordered.push_back(waiting[i]);
		return ordered;
	}
};

} // namespace

TEST(TeamTurns, ASmallBatchDoesNotWaitForALargeOne)
{
	SharedEngine engine;
	std::vector<int64_t> before = engine.simulate(false);
	std::vector<int64_t> after = engine.simulate(true);

	printf("[ figures  ] by length: %lld and %lld ms; in turns: %lld and "
	       "%lld ms\n",
	       (long long)before[0], (long long)before[1], (long long)after[0],
	       (long long)after[1]);
	EXPECT_GT(before[1], 20000);
	/*
	 * Half of the slots: twice the 400 ms, plus up to one item until a slot
	 * is free.
	 */
	EXPECT_LE(after[1] - 2000, 2 * 400 + 1000);
	/*
	 * The large batch loses the time of the small one and at most one item.
	 */
	EXPECT_LE(after[0] - before[0], 400 + 1000);
}

TEST(ItemOrder, PutsWhatEndsTheStepFirst)
{
	const OrderCase cases[] = {
		{ "required groups", rank(2, 1, 10), rank(2, 0, 900) },
		{ "the older step", rank(2, 0, 10), rank(3, 0, 900) },
		{ "the longer item", rank(2, 0, 900), rank(2, 0, 10) },
		{ "the group that needs less", rank(2, 0, 9, 1, 5),
		  rank(2, 0, 9, 3, 1) },
		{ "the lower number", rank(2, 0, 9, 3, 1),
		  rank(2, 0, 9, 3, 2) },
	};

	for (const OrderCase &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_LT(item_order_compare(&c.first, &c.second), 0);
		EXPECT_GT(item_order_compare(&c.second, &c.first), 0);
	}
}

TEST(ItemOrder, CorrectsEstimatesByWhatCame)
{
	EXPECT_DOUBLE_EQ(100, item_expected_tokens(100, 1000, 0));
	EXPECT_DOUBLE_EQ(100, item_expected_tokens(100, 1000, 60));
	EXPECT_DOUBLE_EQ(300, item_expected_tokens(100, 1000, 200));
	EXPECT_DOUBLE_EQ(1000, item_expected_tokens(100, 1000, 900));
	EXPECT_DOUBLE_EQ(50, item_expected_tokens(100, 50, 0));
	EXPECT_DOUBLE_EQ(250, item_expected_tokens(0, 1000, 0));
}

namespace
{

struct place_engine engine(uint32_t running, double speed = 1,
			   double memory = 1e9, int usable = 1)
{
	struct place_engine e = {};

	e.usable = usable;
	e.slots = 12;
	e.running = running;
	e.memory_tokens = memory;
	e.speed = speed;
	return e;
}

struct place_engine failed(uint32_t running)
{
	struct place_engine e = engine(running);

	e.failed_before = 1;
	return e;
}

struct PlaceCase {
	const char *name;
	std::vector<struct place_engine> engines;
	int32_t chosen;
};

} // namespace

TEST(ItemPlace, PutsAnItemWhereItEndsFirst)
{
	const PlaceCase cases[] = {
		{ "none", {}, -1 },
		{ "the emptiest", { engine(5), engine(2), engine(9) }, 1 },
		{ "not a slow one", { engine(0, 0.3), engine(6) }, 1 },
		{ "a slow one before a full one",
		  { engine(0, 0.8), engine(12) },
		  0 },
		{ "not without memory", { engine(0, 1, 100), engine(9) }, 1 },
		{ "not an unusable one",
		  { engine(0, 1, 1e9, 0), engine(9) },
		  1 },
		{ "not where it failed", { failed(0), engine(9) }, 1 },
		{ "where it failed, if there is no other",
		  { failed(0), engine(0, 1, 1e9, 0) },
		  0 },
	};
	struct place_item item = {};

	item.tokens_left = 500;
	item.memory_tokens = 800;
	for (const PlaceCase &c : cases) {
		SCOPED_TRACE(c.name);
		EXPECT_EQ(c.chosen,
			  item_place(c.engines.data(),
				     (uint32_t)c.engines.size(), &item));
	}
}

namespace
{

// Pace of an engine with `running` runs whose events arrive every
// `interval_ms`, after `events` of them.
struct engine_pace pace(int events, double interval_ms, uint32_t running = 1,
			int64_t *now_ns = nullptr)
{
	struct engine_pace p = {};
	int64_t at = 100 * NS_PER_S;

	for (int i = 0; i < events; i++) {
		at += (int64_t)(interval_ms * NS_PER_MS / running);
		engine_pace_add(&p, interval_ms * NS_PER_MS, running, at);
	}
	if (now_ns)
		*now_ns = at;
	return p;
}

} // namespace

TEST(EnginePace, SeesASlowEngineAndNotAPauseOrACrowd)
{
	int64_t now = 0;
	struct engine_pace p = pace(20, 30, 1, &now);
	double typical = 30.0 * NS_PER_MS;

	EXPECT_NEAR(1, engine_pace_speed(&p, typical, now), 0.01);
	/* A pause of a second does not change the pace. */
	engine_pace_add(&p, 1000.0 * NS_PER_MS, 1, now);
	EXPECT_NEAR(1, engine_pace_speed(&p, typical, now), 0.01);
	/* Four times slower from now on: detected after a second. */
	for (int i = 0; i < 8; i++)
		engine_pace_add(&p, 120.0 * NS_PER_MS, 1, now);
	EXPECT_LT(engine_pace_speed(&p, typical, now), 0.4);
	/* An old pace is ignored. */
	EXPECT_EQ(1, engine_pace_speed(&p, typical, now + 4 * NS_PER_S));
	/* Many concurrent runs make steps longer; the engine is not slow. */
	p = pace(20, 30 * place_step_time(12), 12, &now);
	EXPECT_NEAR(1, engine_pace_speed(&p, typical, now), 0.01);
	EXPECT_EQ(1, engine_pace_speed(&p, 0, now));
}

TEST(EnginePace, TakesTheLowerMedianForTypical)
{
	double none[1], two[] = { 40, 10 }, five[] = { 9, 90, 10, 11, 80 };

	EXPECT_EQ(0, engine_pace_typical(none, 0));
	EXPECT_EQ(10, engine_pace_typical(two, 2));
	EXPECT_EQ(11, engine_pace_typical(five, 5));
}

namespace
{

struct MoveCase {
	const char *name;
	double tokens_left, here_ms, there_ms;
	bool moves;
};

} // namespace

TEST(ItemMove, PaysForLongItemsOnly)
{
	const MoveCase cases[] = {
		{ "a long item at a slow engine", 1000, 3, 1, true },
		{ "a long item at a crowded engine", 2000, 1.4, 1, true },
		{ "a short item at a slow engine", 50, 3, 1, false },
		{ "a little faster", 5000, 1.1, 1, false },
		{ "slower", 5000, 1, 1.4, false },
		{ "nothing left", 0, 3, 1, false },
	};

	for (const MoveCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct item_move move = { c.tokens_left, c.here_ms * NS_PER_MS,
					  c.there_ms * NS_PER_MS };

		EXPECT_EQ(c.moves, item_move_gain_ns(&move) > 0);
	}
}

namespace
{

struct plan_model model(uint64_t named, uint64_t lag = 1, double tokens = 100)
{
	struct plan_model m = {};

	m.newest_named = named;
	m.lag = lag;
	m.tokens = tokens;
	m.is_active = 1;
	return m;
}

struct plan_engine loaded(int32_t share, std::vector<uint64_t> versions,
			  int loading = 0)
{
	struct plan_engine e = {};

	e.share = share;
	e.usable = 1;
	e.is_loading = loading;
	for (size_t i = 0; i < versions.size(); i++)
		e.versions[i] = versions[i];
	return e;
}

std::vector<uint32_t> shares_of(const std::vector<struct plan_engine> &engines)
{
	std::vector<uint32_t> shares(4);

	for (const struct plan_engine &e : engines)
		if (e.usable && e.share >= 0)
			shares[(size_t)e.share]++;
	return shares;
}

} // namespace

TEST(VersionPlan, SharesEnginesByWhatStepsNeed)
{
	std::vector<struct plan_model> models = { model(2, 1, 100),
						  model(2, 1, 200),
						  model(2, 1, 150) };
	std::vector<struct plan_engine> engines(9, loaded(-1, { 1, 1, 1 }));

	version_plan_shares(models.data(), 3, engines.data(), 9);
	EXPECT_EQ((std::vector<uint32_t>{ 2, 4, 3, 0 }), shares_of(engines));

	std::vector<struct plan_engine> before = engines;

	version_plan_shares(models.data(), 3, engines.data(), 9);
	for (size_t i = 0; i < 9; i++)
		EXPECT_EQ(before[i].share, engines[i].share);

	// If an engine is lost, a model that had two keeps at least one.
	for (struct plan_engine &e : engines)
		if (e.share == 0)
			e.usable = 0;
	version_plan_shares(models.data(), 3, engines.data(), 9);
	EXPECT_GE(shares_of(engines)[0], 1u);
}

TEST(VersionPlan, FewEnginesServeTheModelsThatHaveBatches)
{
	std::vector<struct plan_model> models = { model(2), model(2) };
	std::vector<struct plan_engine> engines = { loaded(0, { 1, 1 }),
						    loaded(-1, { 1, 1 }) };

	models[0].is_active = 0;
	version_plan_shares(models.data(), 2, engines.data(), 2);
	EXPECT_EQ((std::vector<uint32_t>{ 0, 2, 0, 0 }), shares_of(engines));
}

namespace
{

struct LoadCase {
	const char *name;
	std::vector<struct plan_model> models;
	std::vector<struct plan_engine> engines;
	uint32_t at_once;
	std::vector<uint32_t> loads; // engines
};

} // namespace

// Load pattern: a version every few seconds, and steps that may use weights one
// version old.
TEST(VersionPlan, LoadsWhatTheNewestStepNeedsThenHalfAhead)
{
	const LoadCase cases[] = {
		{ "all fit, none ahead yet: half loads ahead",
		  { model(2) },
		  { loaded(0, { 1 }), loaded(0, { 1 }), loaded(0, { 1 }) },
		  2,
		  { 0 } },
		{ "half is ahead: nothing to do",
		  { model(2) },
		  { loaded(0, { 2 }), loaded(0, { 2 }), loaded(0, { 1 }) },
		  2,
		  {} },
		{ "too old ones load at once",
		  { model(3) },
		  { loaded(0, { 2 }), loaded(0, { 1 }), loaded(0, { 1 }) },
		  2,
		  { 1, 2 } },
		{ "the oldest first: the fewest runs are paused there",
		  { model(6) },
		  { loaded(0, { 4 }), loaded(0, { 2 }), loaded(0, { 4 }),
		    loaded(0, { 1 }), loaded(0, { 5 }) },
		  3,
		  { 3, 1, 0 } },
		{ "no more than the bound",
		  { model(3) },
		  { loaded(0, { 1 }), loaded(0, { 1 }), loaded(0, { 1 }) },
		  2,
		  { 0, 1 } },
		{ "what loads counts",
		  { model(3) },
		  { loaded(0, { 1 }, 1), loaded(0, { 1 }), loaded(0, { 1 }) },
		  2,
		  { 1 } },
		{ "models take turns",
		  { model(3), model(3) },
		  { loaded(0, { 1, 1 }), loaded(0, { 1, 1 }),
		    loaded(1, { 1, 1 }), loaded(1, { 1, 1 }) },
		  2,
		  { 0, 2 } },
		{ "the model that has fewest engines for its steps",
		  { model(3), model(3), model(3) },
		  { loaded(0, { 3, 3, 3 }), loaded(0, { 1, 1, 1 }),
		    loaded(1, { 1, 1, 1 }, 1), loaded(1, { 1, 1, 1 }),
		    loaded(2, { 1, 1, 1 }), loaded(2, { 1, 1, 1 }) },
		  2,
		  { 4 } },
		{ "a larger step wants more engines",
		  { model(3, 1, 100), model(3, 1, 300) },
		  { loaded(0, { 3, 3 }), loaded(0, { 1, 1 }),
		    loaded(1, { 3, 3 }), loaded(1, { 1, 1 }),
		    loaded(1, { 1, 1 }) },
		  2,
		  { 3, 4 } },
		{ "no engine for the next step comes before more for this",
		  { model(3), model(2) },
		  { loaded(0, { 3, 1 }), loaded(0, { 1, 1 }),
		    loaded(0, { 1, 1 }), loaded(1, { 1, 1 }),
		    loaded(1, { 1, 1 }) },
		  2,
		  { 3, 1 } },
		{ "some for the next step: this one's first",
		  { model(3), model(2) },
		  { loaded(0, { 3, 1 }), loaded(0, { 1, 1 }),
		    loaded(0, { 1, 1 }), loaded(1, { 1, 2 }),
		    loaded(1, { 1, 1 }), loaded(1, { 1, 1 }) },
		  1,
		  { 1 } },
		{ "an only engine does not load ahead",
		  { model(2) },
		  { loaded(0, { 1 }) },
		  2,
		  {} },
		{ "no lag allowed: all load",
		  { model(2, 0) },
		  { loaded(0, { 1 }), loaded(0, { 1 }) },
		  2,
		  { 0, 1 } },
		{ "another model's engines are left alone",
		  { model(5), model(1) },
		  { loaded(1, { 1, 1 }) },
		  2,
		  {} },
	};

	for (const LoadCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct plan_load loads[16];
		std::vector<uint32_t> chosen;
		uint32_t count = version_plan_loads(
			c.models.data(), (uint32_t)c.models.size(),
			c.engines.data(), (uint32_t)c.engines.size(),
			{ c.at_once, c.at_once }, loads);

		for (uint32_t i = 0; i < count; i++)
			chosen.push_back(loads[i].engine);
		EXPECT_EQ(c.loads, chosen);
	}
}

TEST(VersionPlan, LoadsOnAsManyAtOnceAsThePlatformBears)
{
	const struct {
		uint32_t engines, at_once;
	} sheets[] = { { 1, 2 },  { 9, 2 },   { 11, 2 },
		       { 44, 9 }, { 48, 10 }, { 81, 16 } };

	for (const auto &sheet : sheets)
		EXPECT_EQ(sheet.at_once, version_plan_max_loads(sheet.engines))
			<< sheet.engines;
}

// Over many versions every step finds at least one engine that is ready, and
// there are no more loads than one per version for half of the engines.
TEST(VersionPlan, KeepsHalfOfAShareFitWithHalfTheLoads)
{
	std::vector<struct plan_engine> engines(4, loaded(0, { 1 }));
	struct plan_load loads[16];
	uint32_t load_count = 0;

	for (uint64_t named = 2; named < 42; named++) {
		struct plan_model m = model(named);
		uint32_t fit = 0;
		uint32_t count;

		for (const struct plan_engine &e : engines)
			fit += e.versions[0] + 1 >= named;
		EXPECT_GE(fit, named > 3 ? 2u : 1u) << named;
		while ((count = version_plan_loads(&m, 1, engines.data(), 4,
						   { 2, 2 }, loads)) > 0) {
			load_count += count;
			for (uint32_t i = 0; i < count; i++)
				engines[loads[i].engine].versions[0] = named;
		}
	}
	EXPECT_LE(load_count, 40u * 2 + 4);
}
