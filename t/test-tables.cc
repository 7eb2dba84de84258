// Tables of the daemon: backend servers, running requests, weight versions.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <thread>

extern "C" {
#include "backend/server_table.h"
#include "base/clock.h"
#include "request/running_table.h"
#include "request/team_slots.h"
#include "weights/version_table.h"
}

/* Longer than a circuit breaker stays open the first time. */
static const int64_t after_opening_ns = 2 * NS_PER_S;

class Servers : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		server_table_init(&table, 7 /* seed */);
		for (int i = 0; i < 3; i++) {
			struct host *host = &hosts[i];

			memset(host, 0, sizeof(*host));
			snprintf(host->name, NAME_BYTES, "engine-%d", i);
			snprintf(host->address, NAME_BYTES, "127.0.0.1:%d",
				 7000 + i);
			strcpy(host->pool, "lm");
			strcpy(host->data_centre, "voss");
			host->role = HOST_ENGINE;
		}
		list.generation = 1;
		list.hosts = hosts;
		list.host_count = 3;
		server_table_apply_host_list(&table, &list);
		for (int i = 0; i < 3; i++)
			report(i, 1);
		memset(&request, 0, sizeof(request));
		request.expected_tokens = 10;
		request.own_data_centre = "voss";
	}
	void TearDown() override
	{
		server_table_finish(&table);
	}
	void report(int i, uint64_t incarnation)
	{
		struct load_report report = { 0, 0, 8, 100, 1, incarnation };

		server_table_on_load(&table, "lm", hosts[i].name, &report, 0);
	}
	/* Returns the last digits of the servers picked for ten calls, sorted.
	 */
	std::string spread(int64_t now_ns)
	{
		std::string seen;

		for (int i = 0; i < 10; i++) {
			struct server_pick pick;

			if (server_table_pick(&table, "lm", &request, now_ns,
					      &pick))
				return seen + "-";
			char digit = pick.name[strlen(pick.name) - 1];

			if (seen.find(digit) == std::string::npos)
				seen += digit;
		}
		std::sort(seen.begin(), seen.end());
		return seen;
	}
	void fail(int i, int64_t now_ns)
	{
		server_table_done(&table, "lm", hosts[i].name, 10,
				  SERVER_FAILED, 1, now_ns);
	}
	struct server_table table;
	struct host hosts[3];
	struct host_list list;
	struct choice_request request;
};

TEST_F(Servers, ALeavingServerGetsNothingNew)
{
	EXPECT_EQ("012", spread(0));
	hosts[1].leaving = 1;
	server_table_apply_host_list(&table, &list);
	EXPECT_EQ("02", spread(0));
	list.host_count = 1;
	server_table_apply_host_list(&table, &list);
	EXPECT_EQ("0", spread(0));
}

// Between two load reports any number of short calls can run one after the
// other, and as many in parallel as the server's capacity.
TEST_F(Servers, AnAnswerMakesRoomBeforeTheNextReport)
{
	const int64_t sent_ns = NS_PER_MS;
	struct server_pick pick;

	list.host_count = 1;
	server_table_apply_host_list(&table, &list);
	request.needs_room = 1;
	for (int i = 0; i < 100; i++) {
		ASSERT_EQ(0, server_table_pick(&table, "lm", &request,
					       sent_ns + i, &pick))
			<< i;
		server_table_done(&table, "lm", "engine-0", 10, SERVER_ANSWERED,
				  1, sent_ns + i + 1);
	}
	for (int i = 0; i < 8; i++)
		ASSERT_EQ(0, server_table_pick(&table, "lm", &request, sent_ns,
					       &pick))
			<< i;
	EXPECT_EQ(-1,
		  server_table_pick(&table, "lm", &request, sent_ns, &pick));
}

// A request counted in the last load report frees its slot when it is answered.
TEST_F(Servers, AnAnswerOfReportedWorkMakesRoom)
{
	struct load_report full = { 8, 0, 8, 100, 1, 1 };
	struct server_pick pick;

	list.host_count = 1;
	server_table_apply_host_list(&table, &list);
	for (int i = 0; i < 8; i++)
		ASSERT_EQ(0,
			  server_table_pick(&table, "lm", &request, 0, &pick));
	server_table_on_load(&table, "lm", "engine-0", &full, NS_PER_MS);
	request.needs_room = 1;
	EXPECT_EQ(-1, server_table_pick(&table, "lm", &request, 2 * NS_PER_MS,
					&pick));
	server_table_done(&table, "lm", "engine-0", 10, SERVER_ANSWERED,
			  2 * NS_PER_MS, 2 * NS_PER_MS);
	EXPECT_EQ(0, server_table_pick(&table, "lm", &request, 2 * NS_PER_MS,
				       &pick));
	EXPECT_EQ(-1, server_table_pick(&table, "lm", &request, 2 * NS_PER_MS,
					&pick));
}

