// How reward calls wait and are placed: single requests are served during a
// burst of calls, and neither starves the other.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "policy/reward_turn.h"
}

namespace
{

// A server that runs a fixed number of requests concurrently and queues the
// others.
struct SimulatedServer {
	std::vector<int64_t> slots_free_ms;
};

struct SimulatedRequest {
	int64_t sent_ms, done_ms;
	size_t server;
	bool is_call;
};

struct SimulationResult {
	int64_t worst_single_ms; // from arrival to response
	int64_t last_call_ms; // response to the last call
};

// Simulates 72 texts that become complete at once, for four servers with six
// slots, while a single request arrives every 10 ms; each call or request takes
// 30 ms.
SimulationResult simulate_burst(bool calls_wait)
{
	const int64_t work_ms = 30;
	std::vector<SimulatedServer> servers(
		4, SimulatedServer{ std::vector<int64_t>(6, 0) });
	std::vector<SimulatedRequest> running;
	SimulationResult result = { 0, 0 };
	size_t waiting = 72;
	struct rng rng;

	rng_init(&rng, 1);
	auto views = [&] {
		std::vector<struct plain_server> out(servers.size());

		for (size_t i = 0; i < out.size(); i++) {
			out[i] = {};
			out[i].slots = 6;
			out[i].usable = 1;
			out[i].reported_age_ns = -1;
			for (const SimulatedRequest &r : running)
				out[i].own_running += r.server == i;
		}
		return out;
	};
	auto send = [&](int64_t now_ms, int32_t at, bool is_call) {
		auto &free_ms = servers[(size_t)at].slots_free_ms;
		auto slot = std::min_element(free_ms.begin(), free_ms.end());

		*slot = std::max(*slot, now_ms) + work_ms;
		running.push_back({ now_ms, *slot, (size_t)at, is_call });
	};
	for (int64_t now_ms = 0; now_ms < 1000; now_ms++) {
		for (size_t i = 0; i < running.size();) {
			const SimulatedRequest r = running[i];

			if (r.done_ms > now_ms) {
				i++;
				continue;
			}
			if (r.is_call)
				result.last_call_ms = now_ms;
			else
				result.worst_single_ms =
					std::max(result.worst_single_ms,
						 now_ms - r.sent_ms);
			running.erase(running.begin() + (ptrdiff_t)i);
		}
		while (waiting) {
			auto list = views();
			int32_t at =
				calls_wait ? reward_turn_place(
						     list.data(),
						     (uint32_t)list.size(),
						     now_ms * NS_PER_MS, &rng)
					   : plain_choice(list.data(),
							  (uint32_t)list.size(),
							  &rng);
			if (at < 0)
				break;
			send(now_ms, at, true);
			waiting--;
		}
		if (now_ms % 10 == 5) {
			auto list = views();

			send(now_ms,
			     plain_choice(list.data(), (uint32_t)list.size(),
					  &rng),
			     false);
		}
	}
	return result;
}

} // namespace

TEST(RewardTurn, ABurstOfCallsLeavesRoomForSingleRequests)
{
	SimulationResult without = simulate_burst(false);
	SimulationResult now = simulate_burst(true);

	EXPECT_GE(without.worst_single_ms, 90) << "else the load is no burst";
	EXPECT_EQ(30, now.worst_single_ms) << "none waits for a slot";
	/* The calls use two thirds of the slots: half as long again. */
	EXPECT_LE(now.last_call_ms, without.last_call_ms * 3 / 2 + 30);
}

TEST(RewardTurn, TakesEverySlotAfterALongWait)
{
	struct plain_server busy = {};
	struct rng rng;

	rng_init(&rng, 1);
	busy.slots = 6;
	busy.own_running = 5;
	busy.reported_age_ns = -1;
	busy.usable = 1;
	EXPECT_EQ(-1, reward_turn_place(&busy, 1, 299 * NS_PER_MS, &rng));
	busy.usable = 1;
	EXPECT_EQ(0, reward_turn_place(&busy, 1, 300 * NS_PER_MS, &rng));
	busy.usable = 1;
	busy.own_running = 6;
	EXPECT_EQ(-1, reward_turn_place(&busy, 1, 9000 * NS_PER_MS, &rng));
}

TEST(RewardTurn, EndsGroupsThatHaveTheLeastLeftFirst)
{
	const struct reward_rank in_order[] = {
		{ 1, 9, 9, 9, 9 }, { 0, 1, 5, 9, 9 }, { 0, 2, 1, 5, 0 },
		{ 0, 2, 1, 6, 0 }, { 0, 2, 1, 6, 1 }, { 0, 2, 2, 1, 0 },
	};

	for (size_t i = 0; i < ARRAY_SIZE(in_order); i++)
		for (size_t j = 0; j < ARRAY_SIZE(in_order); j++)
			EXPECT_EQ(i < j, reward_turn_compare(&in_order[i],
							     &in_order[j]) < 0)
				<< i << " " << j;
}
