// A replay of many hosts that choose servers at the same moment, by reports
// that are as old as their own last answer. It guards against servers that are
// overrun in turns while others idle.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "policy/load_estimate.h"
#include "policy/load_fill.h"
#include "policy/plain_choice.h"
}

namespace
{

// Chooses by the views of one host.
typedef int32_t (*choose_fn)(std::vector<struct plain_server> &views,
			     struct rng *rng);

const int64_t START_NS = 100 * NS_PER_S;

int32_t choose_drawn(std::vector<struct plain_server> &views, struct rng *rng)
{
	return plain_choice(views.data(), (uint32_t)views.size(), rng);
}

int32_t choose_least_reported(std::vector<struct plain_server> &views,
			      struct rng *rng)
{
	for (struct plain_server &view : views)
		view.is_estimated = 0;
	return plain_choice(views.data(), (uint32_t)views.size(), rng);
}

int32_t choose_at_random(std::vector<struct plain_server> &views,
			 struct rng *rng)
{
	return (int32_t)rng_below(rng, views.size());
}

double expected_time(const struct plain_server &view)
{
	struct load_fill_server server = { view.slots,
					   plain_server_requests(&view),
					   view.slowdown };

	return load_fill_time(&server);
}

int32_t choose_of_two(std::vector<struct plain_server> &views, struct rng *rng)
{
	size_t a = rng_below(rng, views.size());
	size_t b = rng_below(rng, views.size());

	return (int32_t)(expected_time(views[b]) < expected_time(views[a]) ? b
									   : a);
}

int32_t choose_least_expected(std::vector<struct plain_server> &views,
			      struct rng *rng)
{
	size_t first = rng_below(rng, views.size());
	size_t best = first;

	for (size_t i = 1; i < views.size(); i++) {
		size_t at = (first + i) % views.size();

		if (expected_time(views[at]) < expected_time(views[best]))
			best = at;
	}
	return (int32_t)best;
}

struct plain_server not_heard_of()
{
	struct plain_server s = {};

	s.reported_age_ns = -1;
	s.usable = 1;
	return s;
}

struct ReplayLoad {
	const char *name;
	uint32_t hosts;
	std::vector<uint32_t> slots; /* of each server */
	double per_ms; /* requests of all hosts */
	uint32_t burst; /* more of them, every 200 ms */
	int64_t way_ms; /* from a host to a server */
	double slow_share; /* of the time in which a server is slow */
};

struct ReplayResult {
	double peak_queue;
	double uneven; /* share of time a server queues while one is half idle
			*/
	double mean_wait_ms;
	double late; /* share of requests that take longer than the goal */
};

const int64_t GOAL_MS = 150; /* of the two customers' single requests */
const double WORK_MS = 25;
const double SLOW_FACTOR = 2.5;
const int64_t SLOW_CHANGE_MS = 600;

struct ReplayRequest {
	uint32_t host;
	int64_t arrived_ms, done_ms;
};

struct ReplayServer {
	uint32_t slots;
	bool is_slow;
	std::vector<ReplayRequest> running;
	std::deque<ReplayRequest> queue;
};

struct ReplayMessage {
	int64_t at_ms;
	uint32_t host, server;
	struct load_report report;
};

// Hosts know a server only by the answers to their own requests.
class Replay
{
      public:
	Replay(const ReplayLoad &load, choose_fn choose, uint64_t seed)
	    : load_(load), choose_(choose),
	      views_(load.hosts, std::vector<struct plain_server>(
					 load.slots.size(), not_heard_of())),
	      estimates_(load.hosts,
			 std::vector<struct load_estimate>(load.slots.size()))
	{
		rng_init(&rng_, seed);
		for (uint32_t slots : load.slots)
			servers_.push_back({ slots, false, {}, {} });
	}