TEST_F(Servers, ACircuitOpensAndLetsOneProbeThrough)
{
	struct server_pick pick;

	list.host_count = 1;
	server_table_apply_host_list(&table, &list);
	for (int i = 0; i < CIRCUIT_FAILURES_TO_OPEN; i++) {
		ASSERT_EQ(0,
			  server_table_pick(&table, "lm", &request, 0, &pick));
		fail(0, 0);
	}
	EXPECT_EQ(-1, server_table_pick(&table, "lm", &request, 1, &pick));
	EXPECT_EQ(0, server_table_pick(&table, "lm", &request, after_opening_ns,
				       &pick));
	EXPECT_EQ(-1, server_table_pick(&table, "lm", &request,
					after_opening_ns, &pick));
	server_table_done(&table, "lm", "engine-0", 10, SERVER_ANSWERED, 1,
			  after_opening_ns);
	EXPECT_EQ(0, server_table_pick(&table, "lm", &request, after_opening_ns,
				       &pick));
}

TEST_F(Servers, ANewProcessStartsWithoutHistory)
{
	for (int i = 0; i < CIRCUIT_FAILURES_TO_OPEN; i++)
		fail(0, 0);
	EXPECT_EQ("12", spread(1));
	report(0, 2);
	EXPECT_EQ("012", spread(1));
}

TEST_F(Servers, AGoneServerGetsNothingUntilItReports)
{
	EXPECT_EQ(1, server_table_on_unreachable(&table, "lm", "engine-0"));
	EXPECT_EQ(0, server_table_on_unreachable(&table, "lm", "engine-0"));
	EXPECT_EQ("12", spread(1));
	struct load_report late = { 0, 0, 8, 100, 1, 1 };

	server_table_on_peer_load(&table, "lm", "engine-0", &late, 1);
	EXPECT_EQ(0, server_table_on_unreachable(&table, "lm", "engine-0"));
	EXPECT_EQ("12", spread(1));
	report(0, 2);
	EXPECT_NE(std::string::npos, spread(1).find('0'));
}

TEST_F(Servers, NobodyWaitsForAServerOfLongAgo)
{
	struct load_report full = { 8, 4, 8, 700, 1, 1 };
	struct server_pick pick;

	list.host_count = 2;
	server_table_apply_host_list(&table, &list);
	server_table_on_load(&table, "lm", "engine-0", &full, 0);
	server_table_on_load(&table, "lm", "engine-1", &full, 0);
	report(1, 1);
	request.needs_room = 1;
	EXPECT_EQ(0, server_table_pick(&table, "lm", &request, 9 * NS_PER_S,
				       &pick));
	EXPECT_STREQ("engine-1", pick.name);
}

/* The server of a suspect gets no other request until the suspect has ended. */
TEST_F(Servers, ASuspectRunsAlone)
{
	struct server_pick pick;
	int64_t later_ns = SERVER_RESERVE_NS + 1;

	request.needs_room = 1;
	ASSERT_EQ(0, server_table_pick_alone(&table, "lm", "engine-1", 10, 0,
					     &pick));
	EXPECT_EQ("02", spread(0));
	EXPECT_EQ(-1, server_table_pick_named(&table, "lm", "engine-1", 10, 0,
					      &pick));
	EXPECT_EQ(-1, server_table_pick_alone(&table, "lm", "engine-1", 10, 0,
					      &pick));
	server_table_end_alone(&table, "lm", "engine-1", SERVER_FAILED, 0);
	EXPECT_EQ(std::string::npos, spread(0).find('1'));
	EXPECT_NE(std::string::npos, spread(later_ns).find('1'));
	ASSERT_EQ(0, server_table_pick_alone(&table, "lm", "engine-2", 10,
					     later_ns, &pick));
	server_table_end_alone(&table, "lm", "engine-2", SERVER_ANSWERED,
			       later_ns);
	EXPECT_EQ(0, server_table_pick_named(&table, "lm", "engine-2", 10,
					     later_ns, &pick));
}

/* Servers reserved for suspects have no room, but requests wait for them. */
TEST_F(Servers, KeptServersAreWaitedFor)
{
	struct server_pick pick;

	for (const struct host &host : hosts)
		server_table_reserve(&table, "lm", host.name, 0);
	request.needs_room = 1;
	EXPECT_EQ(-1, server_table_pick(&table, "lm", &request, 1, &pick));
	request.needs_room = 0;
	EXPECT_TRUE(server_table_can_pick(&table, "lm", &request, 1));
}

