#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "policy/choice.h"
}

namespace
{

const int64_t now = 100 * NS_PER_S;

server_view make_server(int number)
{
	server_view server = {};

	snprintf(server.name, sizeof(server.name), "engine-%d", number);
	snprintf(server.data_centre, sizeof(server.data_centre), "voss");
	server.capacity = 8;
	server.tokens_per_s = 50;
	server.reported_at_ns = now - NS_PER_S / 10;
	server.version = 5;
	return server;
}

choice_request make_request()
{
	choice_request request = {};

	request.prompt_tokens = 1000;
	request.expected_tokens = 200;
	request.own_data_centre = "voss";
	return request;
}

struct rule_case {
	const char *what;
	void (*change)(server_view *, choice_request *);
	int eligible;
};

const char *const tried[] = { "engine-7", "engine-0" };

const rule_case rules[] = {
	{ "nothing special", [](server_view *, choice_request *) {}, 1 },
	{ "leaving", [](server_view *s, choice_request *) { s->leaving = 1; },
	  0 },
	{ "open circuit",
	  [](server_view *s, choice_request *) { s->circuit_open = 1; }, 0 },
	{ "weights just new enough",
	  [](server_view *, choice_request *r) { r->min_version = 5; }, 1 },
	{ "weights too old",
	  [](server_view *, choice_request *r) { r->min_version = 6; }, 0 },
	{ "cheap", [](server_view *s, choice_request *) { s->cheap = 1; }, 1 },
	{ "cheap for what needs dear",
	  [](server_view *s, choice_request *r) {
		  s->cheap = 1;
		  r->needs_dear = 1;
	  },
	  0 },
	{ "tried before",
	  [](server_view *, choice_request *r) {
		  r->avoid = tried;
		  r->avoid_count = 2;
	  },
	  0 },
};

TEST(Choice, RulesThatAlwaysHold)
{
	for (const rule_case &c : rules) {
		server_view server = make_server(0);
		choice_request request = make_request();

		c.change(&server, &request);
		EXPECT_EQ(choice_eligible(&server, &request), c.eligible)
			<< c.what;
		for (int v = CHOICE_LEAST_COST; v <= CHOICE_TWO_CHOICES; v++) {
			choice_policy policy = { (choice_variant)v, 0, 0 };
			rng random;

			rng_init(&random, 11);
			EXPECT_EQ(choice_pick(&policy, &server, 1, &request,
					      &random, now),
				  c.eligible ? 0 : CHOICE_NONE)
				<< c.what << ", variant " << v;
		}
	}
}

struct better_case {
	const char *what;
	void (*degrade)(server_view *);
	uint32_t parts_off;
	int picks_other; /* whether the unchanged server is chosen each time */
};

const better_case better[] = {
	{ "reported running", [](server_view *s) { s->reported_running = 6; },
	  0, 1 },
	{ "reported waiting", [](server_view *s) { s->reported_waiting = 4; },
	  0, 1 },
	{ "sent since the report",
	  [](server_view *s) { s->own_since_report = 6; }, 0, 1 },
	{ "sent since the report, not looked at",
	  [](server_view *s) { s->own_since_report = 6; },
	  CHOICE_NO_LAG_CORRECTION, 0 },
	{ "slower", [](server_view *s) { s->tokens_per_s = 20; }, 0, 1 },
	{ "under suspicion", [](server_view *s) { s->suspect = 1; }, 0, 1 },
	{ "elsewhere", [](server_view *s) { strcpy(s->data_centre, "forde"); },
	  0, 1 },
};

TEST(Choice, EstimateRanks)
{
	for (const better_case &c : better) {
		server_view servers[] = { make_server(0), make_server(1) };
		choice_request request = make_request();
		choice_policy policy = { CHOICE_LEAST_COST, c.parts_off, 0 };
		int worse = 0;

		c.degrade(&servers[0]);
		for (uint64_t seed = 1; seed <= 40; seed++) {
			rng random;

			rng_init(&random, seed);
			if (choice_pick(&policy, servers, 2, &request, &random,
					now) == 0)
				worse++;
		}
		if (c.picks_other)
			EXPECT_EQ(worse, 0) << c.what;
		else
			EXPECT_GT(worse, 5) << c.what;
	}
}

struct affinity_case {
	const char *what;
	uint32_t load_of_cached;
	uint32_t parts_off;
	int picks_cached;
};

const affinity_case affinity[] = {
	{ "equal load", 0, 0, 1 },
	{ "a little more load", 1, 0, 1 },
	{ "the cache doesn't outweigh a full server", 8, 0, 0 },
	{ "switched off", 1, CHOICE_NO_AFFINITY, 0 },
};

TEST(Choice, AffinityIsBoundedByLoad)
{
	for (const affinity_case &c : affinity) {
		server_view servers[] = { make_server(0), make_server(1) };
		choice_request request = make_request();
		choice_policy policy = { CHOICE_LEAST_COST, c.parts_off, 0 };
		rng random;

		rng_init(&random, 3);
		request.prefix = 77;
		request.prompt_tokens = 2000;
		servers[0].prefixes[0] = 77;
		servers[0].prefix_count = 1;
		servers[0].reported_running = c.load_of_cached;
		EXPECT_EQ(choice_pick(&policy, servers, 2, &request, &random,
				      now),
			  c.picks_cached ? 0 : 1)
			<< c.what;
	}
}

TEST(Choice, SpeedFallsWithTheBatch)
{
	server_view server = make_server(0);

	EXPECT_DOUBLE_EQ(choice_speed(&server, 1), 50);
	EXPECT_GT(choice_speed(&server, 2), choice_speed(&server, 8));
	EXPECT_DOUBLE_EQ(choice_speed(&server, 8), choice_speed(&server, 99));
}

TEST(Choice, RoomIsRespected)
{
	std::vector<server_view> servers;
	choice_request request = make_request();
	choice_policy policy = { CHOICE_LEAST_COST, 0, 0 };
	rng random;

	rng_init(&random, 5);
	request.needs_room = 1;
	for (int i = 0; i < 300; i++) {
		servers.push_back(make_server(i));
		servers[i].reported_running = 8;
	}
	EXPECT_EQ(choice_pick(&policy, servers.data(), 300, &request, &random,
			      now),
		  CHOICE_NONE);
	/*
	 * A sample without a free server must not hide the only one that is
	 * free.
	 */
	servers[211].reported_running = 7;
	EXPECT_EQ(choice_pick(&policy, servers.data(), 300, &request, &random,
			      now),
		  211);
}

TEST(Choice, WaitsForAFastServerRatherThanTakeASlowOne)
{
	server_view servers[] = { make_server(0), make_server(1) };
	choice_request request = make_request();
	choice_policy policy = { CHOICE_LEAST_COST, 0, 0 };
	rng random;

	rng_init(&random, 6);
	request.needs_room = 1;
	servers[0].reported_running = 8;
	servers[1].tokens_per_s = 8;
	EXPECT_EQ(choice_pick(&policy, servers, 2, &request, &random, now),
		  CHOICE_NONE);
	servers[1].tokens_per_s = 40;
	EXPECT_EQ(choice_pick(&policy, servers, 2, &request, &random, now), 1);
}

struct reserve_case {
	const char *what;
	double busy;
	uint32_t reserved[3];
};

/* The first of three servers is cheap. */
const reserve_case reserves[] = {
	{ "no latency-bound work", 0, { 0, 0, 0 } },
	{ "a little", 0.5, { 0, 5, 0 } },
	{ "more", 4, { 0, 5, 5 } },
};

TEST(Choice, ReservedSlotsAreForLatencyBoundRequests)
{
	for (const reserve_case &c : reserves) {
		server_view servers[] = { make_server(0), make_server(1),
					  make_server(2) };
		choice_policy policy = { CHOICE_LEAST_COST, 0, 0 };

		servers[0].cheap = 1;
		choice_reserve(servers, 3, c.busy);
		for (int i = 0; i < 3; i++) {
			choice_request request = make_request();
			rng random;

			rng_init(&random, 7);
			EXPECT_EQ(servers[i].reserved, c.reserved[i])
				<< c.what << ", server " << i;
			request.needs_room = 1;
			servers[i].reported_running = 4;
			EXPECT_EQ(choice_pick(&policy, &servers[i], 1, &request,
					      &random, now),
				  c.reserved[i] ? CHOICE_NONE : 0)
				<< c.what << ", server " << i;
			request.latency_bound = 1;
			EXPECT_EQ(choice_pick(&policy, &servers[i], 1, &request,
					      &random, now),
				  0)
				<< c.what << ", server " << i;
		}
	}
}

TEST(Choice, ReservedSlotsOutlastWhatOthersSend)
{
	server_view server = make_server(0);
	choice_request request = make_request();
	choice_policy policy = { CHOICE_LEAST_COST, 0, 0 };
	rng random;

	rng_init(&random, 8);
	request.needs_room = 1;
	server.reserved = 4;
	server.own_since_report = 1;
	EXPECT_EQ(choice_pick(&policy, &server, 1, &request, &random, now), 0);
	server.daemons = 4;
	EXPECT_EQ(choice_pick(&policy, &server, 1, &request, &random, now),
		  CHOICE_NONE);
	request.latency_bound = 1;
	EXPECT_EQ(choice_pick(&policy, &server, 1, &request, &random, now), 0);
}

TEST(Choice, HomeServersKeepAPrefixTogether)
{
	std::vector<server_view> servers;
	choice_request request = make_request();
	choice_policy policy = { CHOICE_LEAST_COST, 0, 0 };
	rng random;
	int32_t first;

	rng_init(&random, 9);
	for (int i = 0; i < 500; i++)
		servers.push_back(make_server(i));
	request.prefix = 1234;
	first = choice_pick(&policy, servers.data(), 500, &request, &random,
			    now);
	ASSERT_GE(first, 0);
	servers[first].prefixes[0] = 1234;
	servers[first].prefix_count = 1;
	for (int i = 0; i < 50; i++)
		EXPECT_EQ(choice_pick(&policy, servers.data(), 500, &request,
				      &random, now),
			  first);
}

TEST(Choice, RoundRobinGoesRound)
{
	server_view servers[] = { make_server(0), make_server(1),
				  make_server(2) };
	choice_request request = make_request();
	choice_policy policy = { CHOICE_ROUND_ROBIN, 0, 0 };
	rng random;

	rng_init(&random, 1);
	servers[1].leaving = 1;
	const int32_t want[] = { 0, 2, 2, 0, 2, 2 };
	for (int32_t index : want)
		EXPECT_EQ(choice_pick(&policy, servers, 3, &request, &random,
				      now),
			  index);
}

} // namespace
