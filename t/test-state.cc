// The state that is derived from the log: one record at a time, in tables.
#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "t/lib-record.h"

extern "C" {
#include "state/usage_table.h"
}

namespace
{

struct Seen {
	struct state_observer base;
	std::vector<int> accepted;
	std::vector<uint64_t> positions;
};

void on_applied(struct state_observer *observer, const Currant__Record *,
		uint64_t position, int accepted, const struct error *)
{
	Seen *seen = reinterpret_cast<Seen *>(observer);

	seen->accepted.push_back(accepted);
	seen->positions.push_back(position);
}

// What one step appends: "WRITER VERB ARGUMENTS". "@N" stands for the
// position of step N, "@-" for 0.
struct Step {
	const char *text;
	int accepted;
};

class StateTest : public ::testing::Test
{
      protected:
	StateTest()
	{
		seen.base.applied = on_applied;
		state_set_observer(state, &seen.base);
	}
	~StateTest() override
	{
		state_free(state);
	}

	uint64_t number(const std::string &word)
	{
		if (word == "@-")
			return 0;
		if (word[0] == '@')
			return seen.positions[std::stoul(word.substr(1))];
		return std::stoul(word);
	}

	std::string record(const std::string &text)
	{
		std::istringstream words(text);
		std::string who, verb, a, b, c, out;

		words >> who >> verb >> a >> b >> c;
		Writer &writer = writers[who];
		writer.name = who.substr(0, who.find('#'));
		writer.incarnation = who.find('#') == std::string::npos ? 1 : 2;
		auto pack = [&](const Currant__Record *r) {
			out = packed(writer, r);
		};
		if (verb == "claim")
			with_claim(a, writer.name, writer.incarnation,
				   number(b), pack);
		else if (verb == "forge")
			with_claim(a, "other", writer.incarnation, number(b),
				   pack);
		else if (verb == "release")
			with_release(a, writer.name, writer.incarnation,
				     number(b), pack);
		else if (verb == "partial")
			with_partial(a, number(b), "red", number(c), pack);
		else if (verb == "close")
			with_close(a, number(b), number(c), pack);
		else if (verb == "acknowledge")
			with_acknowledged(a, number(b), pack);
		else if (verb == "create")
			with_create_team(a, b, c, pack);
		else if (verb == "version")
			with_version(a, number(b), pack);
		else if (verb == "quarantine")
			with_quarantine(number(a), number(b), pack);
		else
			ADD_FAILURE() << "no verb " << verb;
		return out;
	}

	void apply(const std::string &entry)
	{
		struct error err = ERROR_INIT;

		EXPECT_EQ(0,
			  state_apply_entry(state, state_next_offset(state),
					    entry.data(), entry.size(), &err))
			<< err.text;
	}

	void run(const std::vector<Step> &steps)
	{
		for (const Step &step : steps) {
			size_t before = seen.accepted.size();

			apply(entry_of({ record(step.text) }));
			ASSERT_EQ(before + 1, seen.accepted.size());
			EXPECT_EQ(step.accepted, seen.accepted.back())
				<< step.text;
		}
	}

	struct state *state = state_new();
	Seen seen;
	std::map<std::string, Writer> writers;
};

} // namespace

TEST_F(StateTest, LeasesTakeOnlyClaimsBasedOnTheNewest)
{
	run({
		{ "a claim orders/x @-", 1 },
		{ "b claim orders/x @-", 0 }, // a came first
		{ "a claim orders/x @0", 1 }, // renewal
		{ "b claim orders/x @0", 0 }, // not the newest
		{ "b forge orders/x @2", 0 }, // for another daemon
		{ "b claim orders/x @2", 1 }, // takes over
		{ "a release orders/x @2", 0 }, // too late
		{ "a release orders/x @5", 0 }, // not the holder
		{ "b release orders/x @5", 1 },
		{ "b#2 claim orders/x @8", 1 }, // next incarnation
	});
	const struct lease *lease = state_lease(state, "orders/x");
	ASSERT_TRUE(lease);
	EXPECT_STREQ("b", lease->holder);
	EXPECT_EQ(2u, lease->holder_incarnation);
	EXPECT_EQ(3u, lease->epoch);
	EXPECT_EQ(seen.positions[9], lease->position);
	EXPECT_EQ(nullptr, state_lease(state, "orders/y"));
}

