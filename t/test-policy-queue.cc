#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "policy/admission.h"
#include "policy/dispatch_queue.h"
}

namespace
{

dispatch_entry make_entry(const char *team, double tokens)
{
	dispatch_entry entry = {};

	entry.team = team;
	entry.weight = 1;
	entry.tokens = tokens;
	return entry;
}

struct order_case {
	const char *what;
	void (*change)(dispatch_entry *); /* applied to the second entry */
	uint32_t parts_off;
	int second_first;
};

const order_case orders[] = {
	{ "equal: by arrival", [](dispatch_entry *) {}, 0, 0 },
	{ "latency-bound", [](dispatch_entry *e) { e->latency_bound = 1; }, 0,
	  1 },
	{ "latency-bound, no priorities",
	  [](dispatch_entry *e) { e->latency_bound = 1; },
	  DISPATCH_NO_PRIORITIES, 0 },
	{ "queued earlier", [](dispatch_entry *e) { e->queued_at_ns = -1; }, 0,
	  1 },
	{ "queued later", [](dispatch_entry *e) { e->queued_at_ns = 1; }, 0,
	  0 },
	{ "latency-bound, though queued later",
	  [](dispatch_entry *e) {
		  e->latency_bound = 1;
		  e->queued_at_ns = 1;
	  },
	  0, 1 },
};

TEST(DispatchQueue, Order)
{
	for (const order_case &c : orders) {
		dispatch_queue queue;
		dispatch_entry first = make_entry("forecast", 1000);
		dispatch_entry second = make_entry("forecast", 1000);

		dispatch_queue_init(&queue, 10);
		queue.disabled_parts = c.parts_off;
		c.change(&second);
		EXPECT_EQ(dispatch_queue_push(&queue, &first), nullptr);
		EXPECT_EQ(dispatch_queue_push(&queue, &second), nullptr);
		EXPECT_EQ(dispatch_queue_peek(&queue),
			  c.second_first ? &second : &first)
			<< c.what;
		EXPECT_EQ(dispatch_queue_pop(&queue),
			  c.second_first ? &second : &first)
			<< c.what;
		EXPECT_FALSE(dispatch_entry_queued(c.second_first ? &second
								  : &first));
		EXPECT_NE(dispatch_queue_pop(&queue), nullptr) << c.what;
		EXPECT_EQ(dispatch_queue_pop(&queue), nullptr) << c.what;
		dispatch_queue_finish(&queue);
	}
}

struct share_case {
	const char *what;
	uint32_t weight_of_small;
	uint32_t parts_off;
	int small_least; /* of the first 40 served */
	int small_most;
};

const share_case shares[] = {
	{ "equal weights", 1, 0, 20, 20 },
	{ "three to one", 3, 0, 29, 31 },
	{ "no fairness: by arrival", 1, DISPATCH_NO_FAIRNESS, 0, 0 },
};

TEST(DispatchQueue, TeamsGetTheirShares)
{
	for (const share_case &c : shares) {
		dispatch_queue queue;
		std::vector<dispatch_entry> large(200);
		std::vector<dispatch_entry> small(40);
		int served = 0;

		dispatch_queue_init(&queue, 1000);
		queue.disabled_parts = c.parts_off;
		for (dispatch_entry &entry : large) {
			entry = make_entry("large", 100);
			dispatch_queue_push(&queue, &entry);
		}
		for (dispatch_entry &entry : small) {
			entry = make_entry("small", 100);
			entry.weight = c.weight_of_small;
			dispatch_queue_push(&queue, &entry);
		}
		for (int i = 0; i < 40; i++)
			if (!strcmp(dispatch_queue_pop(&queue)->team, "small"))
				served++;
		EXPECT_GE(served, c.small_least) << c.what;
		EXPECT_LE(served, c.small_most) << c.what;
		dispatch_queue_finish(&queue);
	}
}

TEST(DispatchQueue, AnIdleTeamSavesUpNothing)
{
	dispatch_queue queue;
	std::vector<dispatch_entry> large(100);
	std::vector<dispatch_entry> late(20);
	int late_served = 0;

	dispatch_queue_init(&queue, 1000);
	for (dispatch_entry &entry : large) {
		entry = make_entry("large", 100);
		dispatch_queue_push(&queue, &entry);
	}
	for (int i = 0; i < 50; i++)
		dispatch_queue_pop(&queue);
	for (dispatch_entry &entry : late) {
		entry = make_entry("late", 100);
		dispatch_queue_push(&queue, &entry);
	}
	for (int i = 0; i < 20; i++)
		late_served +=
			!strcmp(dispatch_queue_pop(&queue)->team, "late");
	EXPECT_GE(late_served, 9);
	EXPECT_LE(late_served, 11);
	dispatch_queue_finish(&queue);
}

struct overflow_case {
	const char *what;
	const char *team;
	int latency_bound;
	int rejects_itself;
};

const overflow_case overflows[] = {
	{ "the team that floods is refused", "large", 0, 1 },
	{ "another team is taken", "small", 0, 0 },
	{ "a latency-bound request is taken", "large", 1, 0 },
};

TEST(DispatchQueue, OverflowRefusesTheWorst)
{
	for (const overflow_case &c : overflows) {
		dispatch_queue queue;
		std::vector<dispatch_entry> large(8);
		dispatch_entry extra = make_entry(c.team, 100);

		dispatch_queue_init(&queue, 8);
		for (dispatch_entry &entry : large) {
			entry = make_entry("large", 100);
			EXPECT_EQ(dispatch_queue_push(&queue, &entry), nullptr);
		}
		extra.latency_bound = c.latency_bound;
		dispatch_entry *rejected = dispatch_queue_push(&queue, &extra);
		EXPECT_EQ(rejected, c.rejects_itself ? &extra : &large[7])
			<< c.what;
		EXPECT_EQ(queue.count, 8u) << c.what;
		EXPECT_FALSE(dispatch_entry_queued(rejected)) << c.what;
		dispatch_queue_finish(&queue);
	}
}

TEST(DispatchQueue, RemovalKeepsTheOrderOfTheRest)
{
	/* Cancels each of ten entries in turn. */
	for (int cancelled = 0; cancelled < 10; cancelled++) {
		dispatch_queue queue;
		std::vector<dispatch_entry> entries(10);
		int64_t last = 0;

		dispatch_queue_init(&queue, 10);
		for (int i = 0; i < 10; i++) {
			entries[i] = make_entry("forecast", 100);
			entries[i].queued_at_ns = (i * 7) % 10 + 1;
			dispatch_queue_push(&queue, &entries[i]);
		}
		dispatch_queue_remove(&queue, &entries[cancelled]);
		EXPECT_EQ(queue.count, 9u);
		EXPECT_DOUBLE_EQ(queue.queued_tokens, 900);
		for (int i = 0; i < 9; i++) {
			dispatch_entry *next = dispatch_queue_pop(&queue);

			ASSERT_NE(next, nullptr);
			EXPECT_NE(next, &entries[cancelled]);
			EXPECT_GT(next->queued_at_ns, last);
			last = next->queued_at_ns;
		}
		dispatch_queue_finish(&queue);
	}
}

int not_large(void *, const dispatch_entry *entry)
{
	return strcmp(entry->team, "large") != 0;
}

TEST(DispatchQueue, ATeamAtItsLimitHoldsUpNoOther)
{
	dispatch_queue queue;
	dispatch_entry first = make_entry("large", 100);
	dispatch_entry second = make_entry("small", 100);

	dispatch_queue_init(&queue, 10);
	dispatch_queue_push(&queue, &first);
	dispatch_queue_push(&queue, &second);
	EXPECT_EQ(dispatch_queue_pop_allowed(&queue, not_large, nullptr),
		  &second);
	EXPECT_EQ(dispatch_queue_pop_allowed(&queue, not_large, nullptr),
		  nullptr);
	EXPECT_EQ(queue.count, 1u);
	dispatch_queue_finish(&queue);
}

TEST(DispatchQueue, TokensOfATeam)
{
	dispatch_queue queue;
	dispatch_entry first = make_entry("large", 100);
	dispatch_entry second = make_entry("large", 150);
	dispatch_entry urgent = make_entry("large", 50);

	dispatch_queue_init(&queue, 10);
	urgent.latency_bound = 1;
	dispatch_queue_push(&queue, &first);
	dispatch_queue_push(&queue, &second);
	dispatch_queue_push(&queue, &urgent);
	EXPECT_DOUBLE_EQ(dispatch_queue_team_tokens(&queue, "large"), 250);
	EXPECT_DOUBLE_EQ(dispatch_queue_team_tokens(&queue, "small"), 0);
	dispatch_queue_pop(&queue);
	dispatch_queue_pop(&queue);
	EXPECT_DOUBLE_EQ(dispatch_queue_team_tokens(&queue, "large"), 150);
	dispatch_queue_finish(&queue);
}

struct admission_case {
	const char *what;
	double tokens_ahead;
	double deadline_s; /* 0: none */
	int admitted;
	uint32_t retry_least_ms;
	uint32_t retry_most_ms;
};

/* The rate is 1000 tokens/s and the service time is 2 s. */
const admission_case admissions[] = {
	{ "no deadline", 1e6, 0, 1, 0, 0 },
	{ "in time", 7000, 10, 1, 0, 0 },
	{ "just too late", 9000, 10, 0, 1000, 1100 },
	{ "much too late", 68000, 10, 0, 60000, 66000 },
};

TEST(Admission, DeadlineAgainstTheWait)
{
	for (const admission_case &c : admissions) {
		admission control;
		admission_request request = {};
		rng random;

		rng_init(&random, 21);
		admission_init(&control, 1000, 0);
		request.tokens = 100;
		request.service_s = 2;
		request.deadline_ns = (int64_t)(c.deadline_s * NS_PER_S);
		admission_verdict verdict = admission_decide(
			&control, &request, c.tokens_ahead, &random, 0);
		EXPECT_EQ(verdict.admitted, c.admitted) << c.what;
		EXPECT_GE(verdict.retry_after_ms, c.retry_least_ms) << c.what;
		EXPECT_LE(verdict.retry_after_ms, c.retry_most_ms) << c.what;
	}
}

TEST(Admission, CallersWhoObeyAreAdmitted)
{
	admission control;
	rng random;
	int64_t retry_ns[50];

	/* The queue takes 60 s, far beyond the deadline of 10 s. */
	rng_init(&random, 22);
	admission_init(&control, 1000, 0);
	for (int64_t &at_ns : retry_ns) {
		admission_request request = { 500, 2, 10 * NS_PER_S, 0 };
		admission_verdict verdict =
			admission_decide(&control, &request, 60000, &random, 0);

		ASSERT_FALSE(verdict.admitted);
		at_ns = verdict.retry_after_ms * NS_PER_MS;
	}
	for (int i = 0; i < 50; i++) {
		int64_t now = retry_ns[i];
		double left = 60000 - 1000.0 * now / NS_PER_S + 500 * i;
		admission_request request = { 500, 2, now + 10 * NS_PER_S,
					      now };

		EXPECT_TRUE(admission_decide(&control, &request,
					     left > 0 ? left : 0, &random, now)
				    .admitted)
			<< "caller " << i;
	}
	/* Fifty reservations for the same time could not all be met. */
	EXPECT_GT(retry_ns[49], retry_ns[0] + 20 * NS_PER_S);
}

TEST(Admission, LearnsTheRateOnlyWhileThereIsWork)
{
	admission control;

	admission_init(&control, 1000, 0);
	for (int s = 1; s <= 80; s++)
		admission_finished(&control, 10, 0, s * NS_PER_S);
	EXPECT_DOUBLE_EQ(control.tokens_per_s, 1000);
	for (int s = 81; s <= 320; s++)
		admission_finished(&control, 400, 1, s * NS_PER_S);
	EXPECT_NEAR(control.tokens_per_s, 400, 1);
	for (int s = 321; s <= 600; s++)
		admission_finished(&control, 2000, 0, s * NS_PER_S);
	EXPECT_NEAR(control.tokens_per_s, 2000, 1);
}

} // namespace
