// Promise: an accepted configuration is in force on every daemon within 9 s
// and never reverts. Three daemons, each a process. No seed.
#include <gtest/gtest.h>

#include <jansson.h>

#include <thread>

#include "t/lib-system.h"

extern "C" {
#include "base/clock.h"
}

static const int64_t target_ms = 9000; // the users' target
static const int limit_ms = 20000;
static const int changes = 5;

static int64_t now_ms()
{
	struct clock clock;

	system_clock_init(&clock);
	return clock_now_ns(&clock) / NS_PER_MS;
}

struct Team {
	json_int_t weight = 0;
	json_int_t version = 0;
};

static json_int_t cell(const json_t *answer, const char *column)
{
	const json_t *columns = json_object_get(answer, "columns");
	const json_t *row = json_array_get(json_object_get(answer, "rows"), 0);
	size_t i;
	json_t *name;

	json_array_foreach (columns, i, name)
		if (!strcmp(json_string_value(name), column))
			return json_integer_value(json_array_get(row, i));
	return 0;
}

class World
{
      public:
	World() : system(options())
	{
	}

	// The team as a daemon has it; zeroes if the daemon is not up.
	Team team(int daemon)
	{
		HttpAnswer answer = system.daemon(daemon).statement(
			"show teams where name = red");
		json_t *json = json_loads(answer.body.c_str(), 0, nullptr);
		Team result;

		result.weight = cell(json, "weight");
		result.version = cell(json, "version");
		json_decref(json);
		if (result.version) {
			EXPECT_GE(result.version, seen_[daemon])
				<< "daemon " << daemon << " reverted";
			seen_[daemon] = result.version;
		}
		return result;
	}

	// Returns when every daemon has this weight in force, in ms.
	int64_t in_force_after(int64_t start_ms, int weight)
	{
		EXPECT_TRUE(wait_until(limit_ms,
				       [&] {
					       for (int i = 0; i < 3; i++)
						       if (team(i).weight !=
							   weight)
							       return false;
					       return true;
				       }))
			<< "weight " << weight;
		return now_ms() - start_ms;
	}

	HttpAnswer alter(int daemon, int weight,
			 const std::string &condition = "")
	{
		return system.daemon(daemon).statement(
			"alter team red weight " + std::to_string(weight) +
			condition);
	}

	System system;

      private:
	static SystemOptions options()
	{
		SystemOptions options;

		options.engines = 0;
		return options;
	}

	json_int_t seen_[3] = { 0, 0, 0 }; // newest version of each
};

static void nothing(World &)
{
}

static void slow_log(World &world)
{
	world.system.log.faults("{\"delay_ms\": 300}");
}

static void lost_answers(World &world)
{
	world.system.log.faults(
		"{\"lose_answers\": 2, \"only\": \"/v1/append\"}");
}

static void refused_appends(World &world)
{
	world.system.log.faults("{\"refuse\": 2, \"only\": \"/v1/append\"}");
}

struct Case {
	const char *name;
	void (*before)(World &world); // each change
};

static const Case cases[] = {
	{ "Nothing", nothing },
	{ "SlowLog", slow_log },
	{ "LostAnswers", lost_answers },
	{ "RefusedAppends", refused_appends },
};

class ProofDaemonCommands : public testing::TestWithParam<Case>
{
};

INSTANTIATE_TEST_SUITE_P(Log, ProofDaemonCommands, testing::ValuesIn(cases),
			 [](const testing::TestParamInfo<Case> &info) {
				 return info.param.name;
			 });

TEST_P(ProofDaemonCommands, InForceEverywhereInTime)
{
	World world;
	int64_t longest_ms = 0;

	ASSERT_TRUE(world.system.up()) << world.system.daemon(0).output();
	for (int i = 0; i < changes; i++) {
		GetParam().before(world);
		int64_t start_ms = now_ms();
		HttpAnswer answer = world.alter(i % 3, 10 + i);

		EXPECT_EQ(200, answer.status) << answer.body;
		longest_ms = std::max(longest_ms,
				      world.in_force_after(start_ms, 10 + i));
	}
	EXPECT_LT(longest_ms, target_ms);
	printf("in force on 3 daemons after at most %lld ms\n",
	       (long long)longest_ms);
}

// Two operators at two daemons, both based on the same version.
TEST(ProofDaemonCommandsRace, OneOfTwoOperatorsWinsEverywhere)
{
	World world;

	ASSERT_TRUE(world.system.up()) << world.system.daemon(0).output();
	for (int i = 0; i < changes; i++) {
		std::string condition =
			" if version " + std::to_string(world.team(0).version);
		HttpAnswer a, b;
		int64_t start_ms = now_ms();
		std::thread rival(
			[&] { b = world.alter(1, 200 + i, condition); });

		a = world.alter(0, 100 + i, condition);
		rival.join();
		EXPECT_EQ(1, (a.status == 200) + (b.status == 200))
			<< a.body << b.body;
		int winner = a.status == 200 ? 100 + i : 200 + i;

		EXPECT_LT(world.in_force_after(start_ms, winner), target_ms);
	}
}

// The daemon that took the change dies after its answer, another one is
// paused meanwhile; both have it in time once they are back.
TEST(ProofDaemonCommandsRace, OutlivesTheDaemonThatTookIt)
{
	World world;

	ASSERT_TRUE(world.system.up()) << world.system.daemon(0).output();
	world.system.daemon(1).pause();
	HttpAnswer answer = world.alter(0, 50);

	ASSERT_EQ(200, answer.status) << answer.body;
	world.system.daemon(0).kill();
	EXPECT_EQ(200, world.alter(2, 51).status);
	ASSERT_TRUE(world.system.daemon(0).launch());
	world.system.daemon(1).resume();
	int64_t back_ms = now_ms();
	int64_t took_ms = world.in_force_after(back_ms, 51);

	EXPECT_LT(took_ms, target_ms);
	printf("in force %lld ms after the daemons were back\n",
	       (long long)took_ms);
}
