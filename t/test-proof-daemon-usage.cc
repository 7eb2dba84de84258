// Guards against usage windows that are reported with different figures, and
// against reports of an old lease holder after a new one. Three daemon
// processes report through their HTTP adapter; the reports recorded by the
// receiver are checked. There is no seed: faults are injected at events.
#include <gtest/gtest.h>

#include <jansson.h>

#include <ctime>
#include <map>

#include "t/lib-rig.h"
#include "t/lib-system.h"

static const int limit_ms = 20000;
static const int first_requests = 6;
static const int more_requests = 4;
static const char *const lease = "usage/bergen-a";

struct Window {
	std::string figures;
	uint64_t requests = 0;
	int reports = 0;
};

// Evaluates the received reports, in the order of receipt.
struct Record {
	std::map<uint64_t, Window> windows; // by start
	uint64_t newest_epoch = 0;
	int conflicts = 0; // reports that changed a window's figures
	int epoch_regressions = 0; // reports with an older epoch than before
	int repeats = 0;
	uint64_t late = 0; // requests billed after their window

	uint64_t requests() const
	{
		uint64_t sum = 0;

		for (const auto &entry : windows)
			sum += entry.second.requests;
		return sum;
	}
};

static uint64_t number(const json_t *object, const char *field)
{
	return json_integer_value(json_object_get(object, field));
}

static uint64_t sum_of(const json_t *figures, const char *field)
{
	uint64_t sum = 0;
	size_t i;
	json_t *figure;

	json_array_foreach (figures, i, figure)
		sum += number(figure, field);
	return sum;
}

static void add_report(Record &record, const json_t *report)
{
	json_t *figures = json_object_get(report, "figures");
	Window &window = record.windows[number(report, "window_start_s")];
	uint64_t epoch = number(report, "epoch");
	char *dumped = json_dumps(figures, JSON_COMPACT | JSON_SORT_KEYS);

	if (window.reports && window.figures != dumped)
		record.conflicts++;
	record.repeats += window.reports > 0;
	record.epoch_regressions += epoch < record.newest_epoch;
	record.newest_epoch = std::max(record.newest_epoch, epoch);
	if (!window.reports)
		record.late += sum_of(figures, "late_requests");
	window.figures = dumped;
	window.requests = sum_of(figures, "requests");
	window.reports++;
	free(dumped);
}

class Receiver : public Standin
{
      public:
	Receiver() : Standin("usage")
	{
	}

	Record record()
	{
		std::string body =
			http_get(address(), "/standin/received").body;
		json_t *rows = json_loads(body.c_str(), 0, nullptr);
		Record result;
		size_t i;
		json_t *row;

		json_array_foreach (rows, i, row)
			add_report(result, json_object_get(row, "order"));
		json_decref(rows);
		return result;
	}
};

class World
{
      public:
	explicit World(int flush_ms = 100) : system(options(flush_ms))
	{
	}

	void ask_one(int daemon)
	{
		std::string body = "{\"model\": \"rollout\", \"prompt\": "
				   "\"ice\", \"max_tokens\": 2}";
		Ask call;
		Reply answer;

		call.method = "POST";
		call.address = system.daemon(daemon).address("batch");
		call.path = "/v1/completions";
		call.body = body;
		call.headers = { "Authorization: Bearer " + system.key };
		answer = ::ask(call);

		EXPECT_EQ(200, answer.status) << answer.body;
		asked += answer.status == 200;
	}

	// Sends requests to the daemons that do not hold the lease, so that the
	// holder has no metered usage that would be lost with it.
	void ask(int count)
	{
		for (int i = 0; i < count; i++)
			ask_one((holder + 1 + i % 2) % 3);
	}

	bool find_holder()
	{
		return wait_until(limit_ms, [this] {
			holder = system.lease_holder(lease);
			return holder >= 0;
		});
	}

	bool all_reported()
	{
		return wait_until(limit_ms, [this] {
			return receiver.record().requests() >= asked;
		});
	}

