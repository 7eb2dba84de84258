// Acceptance of a command is final, the same on every daemon, in force within
// seconds and never reverts; an answer that is lost is found by its id, and
// "did not take effect" is true.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <thread>

#include "t/lib-daemon.h"

namespace
{

const int64_t PATIENCE_NS = 300 * NS_PER_MS; // of a caller under faults

uint64_t version_of(Daemon *daemon, const char *team)
{
	const struct config *config = log_client_config_begin(&daemon->client);
	const struct team *found = config_team(config, team);
	uint64_t version = found ? found->version : 0;

	log_client_config_end(&daemon->client);
	return version;
}

// Waits for an event that the daemons' threads bring about.
bool wait_until(const std::function<bool()> &done)
{
	struct clock clock;

	system_clock_init(&clock);
	int64_t limit_ns = clock_now_ns(&clock) + DAEMON_LIMIT_NS;
	while (!done() && clock_now_ns(&clock) < limit_ns)
		std::this_thread::yield();
	return done();
}

// Faults of one daemon's way to the log.
struct Faults {
	const char *what;
	int lose_answers, lose_appends, refuse, hold;
	bool down;
};

const Faults fault_cases[] = {
	{ "none", 0, 0, 0, 0, false },
	{ "answer lost after it took effect", 1, 0, 0, 0, false },
	{ "lost before it took effect", 0, 1, 0, 0, false },
	{ "rate limited", 0, 0, 2, 0, false },
	{ "slow: takes effect after the caller gave up", 0, 0, 0, 1000, false },
	{ "every answer lost", 1000, 0, 0, 0, false },
	{ "nothing gets through, unknown", 0, 1000, 0, 0, false },
	{ "log down", 0, 0, 0, 0, true },
};

void set_faults(FakeLogPort *port, const Faults &faults)
{
	port->lose_answers(faults.lose_answers);
	port->lose_appends(faults.lose_appends);
	port->refuse(faults.refuse);
	port->hold(faults.hold);
	port->set_down(faults.down);
}

// An operator's change through one daemon, and what it was told.
struct Change {
	int ret;
	struct error err = ERROR_INIT;
	struct log_result result = {};
	void run(Daemon *daemon, const std::string &id, uint64_t version,
		 int64_t patience_ns)
	{
		with_alter_team(id, "red", "5", version,
				[&](const Currant__Record *record) {
					ret = log_client_append(
						&daemon->client, record,
						patience_ns, &result, &err);
				});
	}
	// Whether what was told is true.
	void check(Verdict verdict)
	{
		if (!ret)
			EXPECT_EQ(result.accepted ? ACCEPTED : REJECTED,
				  verdict);
		else if (err.code == ERROR_UNAVAILABLE)
			EXPECT_EQ(ABSENT, verdict) << err.text;
		else
			EXPECT_EQ(ERROR_UNKNOWN_OUTCOME, err.code);
	}
};

} // namespace

TEST(ProofCommands, OfTwoRacingOperatorsAtMostOneIsAccepted)
{
	for (const Faults &faults : fault_cases) {
		SCOPED_TRACE(faults.what);
		FakeLog log;
		Daemon a(&log, "a", 1), b(&log, "b", 2);
		Change change_a, change_b;

		ASSERT_TRUE(a.start() && b.start());
		ASSERT_EQ(0, a.create("c0", "red"));
		uint64_t version = a.result.position;
		set_faults(&a.port, faults);
		std::thread other([&] {
			change_b.run(&b, "cb", version, DAEMON_LIMIT_NS);
		});
		change_a.run(&a, "ca", version, PATIENCE_NS);
		other.join();
		a.port.heal();
		// Later commands on both have seen all that took effect.
		ASSERT_EQ(0, a.create("c1", "blue"));
		ASSERT_EQ(0, b.create("c2", "green"));
		ASSERT_TRUE(wait_until([&] {
			return verdict_on(&a, "c2") == ACCEPTED &&
			       a.pack() == b.pack();
		}));
		EXPECT_EQ(verdict_on(&a, "ca"), verdict_on(&b, "ca"));
		change_a.check(verdict_on(&a, "ca"));
		change_b.check(verdict_on(&a, "cb"));
		EXPECT_EQ(0, change_b.ret);
		EXPECT_EQ(1, (verdict_on(&a, "ca") == ACCEPTED) +
				     (verdict_on(&a, "cb") == ACCEPTED));
		EXPECT_EQ(version_of(&a, "red"), version_of(&b, "red"));
	}
}