	ReplayResult run(int64_t duration_ms)
	{
		for (now_ms_ = 0; now_ms_ < duration_ms; now_ms_++) {
			change_speeds();
			deliver_answers();
			send_requests();
			deliver_requests();
			work();
		}
		return result(duration_ms);
	}

      private:
	int64_t now_ns() const
	{
		return START_NS + now_ms_ * NS_PER_MS;
	}

	void change_speeds()
	{
		for (ReplayServer &s : servers_)
			if (!rng_below(&rng_, SLOW_CHANGE_MS / 2))
				s.is_slow = rng_unit(&rng_) < load_.slow_share;
	}

	void deliver_answers()
	{
		for (; !answers_.empty() && answers_.front().at_ms <= now_ms_;
		     answers_.pop_front()) {
			ReplayMessage &m = answers_.front();
			struct plain_server &view = views_[m.host][m.server];

			m.report.own = view.own_running--;
			view.reported = m.report.running + m.report.waiting;
			view.reported_age_ns = now_ns();
			load_estimate_report(&estimates_[m.host][m.server],
					     &m.report, now_ns());
		}
	}

	std::vector<struct plain_server> view(uint32_t host) const
	{
		std::vector<struct plain_server> out = views_[host];

		for (size_t i = 0; i < out.size(); i++) {
			const struct load_estimate *e = &estimates_[host][i];

			out[i].slots = load_.slots[i];
			out[i].is_estimated = load_estimate_is_known(e);
			if (!out[i].is_estimated)
				continue;
			out[i].reported_age_ns =
				now_ns() - out[i].reported_age_ns;
			out[i].others = load_estimate_others(e, now_ns());
			out[i].slowdown = load_estimate_slowdown(e, now_ns());
			out[i].weight = load_estimate_weight(e, now_ns());
		}
		return out;
	}

	void send_requests()
	{
		double expected = load_.per_ms;

		if (now_ms_ % 200 == 0)
			expected += load_.burst;
		for (; expected > 0; expected--) {
			uint32_t host = (uint32_t)rng_below(&rng_, load_.hosts);
			std::vector<struct plain_server> views = view(host);
			uint32_t server;

			if (expected < 1 && rng_unit(&rng_) >= expected)
				break;
			server = (uint32_t)choose_(views, &rng_);
			views_[host][server].own_running++;
			load_estimate_sent(&estimates_[host][server], now_ns());
			requests_.push_back(
				{ now_ms_ + load_.way_ms, host, server, {} });
		}
	}

	void deliver_requests()
	{
		for (; !requests_.empty() && requests_.front().at_ms <= now_ms_;
		     requests_.pop_front()) {
			const ReplayMessage &m = requests_.front();

			servers_[m.server].queue.push_back(
				{ m.host, now_ms_, 0 });
		}
	}

	void answer(uint32_t server, uint32_t host)
	{
		const ReplayServer &s = servers_[server];
		struct load_report report = {};

		report.running = (uint32_t)s.running.size();
		report.waiting = (uint32_t)s.queue.size();
		report.slowdown_percent =
			s.is_slow ? (uint32_t)(100 * SLOW_FACTOR) : 100;
		answers_.push_back(
			{ now_ms_ + load_.way_ms, host, server, report });
	}

	void start(ReplayServer &s)
	{
		ReplayRequest request = s.queue.front();
		double work_ms = WORK_MS * (0.5 + rng_unit(&rng_));

		s.queue.pop_front();
		if (s.is_slow)
			work_ms *= SLOW_FACTOR;
		request.done_ms = now_ms_ + 1 + (int64_t)work_ms;
		started_++;
		waited_ms_ += now_ms_ - request.arrived_ms;
		late_ += request.done_ms - request.arrived_ms +
				 2 * load_.way_ms >
			 GOAL_MS;
		s.running.push_back(request);
	}

