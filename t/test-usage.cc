// Tests the usage meter, its flush to the log, and which windows are due.
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <thread>

#include "t/lib-daemon.h"

extern "C" {
#include "usage/usage_due.h"
#include "usage/usage_service.h"
}

static struct usage_figure figure_of(const std::string &team, uint64_t requests)
{
	struct usage_figure figure = {};

	strcpy(figure.team, team.c_str());
	figure.requests = requests;
	return figure;
}

TEST(UsageMeter, SumsOverThreadsByWindow)
{
	struct usage_meter meter;
	std::thread threads[4];
	struct usage_entry entries[10];

	usage_meter_init(&meter, 60, nullptr);
	for (auto &thread : threads)
		thread = std::thread([&] {
			struct usage_figure figure = figure_of("red", 1);

			for (int i = 0; i < 1200; i++)
				usage_meter_add(&meter, 600 + i / 10, &figure);
		});
	for (auto &thread : threads)
		thread.join();
	EXPECT_EQ(4800u, usage_meter_requests(&meter));
	for (uint64_t start_s : { 600, 660 }) {
		ASSERT_EQ(1u, usage_meter_take(&meter, entries, 10));
		EXPECT_EQ(start_s, entries[0].window_start_s);
		EXPECT_EQ(2400u, entries[0].figure.requests);
	}
	EXPECT_EQ(0u, usage_meter_take(&meter, entries, 10));
	usage_meter_finish(&meter);
}

TEST(UsageMeter, ALongOutageTakesBoundedMemoryAndLosesNothing)
{
	struct usage_meter meter;
	struct counter_set counters;
	struct usage_figure red = figure_of("red", 1);
	int refused = 0;

	counter_set_init(&counters);
	usage_meter_init(&meter, 60, &counters);
	for (uint64_t window = 0; window < 2 * USAGE_SHARD_MAX; window++)
		ASSERT_EQ(0, usage_meter_add(&meter, 60 * window, &red));
	EXPECT_EQ(2u * USAGE_SHARD_MAX, usage_meter_requests(&meter));
	// Only usage of a key that is new to a full shard is lost, and counted.
	for (int i = 0; i < 64; i++) {
		struct usage_figure other =
			figure_of("team-" + std::to_string(i), 1);

		refused += usage_meter_add(&meter, 0, &other) != 0;
	}
	EXPECT_GT(refused, 0);
	EXPECT_LT(refused, 64);
	EXPECT_EQ(refused, counter_value(meter.lost));
	usage_meter_finish(&meter);
	counter_set_finish(&counters);
}

TEST(UsageFlush, KeepsWhatTheLogOrTheStateRefuses)
{
	FakeLog log;
	Daemon a(&log, "a", 1);
	struct usage_meter meter;
	auto flush = std::make_unique<struct usage_flush>();
	struct usage_figure red = figure_of("red", 1);
	Writer other = { "b", 2, 0 };

	usage_meter_init(&meter, 60, nullptr);
	usage_flush_init(flush.get(), &a.client, &meter, "p", NS_PER_S,
			 nullptr);
	// Windows of another partition fill the table.
	for (uint64_t i = 0; i < 4096; i++)
		with_partial("q", i, "x", 1, [&](const Currant__Record *r) {
			log.append(entry_of({ packed(other, r) }));
		});
	a.settle();
	usage_meter_add(&meter, 60, &red);
	usage_flush_step(flush.get(), 0);
	a.settle();
	usage_flush_step(flush.get(), 1);
	EXPECT_EQ(1u, usage_meter_requests(&meter));
	EXPECT_FALSE(flush->in_flight);
	// Another daemon reports a window, which frees its row.
	uint64_t claimed = position_make(log.head(), 1);
	with_claim("usage/q", "b", 2, 0, [&](const Currant__Record *r) {
		log.append(entry_of({ packed(other, r) }));
	});
	with_close("q", 0, claimed, [&](const Currant__Record *r) {
		log.append(entry_of({ packed(other, r) }));
	});
	with_acknowledged("q", 0, [&](const Currant__Record *r) {
		log.append(entry_of({ packed(other, r) }));
	});
	a.settle();
	a.port.refuse(3);
	for (int64_t i = 1; i < 10; i++) {
		usage_flush_step(flush.get(), i * NS_PER_S);
		a.append();
		a.settle();
	}
	EXPECT_TRUE(usage_flush_is_empty(flush.get()));
	EXPECT_EQ(1u, a.requests("p", 60));
	usage_flush_finish(flush.get());
	usage_meter_finish(&meter);
}