	// Requests in the log, according to the holder's state.
	uint64_t logged()
	{
		std::string body = held_by().statement("show usage").body;
		json_t *answer = json_loads(body.c_str(), 0, nullptr);
		json_t *columns = json_object_get(answer, "columns");
		uint64_t sum = 0;
		size_t i, c;
		json_t *row, *name;

		json_array_foreach (json_object_get(answer, "rows"), i, row)
			json_array_foreach (columns, c, name)
				if (!strcmp(json_string_value(name),
					    "requests"))
					sum += json_integer_value(
						json_array_get(row, c));
		json_decref(answer);
		return sum;
	}

	// Waits until a window that starts at or after `start_s` is closed.
	bool closed_since(time_t start_s)
	{
		std::string shown = "show usage where closed = true and "
				    "window_start_s >= " +
				    std::to_string(start_s);

		return wait_until(limit_ms, [&] {
			return held_by().statement(shown).body.find(
				       "\"rows\":[]") == std::string::npos;
		});
	}

	// Waits until every running daemon has all windows acknowledged; a
	// daemon that was paused has run its steps by then.
	bool all_acknowledged()
	{
		return wait_until(limit_ms, [this] {
			for (int i = 0; i < 3; i++)
				if (system.daemon(i).running() &&
				    !acknowledged_by(i))
					return false;
			return true;
		});
	}

	DaemonProcess &held_by()
	{
		return system.daemon(holder);
	}

	Receiver receiver;
	System system;
	int holder = -1;
	uint64_t asked = 0;

      private:
	bool acknowledged_by(int daemon)
	{
		HttpAnswer answer = system.daemon(daemon).statement(
			"show usage where acknowledged = false");

		return answer.body.find("\"rows\":[]") != std::string::npos;
	}

	SystemOptions options(int flush_ms)
	{
		SystemOptions options;

		options.engines = 1;
		options.usage_url = receiver.url();
		options.daemon_settings = ", \"lease_ms\": 800, "
					  "\"usage_window_s\": 1, "
					  "\"usage_flush_ms\": " +
					  std::to_string(flush_ms);
		return options;
	}
};

static void nothing(World &)
{
}

static void lose_answers(World &world)
{
	world.receiver.faults("{\"lose_answers\": 2}");
}

static void receiver_down(World &world)
{
	world.receiver.faults("{\"down\": true}");
}

static void receiver_slow(World &world)
{
	world.receiver.faults("{\"delay_ms\": 500}");
}

static void log_down(World &world)
{
	world.system.log.faults("{\"down\": true}");
}

static bool a_report_came(World &world)
{
	return world.receiver.record().windows.size() > 0;
}

static bool a_window_closed(World &world)
{
	return world.system.daemon(world.holder)
		       .statement("show usage where closed = true")
		       .body.find("\"rows\":[]") == std::string::npos;
}

static void kill_holder(World &world)
{
	world.held_by().kill();
}

static void pause_holder(World &world)
{
	world.held_by().pause();
}

static void log_down_and_kill(World &world)
{
	log_down(world);
	kill_holder(world);
}

static void log_down_and_pause(World &world)
{
	log_down(world);
	pause_holder(world);
}

static void heal_all(World &world)
{
	world.receiver.faults("{}");
	world.system.log.faults("{}");
}

struct Case {
	const char *name;
	void (*before)(World &world); // the requests
	bool (*until)(World &world); // when to inject the fault
	void (*strike)(World &world);
	bool repeats; // a report must have been received twice
};