	void work()
	{
		bool has_queue = false, has_idle = false;

		for (uint32_t i = 0; i < servers_.size(); i++) {
			ReplayServer &s = servers_[i];

			for (size_t r = s.running.size(); r-- > 0;) {
				if (s.running[r].done_ms > now_ms_)
					continue;
				answer(i, s.running[r].host);
				s.running.erase(s.running.begin() +
						(ptrdiff_t)r);
			}
			while (!s.queue.empty() && s.running.size() < s.slots)
				start(s);
			peak_ = std::max(peak_, (uint32_t)s.queue.size());
			has_queue |= !s.queue.empty();
			has_idle |= s.running.size() <= s.slots / 2;
		}
		uneven_ms_ += has_queue && has_idle;
	}

	ReplayResult result(int64_t duration_ms)
	{
		return { (double)peak_,
			 (double)uneven_ms_ / (double)duration_ms,
			 (double)waited_ms_ / (double)started_,
			 (double)late_ / (double)started_ };
	}

	const ReplayLoad &load_;
	choose_fn choose_;
	std::vector<std::vector<struct plain_server>> views_;
	std::vector<std::vector<struct load_estimate>> estimates_;
	std::vector<ReplayServer> servers_;
	std::deque<ReplayMessage> requests_, answers_;
	struct rng rng_;
	int64_t now_ms_ = 0, uneven_ms_ = 0, waited_ms_ = 0;
	int64_t started_ = 0, late_ = 0;
	uint32_t peak_ = 0;
};

// Means over the seeds.
ReplayResult replay(const ReplayLoad &load, choose_fn choose)
{
	const int seeds = 8;
	ReplayResult mean = {};

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		ReplayResult r = Replay(load, choose, seed).run(10000);

		mean.peak_queue += r.peak_queue / seeds;
		mean.uneven += r.uneven / seeds;
		mean.mean_wait_ms += r.mean_wait_ms / seeds;
		mean.late += r.late / seeds;
	}
	return mean;
}

} // namespace

TEST(EvenLoad, ServersAreNotOverrunInTurns)
{
	const ReplayLoad loads[] = {
		{ "few hosts, fresh reports", 3, { 6, 6, 6, 6 }, 0.5, 0, 1, 0 },
		{ "many hosts", 100, { 6, 6, 6, 6 }, 0.6, 0, 2, 0 },
		{ "many hosts and bursts", 100, { 6, 6, 6, 6 }, 0.4, 20, 2, 0 },
		{ "uneven servers", 40, { 2, 4, 8, 12 }, 0.6, 0, 2, 0 },
		{ "shared hosts", 40, { 6, 6, 6, 6 }, 0.5, 0, 2, 0.15 },
		{ "shared hosts, bursts, many servers", 40,
		  std::vector<uint32_t>(20, 6), 2, 60, 2, 0.15 },
	};
	const struct {
		const char *name;
		choose_fn choose;
	} choosers[] = {
		{ "least reported", choose_least_reported },
		{ "least expected", choose_least_expected },
		{ "two choices", choose_of_two },
		{ "random", choose_at_random },
		{ "drawn", choose_drawn },
	};

	for (const ReplayLoad &load : loads) {
		SCOPED_TRACE(load.name);
		ReplayResult r[ARRAY_SIZE(choosers)];

		for (size_t i = 0; i < ARRAY_SIZE(choosers); i++) {
			r[i] = replay(load, choosers[i].choose);
			printf("%s; %s: peak queue %.1f, uneven %.3f, "
			       "wait %.2f ms, late %.4f\n",
			       load.name, choosers[i].name, r[i].peak_queue,
			       r[i].uneven, r[i].mean_wait_ms, r[i].late);
		}
		const ReplayResult &reported = r[0], &drawn = r[4];

		EXPECT_LE(drawn.uneven, reported.uneven);
		EXPECT_LE(drawn.peak_queue, reported.peak_queue);
		EXPECT_LE(drawn.mean_wait_ms, reported.mean_wait_ms);
		EXPECT_LE(drawn.late, 0.01);
	}
}
