// Hosts that all start at once and list thousands of servers at one store.
// Guards against time limits that hold the overload up which they met: what a
// host gives up on costs the store as much as what it takes.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "policy/list_patience.h"
#include "store/keyed_follower.h"
}

namespace
{

const int64_t STEP_NS = 10 * NS_PER_MS;
const int64_t LIMIT_NS = 600 * NS_PER_MS;
const int RECOVER_STEPS = 1200; // the pages' `recover_s`, 12 s

struct Call {
	struct topic_newest *newest; // NULL: given up or answered
	int64_t limit_ns; // when it is given up
};

// Answers one page a step, in the order of the calls.
class SlowStore
{
      public:
	explicit SlowStore(uint32_t pages) : pages_(pages)
	{
		log_.base.vt = &vtable_;
		log_.store = this;
	}

	void run_step(int64_t now_ns);
	struct topic_log *log()
	{
		return &log_.base;
	}

	int64_t now_ns = 0;
	int silent_until_step = 0;

      private:
	struct Log {
		struct topic_log base;
		SlowStore *store;
	};

	static void do_read(struct topic_log *, struct topic_read *read)
	{
		read->call = nullptr; // no news
	}
	static void do_newest(struct topic_log *log,
			      struct topic_newest *newest);
	static void do_cancel(struct topic_log *, void *)
	{
	}
	void answer(struct topic_newest *newest);

	static const struct topic_log_vtable vtable_;
	Log log_ = {};
	uint32_t pages_;
	std::deque<std::shared_ptr<Call>> queue_;
	std::vector<std::shared_ptr<Call>> waiting_;
	int step_ = 0;
};

const struct topic_log_vtable SlowStore::vtable_ = { nullptr, do_read,
						     do_newest, do_cancel };

void SlowStore::do_newest(struct topic_log *log, struct topic_newest *newest)
{
	SlowStore *self = ((Log *)log)->store;
	auto call = std::make_shared<Call>(
		Call{ newest, self->now_ns + newest->timeout_ns });

	self->queue_.push_back(call);
	self->waiting_.push_back(call);
}

void SlowStore::answer(struct topic_newest *newest)
{
	size_t page = newest->after.len + 1;

	newest->each(newest, std::string(page, 'k').c_str(), "1", 1, page);
	strbuf_addch(&newest->after, 'k');
	newest->outcome = TOPIC_OK;
	newest->end = pages_;
	newest->has_more = page < pages_;
	newest->done(newest);
}

void SlowStore::run_step(int64_t at_ns)
{
	std::vector<std::shared_ptr<Call>> late;

	now_ns = at_ns;
	for (const auto &call : waiting_)
		if (call->newest && call->limit_ns <= now_ns)
			late.push_back(call);
	for (const auto &call : late) {
		struct topic_newest *newest = call->newest;

		call->newest = nullptr;
		newest->outcome = TOPIC_UNKNOWN;
		newest->done(newest);
	}
	waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(),
				      [](const std::shared_ptr<Call> &call) {
					      return !call->newest;
				      }),
		       waiting_.end());
	if (queue_.empty() || step_++ < silent_until_step)
		return;
	std::shared_ptr<Call> first = queue_.front();
	struct topic_newest *newest = first->newest;

	queue_.pop_front();
	first->newest = nullptr;
	if (newest)
		answer(newest);
}

void on_put(struct keyed_follower *, const char *, const void *, size_t,
	    uint64_t)
{
}

void on_drop(struct keyed_follower *, const char *, uint64_t)
{
}

struct HerdCase {
	const char *name;
	int hosts;
	uint32_t pages;
	int silent_steps; // of the store, at the start
	int steps_max; // until all hosts have listed
};

} // namespace

TEST(HerdOfStarts, ListsInAFewTimesTheStoresWork)
{
	const struct keyed_follower_vtable vtable = { on_put,  on_drop, nullptr,
						      nullptr, nullptr, nullptr,
						      nullptr, nullptr };
	const struct keyed_follower_settings settings = { "keyed.servers", 0, 0,
							  LIMIT_NS };
	// The store's work is a step for each page of each host. Where all of
	// it takes longer than the pages leave, three times as long may pass.
	const HerdCase cases[] = {
		{ "a host alone", 1, 6, 0, 12 },
		{ "a few hosts", 20, 6, 0, 3 * 120 },
		{ "all hosts", 300, 6, 0, 3 * 1800 },
		{ "all hosts of a small deployment", 300, 1, 0, RECOVER_STEPS },
		{ "a store that is silent for a second", 1, 1, 100, 300 },
	};

	for (const HerdCase &c : cases) {
		SCOPED_TRACE(c.name);
		struct fake_clock clock;
		struct timer_service timers;
		SlowStore store(c.pages);
		std::vector<struct keyed_follower> hosts((size_t)c.hosts);
		int steps = 0;
		auto has_listed = [](const struct keyed_follower &host) {
			return host.is_listed;
		};

		fake_clock_init(&clock, 0);
		timer_service_init(&timers, &clock.base);
		store.silent_until_step = c.silent_steps;
		for (struct keyed_follower &host : hosts) {
			keyed_follower_init(&host, &vtable, store.log(),
					    &timers, &settings, nullptr);
			keyed_follower_start(&host);
			fake_clock_advance(&clock, 1);
		}
		while (!std::all_of(hosts.begin(), hosts.end(), has_listed) &&
		       ++steps < 100000) {
			fake_clock_advance(&clock, STEP_NS);
			store.run_step(clock.now_ns);
			timer_service_run_due(&timers);
		}
		EXPECT_LE(steps, c.steps_max);
		for (struct keyed_follower &host : hosts)
			keyed_follower_finish(&host);
		timer_service_finish(&timers);
	}
}

TEST(ListPatience, GrowsWithPagesThatDidNotCome)
{
	const struct {
		uint32_t given_up;
		int64_t limit_ms, pause_max_ms;
	} cases[] = {
		{ 0, 600, 0 },	   { 1, 1200, 600 },  { 2, 2400, 1200 },
		{ 3, 4800, 2400 }, { 4, 6000, 3000 }, { 99, 6000, 3000 },
	};

	for (const auto &c : cases) {
		struct list_patience patience = { c.given_up };

		EXPECT_EQ(c.limit_ms * NS_PER_MS,
			  list_patience_limit_ns(&patience, LIMIT_NS));
		EXPECT_EQ(c.pause_max_ms * NS_PER_MS / 2,
			  list_patience_pause_ns(&patience, LIMIT_NS, 0.5));
		EXPECT_EQ(0, list_patience_pause_ns(&patience, LIMIT_NS, 0));
	}
}