TEST_F(StateTest, WindowsCloseOnceInOrderAndCarryLateSums)
{
	run({
		{ "a partial p 100 3", 1 },
		{ "b partial p 100 4", 1 },
		{ "a close p 100 1", 0 }, // holds no lease
		{ "a claim usage/p @-", 1 },
		{ "b close p 100 @3", 0 }, // another's lease
		{ "a partial p 160 1", 1 },
		{ "a close p 160 @3", 0 }, // an earlier one is open
		{ "a acknowledge p 100", 0 }, // not closed yet
		{ "a close p 100 @3", 1 },
		{ "a close p 100 @3", 0 }, // twice
		{ "b partial p 100 5", 1 }, // late
		{ "a acknowledge p 100", 1 },
		{ "b claim usage/p @3", 1 },
		{ "a close p 160 @3", 0 }, // lost the lease
		{ "b close p 160 @12", 1 },
	});
	const struct usage_window *first = state_usage_window(state, "p", 100);
	const struct usage_window *second = state_usage_window(state, "p", 160);
	ASSERT_TRUE(first && second);
	ASSERT_EQ(1u, first->figure_count);
	EXPECT_EQ(7u, first->figures[0].requests);
	EXPECT_EQ(0u, first->figures[0].late_requests);
	EXPECT_EQ(1, first->acknowledged);
	ASSERT_EQ(1u, second->figure_count);
	EXPECT_EQ(6u, second->figures[0].requests);
	EXPECT_EQ(5u, second->figures[0].late_requests);
	EXPECT_EQ(60u, second->figures[0].completion_tokens);
	EXPECT_EQ(0, second->acknowledged);
}

TEST_F(StateTest, UnreportedUsageIsRefusedRatherThanForgotten)
{
	run({ { "a claim usage/p @-", 1 } });
	for (uint64_t i = 0; i < USAGE_WINDOWS_MAX; i++)
		apply(entry_of(
			{ record("a partial p " + std::to_string(i) + " 1") }));
	EXPECT_EQ(1, seen.accepted.back());
	run({ { "a partial p 90000 1", 0 },
	      { "a close p 0 @0", 1 },
	      { "a partial p 90000 1", 0 },
	      { "a acknowledge p 0", 1 },
	      { "a partial p 90000 1", 1 } });
	EXPECT_EQ(nullptr, state_usage_window(state, "p", 0));
	struct state_counts counts;
	state_counts(state, &counts);
	EXPECT_EQ(2u, counts.refused_full);
}

TEST_F(StateTest, CommandsVersionsAndQuarantines)
{
	struct verdict verdict;

	run({
		{ "a create c1 red 2", 1 },
		{ "b create c2 red 3", 0 }, // exists
		{ "b create c1 blue 3", 1 }, // known id: the first verdict
		{ "b create c3 blue none", 0 },
		{ "a version lm 4", 1 },
		{ "b version lm 3", 0 },
		{ "a quarantine 77 1000", 1 },
	});
	const struct team *team = config_team(state_config(state), "red");
	ASSERT_TRUE(team);
	EXPECT_EQ(2u, team->weight);
	EXPECT_EQ(seen.positions[0], team->version);
	EXPECT_EQ(nullptr, config_team(state_config(state), "blue"));
	ASSERT_EQ(0, state_verdict(state, "c2", &verdict));
	EXPECT_EQ(0, verdict.accepted);
	EXPECT_NE(std::string::npos,
		  std::string(verdict.error.text).find("red"));
	EXPECT_EQ(-1, state_verdict(state, "c9", &verdict));
	EXPECT_EQ(4u, state_weight_version(state, "lm"));
	EXPECT_EQ(0u, state_weight_version(state, "other"));
	EXPECT_EQ(1, state_quarantined(state, 77, 999));
	EXPECT_EQ(0, state_quarantined(state, 77, 1000));
	EXPECT_EQ(0, state_quarantined(state, 78, 999));
}

TEST_F(StateTest, RepeatsAreIgnored)
{
	std::string create = record("a create c1 red 2");
	std::string partial = record("a partial p 100 3");
	std::string entry = entry_of({ create, partial });
	struct state_counts counts;

	apply(entry);
	apply(entry);
	apply(entry_of({ partial, record("a partial p 100 1") }));
	state_counts(state, &counts);
	EXPECT_EQ(3u, counts.repeats);
	EXPECT_EQ(3u, seen.accepted.size());
	EXPECT_EQ(4u, state_usage_window(state, "p", 100)->figures[0].requests);
}

TEST_F(StateTest, PassesOverWhatItCannotRead)
{
	// Field 99 of a record: a kind that a newer version writes.
	Currant__Record empty = CURRANT__RECORD__INIT;
	writers["a"] = { "a", 1, 0 };
	std::string newer = packed(writers["a"], &empty);
	std::string entry = entry_of({ record("a version lm 2") });
	std::string newer_entry;
	struct error err = ERROR_INIT;
	struct state_counts counts;

	newer += std::string("\x9a\x06\x01z", 4);
	newer_entry = std::string("\x0a", 1) + char(newer.size()) + newer;
	apply(newer_entry);
	apply(std::string("\xff\xff\xff"));
	apply(entry.substr(0, entry.size() - 2));
	apply("");
	apply(entry);
	state_counts(state, &counts);
	EXPECT_EQ(1u, counts.unknown_kinds);
	EXPECT_EQ(2u, counts.broken_entries);
	EXPECT_EQ(2u, state_weight_version(state, "lm"));
	EXPECT_EQ(-1, state_apply_entry(state, 9, entry.data(), entry.size(),
					&err));
	EXPECT_EQ(ERROR_CONFLICT, err.code);
	EXPECT_EQ(0, state_apply_entry(state, 1, "x", 1, &err));
	EXPECT_EQ(5u, state_next_offset(state));
}
