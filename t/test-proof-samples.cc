// Samples reach their trainer exactly once, whole, with the weight versions
// that made them and within the staleness bound, whatever fails in the
// middle of a step. Real processes; no seed: the faults strike at events.
#include <gtest/gtest.h>

#include <jansson.h>

#include <functional>

#include "t/lib-system.h"

static const int limit_ms = 30000;
static const int groups = 24;
static const int samples = 4;

class Report
{
      public:
	explicit Report(const std::string &path)
	    : json_(json_load_file(path.c_str(), 0, nullptr))
	{
	}
	~Report()
	{
		json_decref(json_);
	}
	json_int_t operator[](const char *field) const
	{
		return json_integer_value(json_object_get(json_, field));
	}
	bool used_version(const char *version) const
	{
		return json_object_get(
			json_object_get(json_, "tokens_by_version"), version);
	}
	std::string text() const
	{
		char *dumped = json_dumps(json_, JSON_INDENT(2));
		std::string result = dumped ? dumped : "no report";

		free(dumped);
		return result;
	}

      private:
	json_t *json_;
};

// One step on three daemons and three engines; the fault strikes once some
// groups are done and the others run.
struct Fault {
	const char *name;
	void (*before)(System &system); // may be nullptr
	void (*strike)(System &system);
	// What shows that the fault did strike.
	bool (*struck)(System &system, const Report &report);
	std::vector<std::string> flags; // of the trainer
};

static std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
	return out << fault.name;
}

static void order_all(System &system, uint64_t version, int status = 202)
{
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(status, system.order(i, version).status);
}

static bool yes(System &, const Report &)
{
	return true;
}

static bool reconnected(System &, const Report &report)
{
	return report["reconnects"] > 0;
}

static bool retried(System &system, const Report &)
{
	double retries = 0;

	for (int i = 0; i < 3; i++)
		retries += system.daemon(i).counter("retries_total");
	return retries > 0;
}

static bool both_versions(System &, const Report &report)
{
	return report.used_version("1") && report.used_version("2");
}

static bool regenerated(System &system, const Report &report)
{
	double stale = 0;

	for (int i = 0; i < 3; i++)
		stale += system.daemon(i).counter("samples_stale_total");
	return stale > 0 && report.used_version("2");
}

// Replaces all faults of the engines.
static void set_slow_factor(System &system, int factor)
{
	std::string faults =
		"{\"slow_factor\": " + std::to_string(factor) + "}";

	for (int i = 0; i < 3; i++)
		system.engine(i).faults(faults);
}

static void strike_nothing(System &)
{
}

static bool has_request(DaemonProcess &daemon)
{
	HttpAnswer answer = daemon.statement("show requests");

	return answer.status == 200 &&
	       answer.body.find("\"rows\":[]") == std::string::npos;
}

// A daemon without a request would die unnoticed, and the trainer may use
// some of the daemons only.
static int busy_daemon(System &system)
{
	int busy = 0;

	EXPECT_TRUE(wait_until(limit_ms, [&] {
		for (busy = 0; busy < 3; busy++)
			if (has_request(system.daemon(busy)))
				return true;
		return false;
	}));
	return busy < 3 ? busy : 0;
}

static void kill_daemon(System &system)
{
	system.daemon(busy_daemon(system)).kill();
}

static void replace_daemon(System &system)
{
	int busy = busy_daemon(system);

	system.daemon(busy).kill();
	EXPECT_TRUE(system.daemon(busy).launch());
}

static void kill_engine(System &system)
{
	system.engine(0).kill();
}

static void kill_daemon_and_engine(System &system)
{
	kill_daemon(system);
	system.engine(0).kill();
}

// The engine comes back at its address, with the weights of its start.
static void engine_returns_older(System &system)
{
	order_all(system, 2);
	system.engine(0).kill();
	EXPECT_TRUE(system.engine(0).restart());
}

static void swap(System &system)
{
	order_all(system, 2);
}

// The engines go on with the old weights until all daemons know of the new.
static void swap_late(System &system)
{
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(system.daemon(i).wait_until(limit_ms, [&] {
			return system.daemon(i)
				       .statement("show weights")
				       .body.find("\"scenario-lm\",2") !=
			       std::string::npos;
		}));
	order_all(system, 2);
}

// The order of a daemon may be the one that fails.
static void fail_swap_then_swap(System &system)
{
	system.engine(0).faults("{\"fail_swaps\": 1}");
	system.order(0, 2);
	order_all(system, 2);
}

static void log_down(System &system)
{
	system.log.faults("{\"down\": true}");
}

static void cut_answers(System &system)
{
	for (int i = 0; i < 3; i++)
		system.engine(i).faults("{\"cut_streams\": 5}");
}

// The next ones get the answer to another request, under its id.
static void cross_answers(System &system)
{
	for (int i = 0; i < 3; i++)
		system.engine(i).faults("{\"wrong_id\": 5}");
}

static void pause_daemon(System &system)
{
	system.daemon(0).pause();
	// The others serve on, and hold it for lost.
	EXPECT_TRUE(system.daemon(1).wait_until(limit_ms, [&] {
		return http_get(system.daemon(1).address("batch"),
				"/v1/addresses")
			       .body.find(system.daemon(0).address("batch")) ==
		       std::string::npos;
	}));
	system.daemon(0).resume();
}

