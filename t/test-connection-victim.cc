// Which connection gives way at a limit, without a network: a crowd that makes
// no progress must be closed before ordinary callers.
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "base/clock.h"
#include "policy/connection_victim.h"
}

namespace
{

const int64_t NOW_NS = 100 * NS_PER_S;
const uint64_t KB = 1024;

struct Connection {
	double lag_s;
	uint64_t held;
	bool is_waiting;
	uint64_t moved = 0;
};

// Began one second before; the rate tells connections apart that don't lag.
struct VictimCase {
	const char *name;
	std::vector<Connection> connections;
	int slot; // victim for a new connection; -1: none
	int memory; // victim for memory
};

const Connection silent = { 5, 4 * KB, false };
const Connection new_caller = { 0.01, 4 * KB, false };
const Connection stalled_body = { 5, 70 * KB, false };
const Connection moving_body = { 0, 20000 * KB, false, 20000 * KB };
const Connection new_body = { 0, 900 * KB, false, 900 * KB };
const Connection slow_body = { 0.01, 160 * KB, false, 160 * KB };
const Connection waiting = { 60, 900 * KB, true };
const Connection unread_answer = { 8, 256 * KB, false };
const Connection read_answer = { 0, 256 * KB, false, 4000 * KB };
const Connection dripping = { 49, 5 * KB, false };

std::vector<Connection> crowd(int count, Connection of, Connection last)
{
	std::vector<Connection> out(count, of);

	out.push_back(last);
	return out;
}

const VictimCase cases[] = {
	{ "nobody", {}, -1, -1 },
	{ "only requests that wait", { waiting, waiting }, -1, -1 },
	{ "a request that waits stays", { waiting, new_caller }, 1, 1 },
	{ "the longest silence", { new_caller, silent }, 1, 1 },
	{ "a stalled body", { new_body, stalled_body, new_caller }, 1, 1 },
	{ "a body that arrives stays", { moving_body, silent }, 1, 1 },
	{ "the slower of two bodies", { moving_body, new_body }, 0, 1 },
	{ "a slow body before a large one", { new_body, slow_body }, 1, 1 },
	{ "an answer that is read stays",
	  { read_answer, unread_answer },
	  1,
	  1 },
	{ "a byte now and then is no progress", { dripping, silent }, 0, 0 },
	{ "silence holds less memory than an answer",
	  { silent, unread_answer, waiting },
	  1,
	  1 },
	{ "a crowd before a caller", crowd(100, silent, new_caller), 0, 0 },
	{ "a crowd of bodies before a caller",
	  crowd(100, stalled_body, new_body), 0, 0 },
};

std::vector<connection_progress> progress_of(const VictimCase &c)
{
	std::vector<connection_progress> list;

	for (const Connection &connection : c.connections)
		list.push_back(
			{ connection.is_waiting,
			  { NOW_NS - NS_PER_S, connection.moved,
			    (int64_t)(connection.lag_s * (double)NS_PER_S),
			    NOW_NS },
			  connection.held });
	return list;
}

TEST(ConnectionVictim, IsWhoMakesLeastProgress)
{
	for (const VictimCase &c : cases) {
		SCOPED_TRACE(c.name);
		std::vector<connection_progress> list = progress_of(c);

		EXPECT_EQ(c.slot,
			  connection_victim_for_slot(
				  list.data(), (uint32_t)list.size(), NOW_NS));
		EXPECT_EQ(c.memory,
			  connection_victim_for_memory(
				  list.data(), (uint32_t)list.size(), NOW_NS));
	}
}

struct PaceCase {
	const char *name;
	std::vector<std::pair<double, uint64_t>> moves; // at a time in s
	double lag_s; // at 10 s
};

const PaceCase paces[] = {
	{ "nothing moves", {}, 10 },
	{ "all at once, then nothing", { { 1, 900 * KB } }, 9 },
	{ "at the rate",
	  { { 2, 128 * KB },
	    { 4, 128 * KB },
	    { 6, 128 * KB },
	    { 8, 128 * KB } },
	  2 },
	{ "half the rate", { { 4, 128 * KB }, { 8, 128 * KB } }, 6 },
	{ "a byte now and then", { { 3, 1 }, { 6, 1 }, { 9, 1 } }, 10 },
};

TEST(ConnectionPace, SavesNoProgressUp)
{
	for (const PaceCase &c : paces) {
		SCOPED_TRACE(c.name);
		connection_pace pace;

		connection_pace_begin(&pace, 0);
		for (const auto &move : c.moves)
			connection_pace_moved(
				&pace, move.second,
				(int64_t)(move.first * (double)NS_PER_S));
		EXPECT_NEAR(c.lag_s,
			    (double)connection_lag_ns(&pace, 10 * NS_PER_S) /
				    (double)NS_PER_S,
			    0.001);
	}
}

} // namespace