TEST(ProofCommands, AnUnknownOutcomeIsFoundByItsId)
{
	const struct {
		const char *what;
		int lose_answers, lose_appends, hold;
		Verdict at_first, after_release;
	} cases[] = {
		{ "took effect", 1000, 0, 0, ACCEPTED, ACCEPTED },
		{ "did not take effect", 0, 1000, 0, ABSENT, ABSENT },
		{ "takes effect late", 0, 0, 1000, ABSENT, ACCEPTED },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Daemon a(&log, "a", 1), b(&log, "b", 2);

		// Nothing reads for a, so the caller's patience ends first.
		ASSERT_EQ(0, a.read());
		ASSERT_EQ(0, b.read());
		a.port.lose_answers(c.lose_answers);
		a.port.lose_appends(c.lose_appends);
		a.port.hold(c.hold);
		std::thread appender([&] {
			wait_until([&] {
				return log_client_append_once(&a.client,
							      nullptr) != 0;
			});
		});
		EXPECT_EQ(-1, a.create("id1", "blue", PATIENCE_NS));
		appender.join();
		EXPECT_EQ(ERROR_UNKNOWN_OUTCOME, a.err.code);
		b.read();
		EXPECT_EQ(c.at_first, verdict_on(&b, "id1"));
		a.port.release();
		b.read();
		EXPECT_EQ(c.after_release, verdict_on(&b, "id1"));
		// Asked again with the same id through another daemon.
		uint64_t version = version_of(&b, "blue");
		with_create_team(
			"id1", "blue", "1", [&](const Currant__Record *record) {
				EXPECT_EQ(0,
					  log_client_submit(&b.client, record,
							    0, nullptr));
			});
		b.settle();
		EXPECT_EQ(ACCEPTED, verdict_on(&b, "id1"));
		EXPECT_TRUE(version == 0 || version == version_of(&b, "blue"));
		EXPECT_TRUE(b.has_team("blue"));
	}
}

TEST(ProofCommands, BrokenAndUnknownEntriesChangeNoVerdict)
{
	FakeLog log;
	Daemon a(&log, "a", 1), b(&log, "b", 2);

	ASSERT_TRUE(a.start());
	ASSERT_EQ(0, a.create("c1", "red"));
	log.append("\xff\xff");
	// A record of field 99, with an origin of writer "n".
	log.append(std::string("\x0a\x0c\x0a\x07\x0a\x01n\x10\x01\x18\x01"
			       "\x9a\x06\x00",
			       14));
	ASSERT_EQ(0, a.create("c2", "red"));
	EXPECT_EQ(0, a.result.accepted);
	ASSERT_EQ(0, a.create("c3", "blue"));
	EXPECT_EQ(1, a.result.accepted);
	b.settle();
	EXPECT_EQ(a.pack(), b.pack());
	a.with_state([](const struct state *state) {
		struct state_counts counts;

		state_counts(state, &counts);
		EXPECT_EQ(1u, counts.broken_entries);
		EXPECT_EQ(1u, counts.unknown_kinds);
	});
}

TEST(ProofCommands, InForceOnEveryDaemonWithinSeconds)
{
	for (int count : { 3, 12 }) {
		struct log_client_options options;
		FakeLog log;
		std::vector<std::unique_ptr<Daemon>> daemons;
		int64_t longest_ns = 0;
		struct clock clock;

		system_clock_init(&clock);
		log_client_options_init(&options);
		options.read_wait_ms = 100; // a stop waits for the read
		for (int i = 0; i < count; i++) {
			daemons.emplace_back(new Daemon(
				&log, "d" + std::to_string(i), i + 1, options));
			ASSERT_TRUE(daemons.back()->start());
		}
		for (int i = 0; i < 10; i++) {
			std::string team = "t" + std::to_string(i);
			int64_t start_ns = clock_now_ns(&clock);

			ASSERT_EQ(0,
				  daemons[i % count]->create("c" + team, team));
			EXPECT_TRUE(wait_until([&] {
				for (auto &daemon : daemons)
					if (!daemon->has_team(team.c_str()))
						return false;
				return true;
			}));
			longest_ns = std::max(longest_ns,
					      clock_now_ns(&clock) - start_ns);
		}
		printf("%d daemons: in force everywhere after at most %ld ms\n",
		       count, longest_ns / NS_PER_MS);
		EXPECT_LT(longest_ns, 9 * NS_PER_S);
	}
}
