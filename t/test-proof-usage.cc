// Guards against windows that are reported with different figures, reports of
// an old lease holder after a new one, and usage billed twice or not at all.
#include <gtest/gtest.h>

#include "t/lib-usage.h"

namespace
{

enum Point { BEFORE_CLOSE, BEFORE_SEND, AFTER_SEND, AFTER_ANSWER };
enum Fate { KILLED, PAUSED };

const struct {
	const char *what;
	Point point;
	Fate fate;
} holder_cases[] = {
	{ "killed before it closes", BEFORE_CLOSE, KILLED },
	{ "killed before it sends", BEFORE_SEND, KILLED },
	{ "killed after it sent, answer lost", AFTER_SEND, KILLED },
	{ "killed before its acknowledgement is appended", AFTER_ANSWER,
	  KILLED },
	{ "paused before it closes", BEFORE_CLOSE, PAUSED },
	{ "paused between check and send", BEFORE_SEND, PAUSED },
	{ "paused after it sent, answer lost", AFTER_SEND, PAUSED },
	{ "paused before its acknowledgement is appended", AFTER_ANSWER,
	  PAUSED },
};

// Kills or pauses the holder once, at the given point of its next report.
void arrange_fault(UsageWorld *world, UsageDaemon *holder, Point point,
		   Fate fate, bool *injected)
{
	auto inject = [=] {
		if (*injected)
			return;
		*injected = true;
		if (fate == KILLED) {
			holder->dead = true;
			return;
		}
		// The other daemons run while this one is within its step.
		holder->paused = true;
		world->run(60, 1);
		holder->paused = false;
		holder->lose_answers += point == AFTER_SEND;
	};

	if (point == BEFORE_SEND)
		holder->before_send = inject;
	else if (point == AFTER_SEND)
		holder->after_send = inject;
	else if (point == AFTER_ANSWER)
		// The report is answered, but no more appends succeed.
		holder->after_send = [=] {
			if (*injected)
				return;
			*injected = true;
			holder->daemon.port.set_down(true);
		};
}

// Returns whether all usage in this daemon's state was acknowledged.
bool all_reported(UsageDaemon *daemon)
{
	bool all = daemon->unflushed() == 0;

	daemon->daemon.with_state([&](const struct state *state) {
		const struct usage_window *windows;
		const struct usage_carry *carries;
		uint32_t count = state_usage_windows(state, &windows);

		for (uint32_t i = 0; i < count; i++)
			all &= windows[i].acknowledged;
		count = state_usage_carries(state, &carries);
		for (uint32_t i = 0; i < count; i++)
			all &= carries[i].figure_count == 0;
	});
	return all;
}

void settle(UsageWorld *world)
{
	world->run(20, 0);
	EXPECT_TRUE(world->run_until(
		[&] {
			for (auto &daemon : world->daemons)
				if (!daemon->dead &&
				    !all_reported(daemon.get()))
					return false;
			return true;
		},
		0, 300));
}

void expect_billed_once(const UsageWorld &world, uint64_t lost)
{
	EXPECT_EQ(0u, world.receiver.conflicts);
	EXPECT_EQ(0u, world.receiver.epoch_regressions);
	EXPECT_EQ(world.added - lost, world.receiver.requests());
}

} // namespace

TEST(ProofUsage, HolderKilledOrPausedAroundTheReport)
{
	for (const auto &c : holder_cases) {
		SCOPED_TRACE(c.what);
		UsageWorld world(3);
		bool injected = false;
		uint64_t lost = 0;

		ASSERT_TRUE(world.run_until([&] { return world.holder(); }, 1));
		world.run(25, 1);
		UsageDaemon *holder = world.holder();
		ASSERT_TRUE(holder);
		arrange_fault(&world, holder, c.point, c.fate, &injected);
		if (c.point == BEFORE_CLOSE) {
			injected = true;
			holder->dead = c.fate == KILLED;
			holder->paused = c.fate == PAUSED;
		}
		ASSERT_TRUE(world.run_until([&] { return injected; }, 1));
		if (c.point == AFTER_ANSWER) {
			holder->dead = c.fate == KILLED;
			holder->paused = c.fate == PAUSED;
		}
		ASSERT_TRUE(world.run_until(
			[&] {
				UsageDaemon *now = world.holder();

				return now && now != holder;
			},
			1));
		world.run(30, 1);
		holder->daemon.port.set_down(false);
		holder->paused = false;
		if (holder->dead)
			lost = holder->unflushed();
		settle(&world);
		expect_billed_once(world, lost);
		EXPECT_GT(world.receiver.held.size(), 5u);
		// The usage of one flush interval, and of the steps in flight.
		EXPECT_LE(lost, 8u);
	}
}