static void log_down_and_daemon_killed(System &system)
{
	log_down(system);
	kill_daemon(system);
}

static const Fault faults[] = {
	{ "Nothing", nullptr, strike_nothing, yes, {} },
	{ "DaemonKilled", nullptr, kill_daemon, reconnected, {} },
	{ "DaemonReplaced", nullptr, replace_daemon, reconnected, {} },
	{ "DaemonPaused", nullptr, pause_daemon, yes, {} },
	{ "EngineKilled", nullptr, kill_engine, retried, {} },
	{ "DaemonAndEngineKilled",
	  nullptr,
	  kill_daemon_and_engine,
	  reconnected,
	  {} },
	{ "EngineReturnsWithOlderWeights",
	  nullptr,
	  engine_returns_older,
	  both_versions,
	  {} },
	{ "WeightsSwapped", nullptr, swap, both_versions, {} },
	{ "SwapFailed", nullptr, fail_swap_then_swap, both_versions, {} },
	{ "BoundOfZero",
	  nullptr,
	  swap_late,
	  regenerated,
	  { "--max-staleness", "0" } },
	{ "TrainerReconnectsElsewhere",
	  nullptr,
	  strike_nothing,
	  reconnected,
	  { "--answer-limit-ms", "100" } },
	{ "LogDownAllStep", log_down, strike_nothing, yes, {} },
	{ "LogDownAndDaemonKilled",
	  nullptr,
	  log_down_and_daemon_killed,
	  reconnected,
	  {} },
	{ "AnswersCut", cut_answers, strike_nothing, retried, {} },
	{ "AnswersCrossed", cross_answers, strike_nothing, retried, {} },
};

class Samples : public testing::TestWithParam<Fault>
{
};

static std::string fault_name(const testing::TestParamInfo<Fault> &info)
{
	return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(Step, Samples, testing::ValuesIn(faults), fault_name);

// One step of a trainer, up to its middle and behind it.
class Step
{
      public:
	// Until the fault strikes the engines are slower by a factor.
	Step(const Fault &fault, int slow_factor);

	void start();
	// Whether the fault can strike: false if the step has ended before.
	bool reaches_middle();
	void strike();
	void check(bool struck);

      private:
	const Fault &fault_;
	int slow_factor_;
	System system_;
	TempDir dir_;
	Process trainer_;
};

Step::Step(const Fault &fault, int slow_factor)
    : fault_(fault), slow_factor_(slow_factor),
      system_({ 3,
		3,
		{ "--token-us", "8000", "--capacity", "8" },
		", \"address_ttl_ms\": 500, \"heartbeat_ms\": 100" })
{
}

void Step::start()
{
	std::vector<std::string> flags = {
		"--groups",	std::to_string(groups),
		"--samples",	std::to_string(samples),
		"--max-tokens", "32",
		"--publish-at", "6",
		"--limit-s",	"50"
	};

	ASSERT_TRUE(system_.up()) << system_.daemon(0).output();
	if (fault_.before)
		fault_.before(system_);
	else
		set_slow_factor(system_, slow_factor_);
	flags.insert(flags.end(), fault_.flags.begin(), fault_.flags.end());
	system_.start_step(trainer_, dir_.file("report"), flags);
	ASSERT_TRUE(trainer_.wait_until(
		limit_ms, [&] { return system_.published() == 2; }));
}

// The engines run in step, so that the first group to end leaves only new
// requests: let these come to the middle of their generation. An engine that
// had a fault before may get no more work.
bool Step::reaches_middle()
{
	uint64_t before = system_.engine_field(0, "generated");
	auto is_midway = [&] {
		return system_.engine_field(0, "generated") > before + 80;
	};
	bool waited;

	if (fault_.before)
		return true;
	waited = system_.engine(0).wait_until(
		limit_ms, [&] { return is_midway() || !trainer_.running(); });
	EXPECT_TRUE(waited)
		<< "from " << before << " to "
		<< system_.engine_field(0, "generated") << ", trainer "
		<< (trainer_.running() ? "runs" : "has ended");
	return trainer_.running();
}

void Step::strike()
{
	fault_.strike(system_);
	if (!fault_.before)
		set_slow_factor(system_, 1);
}

void Step::check(bool struck)
{
	int status = trainer_.wait(60000);
	Report report(dir_.file("report"));

	EXPECT_EQ(0, status) << report.text();
	EXPECT_EQ(groups * samples, report["accepted"]);
	EXPECT_EQ(0, report["lost"]);
	EXPECT_EQ(0, report["doubled"]);
	EXPECT_EQ(0, report["over_bound"]);
	EXPECT_EQ(0, report["wrong_versions"]);
	EXPECT_EQ(0, report["wrong_texts"]);
	if (struck) {
		EXPECT_TRUE(fault_.struck(system_, report)) << report.text();
	}
}

// On a busy host a trainer may hear of its first samples so late that the step
// is nearly over; then another one has slower engines.
TEST_P(Samples, ArriveOnceAndTrue)
{
	for (int slow_factor : { 5, 10, 20 }) {
		Step step(GetParam(), slow_factor);
		bool strikes;

		step.start();
		if (HasFatalFailure())
			return;
		strikes = step.reaches_middle();
		if (strikes)
			step.strike();
		step.check(strikes);
		if (strikes || HasFailure())
			return;
	}
	FAIL() << "each step ended before the fault could strike";
}
