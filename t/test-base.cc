// The base library: buffers, errors, counters, timers, published values.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "base/backoff.h"
#include "base/counter.h"
#include "base/error.h"
#include "base/published.h"
#include "base/rng.h"
#include "base/strbuf.h"
#include "base/timer.h"
}

TEST(Strbuf, GrowsAndConsumes)
{
	struct strbuf sb;

	strbuf_init(&sb);
	EXPECT_STREQ("", sb.buf);
	for (int i = 0; i < 100; i++)
		strbuf_addf(&sb, "%02d", i);
	EXPECT_EQ(200u, sb.len);
	strbuf_consume(&sb, 198);
	EXPECT_STREQ("99", sb.buf);
	strbuf_finish(&sb);
}

TEST(Error, NamesAndPrefixes)
{
	struct error err = ERROR_INIT;

	EXPECT_EQ(-1, error_set(&err, ERROR_NOT_FOUND,
				"team '%s' does not exist", "red"));
	error_prefix(&err, "line %d", 3);
	EXPECT_STREQ("line 3: team 'red' does not exist", err.text);
	EXPECT_STREQ("not_found", error_code_name(err.code));
}

TEST(Counter, SumsOverThreads)
{
	struct counter_set set;
	struct strbuf out;
	std::thread threads[4];

	counter_set_init(&set);
	struct counter *counter =
		counter_get(&set, "requests_total{route=\"a\"}");
	for (auto &thread : threads)
		thread = std::thread([counter] {
			for (int i = 0; i < 1000; i++)
				counter_add(counter, 1);
		});
	for (auto &thread : threads)
		thread.join();
	EXPECT_EQ(4000, counter_value(counter));
	EXPECT_EQ(counter, counter_get(&set, "requests_total{route=\"a\"}"));
	strbuf_init(&out);
	counter_set_print(&set, &out);
	EXPECT_EQ("# TYPE requests_total counter\n"
		  "requests_total{route=\"a\"} 4000\n",
		  std::string(out.buf));
	strbuf_finish(&out);
	counter_set_finish(&set);
}

static void count_call(void *arg, int64_t)
{
	(*static_cast<int *>(arg))++;
}

TEST(Timer, CallsWhatIsDueByFakeClock)
{
	struct fake_clock clock;
	struct timer_service service;
	struct timer periodic, once;
	int periodic_calls = 0;
	int once_calls = 0;

	fake_clock_init(&clock, 0);
	timer_service_init(&service, &clock.base);
	timer_subscribe(&service, &periodic, 10, count_call, &periodic_calls);
	timer_subscribe_once(&service, &once, 15, count_call, &once_calls);
	EXPECT_EQ(0u, timer_service_run_due(&service));
	fake_clock_advance(&clock, 10);
	EXPECT_EQ(1u, timer_service_run_due(&service));
	fake_clock_advance(&clock, 10);
	EXPECT_EQ(2u, timer_service_run_due(&service));
	timer_unsubscribe(&service, &periodic);
	fake_clock_advance(&clock, 100);
	EXPECT_EQ(0u, timer_service_run_due(&service));
	EXPECT_EQ(2, periodic_calls);
	EXPECT_EQ(1, once_calls);
	timer_service_finish(&service);
}

struct eager_timer {
	struct timer_service *service;
	struct timer timer;
	int calls;
};

static void subscribe_again(void *arg, int64_t)
{
	struct eager_timer *eager = static_cast<struct eager_timer *>(arg);

	if (++eager->calls < 1000)
		timer_subscribe_once(eager->service, &eager->timer, 0,
				     subscribe_again, eager);
}

// What subscribes itself anew at once must not keep an event loop from input.
TEST(Timer, LeavesWhatIsSubscribedMeanwhileToTheNextCall)
{
	struct clock clock;
	struct timer_service service;
	struct eager_timer eager = {};

	system_clock_init(&clock);
	timer_service_init(&service, &clock);
	eager.service = &service;
	timer_subscribe_once(&service, &eager.timer, 0, subscribe_again,
			     &eager);
	EXPECT_EQ(1u, timer_service_run_due(&service));
	EXPECT_EQ(1u, timer_service_run_due(&service));
	timer_service_finish(&service);
}