TEST(UsageDue, WindowsCloseAfterTheirGraceInOrder)
{
	const struct {
		const char *what;
		std::vector<uint64_t> open; // starts of open windows of 10 s
		bool carry; // late sums after window 100 was closed
		uint64_t wall_s;
		int due;
		uint64_t start_s;
	} cases[] = {
		{ "nothing", {}, false, 1000, 0, 0 },
		{ "not ended", { 110 }, false, 119, 0, 0 },
		{ "within its grace", { 110 }, false, 124, 0, 0 },
		{ "after its grace", { 110 }, false, 125, 1, 110 },
		{ "the oldest first", { 130, 110 }, false, 200, 1, 110 },
		{ "late sums alone", {}, true, 145, 1, 130 },
		{ "late sums, none ended since", {}, true, 115, 0, 0 },
		{ "late sums wait for the open one", { 140 }, true, 150, 0, 0 },
		{ "before there was time", {}, true, 3, 0, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		struct usage_schedule schedule = { 10, 5 };
		FakeLog log;
		Daemon a(&log, "a", 1);
		Writer w = { "w", 2, 0 };
		auto put = [&](const Currant__Record *r) {
			log.append(entry_of({ packed(w, r) }));
		};
		uint64_t start_s = 0;

		with_claim("usage/p", "w", 2, 0, put);
		with_close("p", 100, position_make(0, 1), put);
		if (c.carry)
			with_partial("p", 100, "red", 1, put);
		for (uint64_t open : c.open)
			with_partial("p", open, "red", 1, put);
		a.settle();
		a.with_state([&](const struct state *state) {
			EXPECT_EQ(c.due, usage_close_due(state, "p", c.wall_s,
							 &schedule, &start_s));
			EXPECT_EQ(100u, usage_report_due(state, "p")->start_s);
			EXPECT_EQ(nullptr, usage_report_due(state, "q"));
		});
		EXPECT_EQ(c.start_s, c.due ? start_s : 0);
	}
}

TEST(UsageService, AStopAppendsWhatIsCounted)
{
	FakeLog log;
	Daemon a(&log, "a", 1);
	struct timer_service timers;
	struct lease_keeper keeper;
	struct lease_timing timing;
	auto service = std::make_unique<struct usage_service>();
	struct log_part part = { nullptr, "usage" };
	struct usage_service_options options = { "p", 60, 600000, 0 };
	struct usage_figure red = figure_of("red", 5);
	uint64_t sum = 0;

	lease_timing_init(&timing, NS_PER_S);
	timer_service_init(&timers, &a.clock.base);
	lease_keeper_init(&keeper, &a.client, &a.clock.base, &timers, &timing,
			  &part);
	usage_service_init(service.get(), &a.client, &keeper, nullptr,
			   &a.clock.base, &timers, &options, nullptr, &part);
	ASSERT_EQ(0, usage_service_start(service.get(), nullptr));
	ASSERT_TRUE(a.start());
	for (int i = 0; i < 10; i++)
		usage_service_add(service.get(), &red);
	EXPECT_EQ(0,
		  usage_service_stop(service.get(), DAEMON_LIMIT_NS, nullptr));
	a.with_state([&](const struct state *state) {
		const struct usage_window *windows;
		uint32_t count = state_usage_windows(state, &windows);

		for (uint32_t i = 0; i < count; i++)
			sum += windows[i].figures[0].requests;
	});
	EXPECT_EQ(50u, sum);
	usage_service_finish(service.get());
	lease_keeper_finish(&keeper);
	timer_service_finish(&timers);
}