static const Case cases[] = {
	{ "Nothing", nothing, a_report_came, nothing, false },
	{ "KilledBeforeTheReport", receiver_down, a_window_closed, kill_holder,
	  false },
	{ "KilledWhenTheAnswerIsLost", lose_answers, a_report_came, kill_holder,
	  true },
	{ "KilledAfterTheReport", nothing, a_report_came, kill_holder, false },
	{ "PausedBeforeTheReport", receiver_down, a_window_closed, pause_holder,
	  false },
	{ "PausedInTheReport", receiver_slow, a_report_came, pause_holder,
	  false },
	{ "PausedWhenTheAnswerIsLost", lose_answers, a_report_came,
	  pause_holder, true },
	{ "AnswersLost", lose_answers, a_report_came, nothing, true },
	{ "LogDownAndKilled", nothing, a_report_came, log_down_and_kill,
	  false },
	{ "LogDownAndPaused", nothing, a_report_came, log_down_and_pause,
	  false },
};

static std::ostream &operator<<(std::ostream &out, const Case &c)
{
	return out << c.name;
}

class ProofDaemonUsage : public testing::TestWithParam<Case>
{
};

INSTANTIATE_TEST_SUITE_P(Holder, ProofDaemonUsage, testing::ValuesIn(cases),
			 [](const testing::TestParamInfo<Case> &info) {
				 return info.param.name;
			 });

TEST_P(ProofDaemonUsage, OneSetOfFigures)
{
	const Case &c = GetParam();
	World world;

	ASSERT_TRUE(world.system.up()) << world.system.daemon(0).output();
	ASSERT_TRUE(world.find_holder());
	c.before(world);
	world.ask(first_requests);
	ASSERT_TRUE(wait_until(limit_ms, [&] { return c.until(world); }));
	c.strike(world);
	world.ask(more_requests);
	heal_all(world);
	EXPECT_TRUE(world.all_reported());
	world.held_by().resume();
	EXPECT_TRUE(world.all_acknowledged());

	Record record = world.receiver.record();

	EXPECT_EQ(world.asked, record.requests());
	EXPECT_EQ(0, record.conflicts);
	EXPECT_EQ(0, record.epoch_regressions);
	if (c.repeats) {
		EXPECT_GT(record.repeats, 0);
	}
	printf("%llu requests in %zu windows, %d reports repeated\n",
	       (unsigned long long)record.requests(), record.windows.size(),
	       record.repeats);
}

/*
 * A daemon is paused before it appends its sums; its window is closed and
 * reported without them, and the responses are lost. The sums are billed late,
 * and the retried report has the same figures as the first.
 */
TEST(ProofDaemonUsageLate, SumsLeaveTheReportedWindowAsItIs)
{
	World world(400);

	ASSERT_TRUE(world.system.up()) << world.system.daemon(0).output();
	ASSERT_TRUE(world.find_holder());
	int late = (world.holder + 1) % 3;
	int other = (world.holder + 2) % 3;
	DaemonProcess &paused = world.system.daemon(late);

	world.receiver.faults("{\"lose_answers\": 1000}");
	// The daemon may have appended before it was paused; then retry.
	ASSERT_TRUE(wait_until(limit_ms, [&] {
		time_t start_s = time(nullptr);

		paused.resume();
		world.ask_one(late);
		paused.pause();
		world.ask_one(other); // closes this window or a later one
		return world.closed_since(start_s) &&
		       world.logged() < world.asked;
	}));
	uint64_t logged = world.logged();

	ASSERT_TRUE(wait_until(limit_ms, [&] {
		return world.receiver.record().requests() >= logged;
	}));
	paused.resume();
	// The first report is still retried after the late sums were logged.
	int repeats = world.receiver.record().repeats;

	ASSERT_TRUE(wait_until(limit_ms, [&] {
		return world.receiver.record().repeats > repeats + 1;
	}));
	world.receiver.faults("{}");
	EXPECT_TRUE(world.all_reported());
	EXPECT_TRUE(world.all_acknowledged());

	Record record = world.receiver.record();

	EXPECT_EQ(world.asked, record.requests());
	EXPECT_EQ(0, record.conflicts);
	EXPECT_EQ(0, record.epoch_regressions);
	EXPECT_GT(record.late, 0u);
	printf("%llu requests, %llu of them late, %d reports repeated\n",
	       (unsigned long long)record.requests(),
	       (unsigned long long)record.late, record.repeats);
}