static void mark_cancelled(struct running_request *request,
			   const struct problem *problem)
{
	*static_cast<int *>(request->arg) = problem->status;
}

static void count_red(void *arg, const struct running_request *request)
{
	*static_cast<uint32_t *>(arg) += !strcmp(request->team, "red");
}

static uint32_t running_red(struct running_table *table)
{
	uint32_t count = 0;

	running_table_each(table, count_red, &count);
	return count;
}

TEST(Running, CutsTheRequestsOfOneKey)
{
	struct running_table table;
	struct running_request requests[4];
	int cancelled[4] = { 0, 0, 0, 0 };
	const char *const keys[] = { "a", "b", "a", "" };
	struct problem problem = { 401, "key_withdrawn", "", RUN_NOT_RUN, 0 };

	running_table_init(&table);
	for (int i = 0; i < 4; i++) {
		memset(&requests[i], 0, sizeof(requests[i]));
		strcpy(requests[i].key_id, keys[i]);
		strcpy(requests[i].team, i == 1 ? "blue" : "red");
		requests[i].cancel = mark_cancelled;
		requests[i].arg = &cancelled[i];
		running_table_add(&table, &requests[i]);
	}
	EXPECT_EQ(2u, running_table_cancel_key(&table, "a", &problem));
	EXPECT_EQ(401, cancelled[0]);
	EXPECT_EQ(0, cancelled[1]);
	EXPECT_EQ(401, cancelled[2]);
	EXPECT_EQ(3u, running_red(&table));
	EXPECT_EQ(3u, running_table_cancel_keyed(&table, &problem));
	EXPECT_EQ(0, cancelled[3]);
	for (auto &request : requests)
		running_table_remove(&table, &request);
	EXPECT_EQ(0u, running_red(&table));
	running_table_finish(&table);
}

// Each row is one step; the daemon's part of the limit is set unless it is -1.
TEST(TeamSlots, HoldTheDaemonsPart)
{
	const struct {
		const char *what;
		uint32_t members;
		uint32_t limit;
		int part;
		uint32_t asks;
		uint32_t taken;
	} steps[] = {
		{ "no limit", 0, 0, -1, 100, 100 },
		{ "hosts not known yet: no part", 0, 9, -1, 5, 0 },
		{ "not split yet: equally", 2, 9, -1, 5, 4 },
		{ "fewer slots than hosts", 3, 2, -1, 5, 0 },
		{ "split", 2, 9, 7, 9, 7 },
		{ "split, nothing left", 2, 9, 0, 9, 0 },
		{ "the limit has changed", 2, 6, -1, 9, 3 },
	};
	struct team_slots slots;

	team_slots_init(&slots);
	for (const auto &step : steps) {
		struct team_use use;
		uint32_t taken = 0;

		team_slots_set_members(&slots, step.members);
		if (step.part >= 0)
			team_slots_set_part(&slots, "red", step.limit,
					    (uint32_t)step.part);
		for (uint32_t i = 0; i < step.asks; i++)
			taken += !team_slots_take(&slots, "red", step.limit);
		EXPECT_EQ(step.taken, taken) << step.what;
		EXPECT_EQ(0, team_slots_take(&slots, "blue", 0)) << step.what;
		team_slots_look(&slots, "red", step.limit, &use);
		EXPECT_EQ(taken, use.in_flight) << step.what;
		EXPECT_EQ(step.asks - taken, use.refused) << step.what;
		while (taken--)
			team_slots_give_back(&slots, "red");
		team_slots_look(&slots, "red", step.limit, &use);
		EXPECT_EQ(0u, use.in_flight) << step.what;
		EXPECT_EQ(0u, use.refused) << step.what;
	}
	team_slots_forget_parts(&slots);
	EXPECT_EQ(0, team_slots_take(&slots, "red", 9));
	team_slots_finish(&slots);
}

TEST(Versions, OnlyRise)
{
	struct version_table table;

	version_table_init(&table);
	EXPECT_EQ(0u, version_table_latest(&table, "lm"));
	EXPECT_EQ(1, version_table_raise(&table, "lm", 4));
	EXPECT_EQ(0, version_table_raise(&table, "lm", 4));
	EXPECT_EQ(0, version_table_raise(&table, "lm", 3));
	EXPECT_EQ(4u, version_table_latest(&table, "lm"));
	EXPECT_EQ(0u, version_table_latest(&table, "other"));
	version_table_finish(&table);
}