struct ordered_timer {
	struct timer timer;
	std::vector<int> *called;
	int number;
};

static void note_call(void *arg, int64_t)
{
	struct ordered_timer *timer = static_cast<struct ordered_timer *>(arg);

	timer->called->push_back(timer->number);
}

// Many timers in random order, some moved and some taken out again.
TEST(Timer, CallsManyInOrderOfTheirTime)
{
	enum { COUNT = 500 };
	struct fake_clock clock;
	struct timer_service service;
	std::vector<struct ordered_timer> timers(COUNT);
	std::vector<int> called;
	std::vector<int> expected;
	std::vector<int64_t> due(COUNT);
	struct rng rng;

	rng_init(&rng, 7);
	fake_clock_init(&clock, 0);
	timer_service_init(&service, &clock.base);
	for (int i = 0; i < COUNT; i++) {
		due[i] = 1 + (int64_t)rng_below(&rng, 100000) * COUNT + i;
		timers[i].called = &called;
		timers[i].number = i;
		timer_subscribe_once(&service, &timers[i].timer,
				     i % 3 ? due[i] : due[i] + 77, note_call,
				     &timers[i]);
	}
	for (int i = 0; i < COUNT; i += 3)
		timer_subscribe_once(&service, &timers[i].timer, due[i],
				     note_call, &timers[i]);
	for (int i = 0; i < COUNT; i++) {
		if (i % 5 == 1)
			EXPECT_TRUE(
				timer_unsubscribe(&service, &timers[i].timer));
		else
			expected.push_back(i);
	}
	std::sort(expected.begin(), expected.end(),
		  [&](int a, int b) { return due[a] < due[b]; });
	EXPECT_EQ(due[expected[0]], timer_service_next_due_ns(&service));
	fake_clock_advance(&clock, INT64_C(100001) * COUNT);
	EXPECT_EQ(expected.size(), timer_service_run_due(&service));
	EXPECT_EQ(expected, called);
	EXPECT_EQ(INT64_MAX, timer_service_next_due_ns(&service));
	timer_service_finish(&service);
}

TEST(Published, ReadersSeeOldOrNewWhole)
{
	struct published value;
	int first[2] = { 1, 1 };
	int second[2] = { 2, 2 };
	bool stop = false;
	int torn = 0;

	published_init(&value, first);
	std::thread reader([&] {
		while (!__atomic_load_n(&stop, __ATOMIC_ACQUIRE)) {
			const int *now = static_cast<const int *>(
				published_read_begin(&value));
			torn += now[0] != now[1];
			published_read_end(&value);
		}
	});
	for (int i = 0; i < 100; i++) {
		int *old = static_cast<int *>(
			published_swap(&value, i % 2 ? first : second));
		old[0] = old[1] = i;
	}
	__atomic_store_n(&stop, true, __ATOMIC_RELEASE);
	reader.join();
	EXPECT_EQ(0, torn);
}

TEST(Backoff, DoublesUpToTheMaximum)
{
	const struct {
		uint32_t repeats;
		int64_t expected_ns;
	} cases[] = { { 0, 200 },   { 1, 400 },	  { 5, 6400 },
		      { 6, 10000 }, { 7, 10000 }, { UINT32_MAX, 10000 } };

	for (const auto &c : cases)
		EXPECT_EQ(c.expected_ns, backoff_ns(200, 10000, c.repeats))
			<< c.repeats;
	EXPECT_EQ(10, backoff_ns(10, 10, 3));
}

TEST(Rng, SameSeedSameNumbers)
{
	struct rng a, b;

	rng_init(&a, 42);
	rng_init(&b, 42);
	for (int i = 0; i < 100; i++) {
		uint64_t value = rng_below(&a, 7);
		EXPECT_LT(value, 7u);
		EXPECT_EQ(value, rng_below(&b, 7));
	}
}