// Two simultaneous faults: the holder is killed or paused, and the log is down
// for a while.
TEST(ProofUsage, HolderKilledOrPausedWhileTheLogIsDown)
{
	for (Fate fate : { KILLED, PAUSED }) {
		SCOPED_TRACE(fate);
		UsageWorld world(3);
		uint64_t lost = 0;
		bool injected = false;

		ASSERT_TRUE(world.run_until([&] { return world.holder(); }, 1));
		world.run(25, 1);
		UsageDaemon *holder = world.holder();
		ASSERT_TRUE(holder);
		holder->before_send = [&, holder] {
			if (injected)
				return;
			injected = true;
			holder->dead = fate == KILLED;
			holder->paused = fate == PAUSED;
			for (auto &daemon : world.daemons)
				daemon->daemon.port.set_down(true);
			world.run(25, 1);
			EXPECT_EQ(nullptr, world.holder());
			for (auto &daemon : world.daemons)
				daemon->daemon.port.set_down(false);
			world.run(40, 1);
			EXPECT_NE(nullptr, world.holder());
			holder->paused = false;
		};
		ASSERT_TRUE(world.run_until([&] { return injected; }, 1));
		if (holder->dead)
			lost = holder->unflushed();
		settle(&world);
		expect_billed_once(world, lost);
		EXPECT_GT(world.receiver.held.size(), 5u);
	}
}

TEST(ProofUsage, WithoutTheGuardAnOldHolderReportsAfterANewOne)
{
	UsageWorld world(3);
	bool injected = false;

	ASSERT_TRUE(world.run_until([&] { return world.holder(); }, 1));
	world.run(25, 1);
	UsageDaemon *holder = world.holder();
	holder->guard_off = true;
	arrange_fault(&world, holder, BEFORE_SEND, PAUSED, &injected);
	ASSERT_TRUE(world.run_until([&] { return injected; }, 1));
	settle(&world);
	EXPECT_EQ(1u, world.receiver.epoch_regressions);
}

TEST(ProofUsage, OutagesLostAnswersAndLateSums)
{
	const struct {
		const char *what;
		int lost_log_answers; // at each daemon
		int lost_report_answers; // at the holder
		int log_down_s; // for all
		int one_cut_s; // one daemon from the log
		int receiver_down_s;
		bool late;
	} cases[] = {
		{ "no fault", 0, 0, 0, 0, 0, false },
		{ "answers of the log lost", 5, 0, 0, 0, 0, false },
		{ "answers to reports lost", 0, 4, 0, 0, 0, false },
		{ "log down across a window's end", 0, 0, 25, 0, 0, true },
		{ "one daemon cut off across a window's end", 0, 0, 0, 25, 0,
		  true },
		{ "receiver down", 0, 0, 0, 0, 40, false },
		{ "all of it", 3, 3, 25, 25, 30, true },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		UsageWorld world(3);

		ASSERT_TRUE(world.run_until([&] { return world.holder(); }, 1));
		world.run(13, 1);
		for (auto &daemon : world.daemons) {
			daemon->daemon.port.lose_answers(c.lost_log_answers);
			daemon->lose_answers = c.lost_report_answers;
			daemon->daemon.port.set_down(c.log_down_s > 0);
			daemon->receiver_down = c.receiver_down_s > 0;
		}
		world.run(c.log_down_s, 1);
		for (auto &daemon : world.daemons)
			daemon->daemon.port.set_down(false);
		UsageDaemon *cut = world.daemons.back().get();
		cut->daemon.port.set_down(c.one_cut_s > 0);
		world.run(c.one_cut_s, 1);
		cut->daemon.port.set_down(false);
		world.run(c.receiver_down_s, 1);
		for (auto &daemon : world.daemons)
			daemon->receiver_down = false;
		world.run(30, 1);
		settle(&world);
		expect_billed_once(world, 0);
		EXPECT_EQ(c.late, world.receiver.late() > 0);
		EXPECT_GE(world.receiver.reports, world.receiver.held.size());
	}
}

TEST(ProofUsage, ADaemonThatDiesLosesAtMostWhatItHadNotFlushed)
{
	UsageWorld world(3);

	world.run(40, 1);
	UsageDaemon *victim = world.daemons.back().get();
	victim->dead = true;
	uint64_t lost = victim->unflushed();
	world.run(40, 1);
	settle(&world);
	expect_billed_once(world, lost);
	printf("lost %lu requests of 2 a second, flush interval 2 s\n", lost);
	EXPECT_LE(lost, 6u);
}

TEST(ProofUsage, AllHostsReplacedAtOnce)
{
	UsageWorld world(3);
	uint64_t lost = 0;

	world.run(40, 1);
	for (auto &daemon : world.daemons) {
		daemon->dead = true;
		lost += daemon->unflushed();
	}
	for (uint32_t i = 0; i < 3; i++)
		world.daemons.emplace_back(new UsageDaemon(
			&world, &world.log, "new" + std::to_string(i), 50 + i,
			"p"));
	world.run(40, 1);
	settle(&world);
	expect_billed_once(world, lost);
}

TEST(ProofUsage, WindowsOfALostDataCentreAreReportedByAnother)
{
	UsageWorld world(2);

	world.daemons.emplace_back(
		new UsageDaemon(&world, &world.log, "far", 9, "q"));
	world.run(22, 1);
	uint64_t lost = 0;
	for (int i = 0; i < 2; i++) {
		world.daemons[i]->dead = true;
		lost += world.daemons[i]->unflushed();
	}
	world.run(30, 1);
	settle(&world);
	expect_billed_once(world, lost);
}
