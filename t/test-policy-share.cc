#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "base/clock.h"
#include "policy/server_count.h"
#include "policy/share.h"
}

namespace
{

struct fair_case {
	const char *what;
	double capacity;
	std::vector<share_team> teams; /* `slots` is the expected value */
};

const fair_case fairs[] = {
	{ "enough for all", 100, { { 1, 20, 0, 20 }, { 1, 30, 0, 30 } } },
	{ "equal weights",
	  90,
	  { { 1, 500, 0, 40 }, { 1, 10, 0, 10 }, { 1, 500, 0, 40 } } },
	{ "weights", 80, { { 3, 500, 0, 60 }, { 1, 500, 0, 20 } } },
	{ "a team's limit", 90, { { 1, 500, 15, 15 }, { 1, 500, 0, 75 } } },
	{ "no demand", 90, { { 1, 0, 0, 0 }, { 1, 200, 0, 90 } } },
	{ "no capacity", 0, { { 1, 5, 0, 0 }, { 1, 200, 0, 0 } } },
};

TEST(Share, MaxMinFair)
{
	for (const fair_case &c : fairs) {
		std::vector<share_team> teams = c.teams;

		share_fair_slots(teams.data(), teams.size(), c.capacity);
		for (size_t i = 0; i < teams.size(); i++)
			EXPECT_NEAR(teams[i].slots, c.teams[i].slots, 1e-9)
				<< c.what << ", team " << i;
	}
}

struct part_case {
	const char *what;
	uint32_t slots;
	std::vector<double> demands; /* of one daemon each */
	std::vector<uint32_t> parts;
};

const part_case parts[] = {
	{ "equal demands", 12, { 50, 50, 50 }, { 4, 4, 4 } },
	{ "idle shares are lent", 12, { 50, 0, 2 }, { 10, 0, 2 } },
	{ "what nobody needs is room for all", 12, { 1, 1, 1 }, { 4, 4, 4 } },
	{ "fewer slots than daemons", 2, { 9, 9, 9 }, { 0, 1, 1 } },
	{ "nothing", 0, { 9, 9, 9 }, { 0, 0, 0 } },
};

TEST(Share, PartsAddUpToTheWhole)
{
	for (const part_case &c : parts) {
		uint32_t sum = 0;

		for (size_t own = 0; own < c.demands.size(); own++) {
			std::vector<share_party> parties;

			for (size_t i = 0; i < c.demands.size(); i++)
				parties.push_back(
					{ 1, c.demands[i], 0, 0, i == own, 1 });
			uint32_t part = share_own_part(c.slots, parties.data(),
						       parties.size(), NS_PER_S,
						       0);
			EXPECT_EQ(part, c.parts[own])
				<< c.what << ", daemon " << own;
			sum += part;
		}
		EXPECT_EQ(sum, c.slots) << c.what;
	}
}

struct system_case {
	const char *what;
	uint32_t daemons;
	uint32_t data_centres;
	uint32_t slots;
	uint32_t shift; /* changes which daemons have high demand */
	int cut; /* the first data centre is partitioned from the others */
};

const system_case systems[] = {
	{ "3 daemons", 3, 3, 40, 0, 0 },
	{ "12 daemons", 12, 4, 100, 1, 0 },
	{ "350 daemons", 350, 32, 1000, 3, 0 },
	{ "350 daemons, few slots", 350, 32, 20, 5, 0 },
	{ "3 daemons, one cut off", 3, 3, 40, 0, 1 },
	{ "12 daemons, one data centre cut off", 12, 4, 100, 1, 1 },
	{ "350 daemons, one data centre cut off", 350, 32, 1000, 3, 1 },
};

double demand_of(uint32_t daemon, uint32_t shift)
{
	return daemon * 7 % 11 < 4 + shift ? 20 : 1;
}

/*
 * The state as one daemon has it: its data centre in full, the others as sums.
 */
std::vector<share_party> view_of(const system_case &c, uint32_t daemon)
{
	const int64_t silent = -10 * NS_PER_S;
	uint32_t own = daemon * c.data_centres / c.daemons;
	std::vector<share_party> parties;

	for (uint32_t i = 0; i < c.daemons; i++) {
		uint32_t at = i * c.data_centres / c.daemons;
		bool first = !i || at != (i - 1) * c.data_centres / c.daemons;
		bool cut = c.cut && at != own && (at == 0 || own == 0);

		if (at == own || first)
			parties.push_back(
				{ 0, 0, 0, cut ? silent : 0, 0, at == own });
		share_party &party = parties.back();

		party.members++;
		party.demand_slots += demand_of(i, c.shift);
		party.own = i == daemon;
	}
	return parties;
}

TEST(Share, NoOvershootOverManyDaemons)
{
	for (const system_case &c : systems) {
		uint32_t sum = 0;

		for (uint32_t daemon = 0; daemon < c.daemons; daemon++) {
			std::vector<share_party> parties = view_of(c, daemon);

			sum += share_own_part(c.slots, parties.data(),
					      parties.size(), 3 * NS_PER_S, 0);
		}
		EXPECT_LE(sum, c.slots) << c.what;
		/*
		 * A partition leaves unused what each side sets aside, and a
		 * fraction of a slot.
		 */
		EXPECT_GE(sum, c.cut ? c.slots * 9 / 10 : c.slots) << c.what;
	}
}

struct rise_case {
	const char *what;
	double own_used;
	double other_used;
	uint32_t part;
};

/* Two daemons with equal demand for ten slots. */
const rise_case rises[] = {
	{ "all free", 0, 0, 5 },
	{ "the other one still holds all", 0, 10, 0 },
	{ "all of what it gave back", 0, 8, 2 },
	{ "what it holds itself stays", 5, 5, 5 },
	{ "above its part: gives back", 9, 1, 5 },
};

TEST(Share, APartRisesOnlyIntoFreeSlots)
{
	for (const rise_case &c : rises) {
		share_party parties[] = { { 1, 50, c.own_used, 0, 1, 1 },
					  { 1, 50, c.other_used, 0, 0, 1 } };

		EXPECT_EQ(share_own_part(10, parties, 2, NS_PER_S, 0), c.part)
			<< c.what;
	}
}

struct free_case {
	const char *what;
	uint32_t slots;
	std::vector<double> used;
	std::vector<uint32_t> parts;
};

/* Daemons with more demand than there are slots. */
const free_case frees[] = {
	{ "one free slot for two", 12, { 3, 3, 5 }, { 3, 4, 4 } },
	{ "one free slot for eleven",
	  12,
	  { 11, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0 },
	  { 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1 } },
	{ "by what each lacks", 12, { 0, 2, 7 }, { 2, 3, 4 } },
};

TEST(Share, WhatIsFreeIsTakenOnce)
{
	for (const free_case &c : frees) {
		double held = 0;

		for (size_t own = 0; own < c.used.size(); own++) {
			std::vector<share_party> parties;

			for (size_t i = 0; i < c.used.size(); i++)
				parties.push_back(
					{ 1, 50, c.used[i], 0, i == own, 1 });
			uint32_t part = share_own_part(c.slots, parties.data(),
						       parties.size(), NS_PER_S,
						       0);

			EXPECT_EQ(part, c.parts[own])
				<< c.what << ", daemon " << own;
			held += part > c.used[own] ? part : c.used[own];
		}
		EXPECT_LE(held, c.slots) << c.what;
	}
}

TEST(Share, ASilentPartyIsLeftWhatItUsedThenItsEqualPart)
{
	const struct {
		const char *what;
		int64_t silent_s;
		double used;
		uint32_t part;
	} cases[] = {
		{ "heard", 0, 9, 3 },
		{ "just silent, used much", 5, 9, 3 },
		{ "just silent, used little", 5, 1, 6 },
		{ "silent for long", 21, 9, 6 },
		{ "silent for longer", 1000, 9, 6 },
	};

	for (const auto &c : cases) {
		share_party parties[] = {
			{ 1, 50, 0, 0, 1, 1 },
			{ 1, c.silent_s ? 50.0 : 1.0, c.used,
			  -c.silent_s * NS_PER_S, 0, 1 },
		};

		EXPECT_EQ(share_own_part(12, parties, 2, NS_PER_S, 0), c.part)
			<< c.what;
	}
}

struct count_case {
	const char *what;
	double latency;
	double batch;
	void (*change)(server_place *); /* applied to the first data centre */
	std::vector<uint32_t> dear;
	std::vector<uint32_t> cheap;
	double missing;
};

/* Without headroom; a fifth of the batch work must be on dear servers. */
const count_case counts[] = {
	{ "nothing to do",
	  0,
	  0,
	  [](server_place *) {},
	  { 0, 0, 0 },
	  { 0, 0, 0 },
	  0 },
	{ "latency-bound work outlives a data centre",
	  2,
	  0,
	  [](server_place *) {},
	  { 1, 1, 1 },
	  { 0, 0, 0 },
	  0 },
	{ "batches on cheap ones",
	  0,
	  10,
	  [](server_place *) {},
	  { 1, 1, 0 },
	  { 3, 3, 2 },
	  0 },
	{ "a lost data centre gets none",
	  2,
	  0,
	  [](server_place *p) { p->lost = 1; },
	  { 0, 2, 2 },
	  { 0, 0, 0 },
	  0 },
	{ "no cheap ones after an eviction",
	  0,
	  10,
	  [](server_place *p) { p->no_cheap_until_ns = 100 * NS_PER_S; },
	  { 1, 1, 0 },
	  { 0, 4, 4 },
	  0 },
	{ "the budget in cents",
	  0,
	  10,
	  [](server_place *p) { p->max_cents_per_hour = 130; },
	  { 1, 1, 0 },
	  { 1, 4, 3 },
	  0 },
	{ "more than the budgets cover",
	  0,
	  40,
	  [](server_place *) {},
	  { 4, 4, 4 },
	  { 4, 4, 4 },
	  16 },
};

server_place make_place(const char *name)
{
	server_place place = {};

	strcpy(place.data_centre, name);
	place.max_dear = 4;
	place.max_cheap = 4;
	place.dear_cents_per_hour = 100;
	place.cheap_cents_per_hour = 30;
	return place;
}

server_count_policy plain_policy()
{
	server_count_policy policy;

	server_count_policy_init(&policy);
	policy.headroom = 1;
	return policy;
}

TEST(ServerCount, Plans)
{
	for (const count_case &c : counts) {
		server_count_policy policy = plain_policy();
		server_demand demand = { c.latency, c.batch, 0.2, NS_PER_S };
		server_place places[] = { make_place("forde"),
					  make_place("bergen-a"),
					  make_place("voss") };

		c.change(&places[0]);
		EXPECT_NEAR(server_count_decide(&policy, &demand, places, 3,
						NS_PER_S),
			    c.missing, 1e-9)
			<< c.what;
		for (int i = 0; i < 3; i++) {
			EXPECT_EQ(places[i].wanted_dear, c.dear[i])
				<< c.what << ", place " << i;
			EXPECT_EQ(places[i].wanted_cheap, c.cheap[i])
				<< c.what << ", place " << i;
		}
	}
}

TEST(ServerCount, RisesAtOnceAndFallsLate)
{
	server_count_policy policy = plain_policy();
	server_place place = make_place("forde");
	server_demand high = { 0, 4, 0, 60 * NS_PER_S };
	server_demand low = { 0, 1, 0, 60 * NS_PER_S };
	int changes = 0;
	uint32_t last = 4;

	/*
	 * Demand that oscillates every 30 s neither orders nor removes a
	 * server.
	 */
	server_count_decide(&policy, &high, &place, 1, NS_PER_S);
	EXPECT_EQ(place.wanted_cheap, 4u);
	for (int s = 30; s < 3600; s += 30) {
		server_count_decide(&policy, s / 30 % 2 ? &low : &high, &place,
				    1, s * NS_PER_S);
		changes += place.wanted_cheap != last;
		last = place.wanted_cheap;
	}
	EXPECT_EQ(changes, 0);
	for (int s = 3600; s < 3600 + 330; s += 30)
		server_count_decide(&policy, &low, &place, 1, s * NS_PER_S);
	EXPECT_EQ(place.wanted_cheap, 4u);
	server_count_decide(&policy, &low, &place, 1, 3990 * NS_PER_S);
	EXPECT_EQ(place.wanted_cheap, 1u);
}

TEST(ServerCount, NoiseWithinTheHeadroomOrdersNothing)
{
	server_count_policy policy;
	server_place place = make_place("forde");
	int changes = 0;

	server_count_policy_init(&policy);
	policy.headroom = 1.2;
	place.max_cheap = 40;
	for (int s = 0; s < 7200; s += 30) {
		server_demand demand = { 0, 18.2 + s / 30 * 7 % 11 * 0.2, 0,
					 60 * NS_PER_S };
		uint32_t before = place.wanted_cheap;

		server_count_decide(&policy, &demand, &place, 1,
				    (s + 1) * NS_PER_S);
		EXPECT_GE(place.wanted_cheap, demand.batch_servers);
		changes += s && place.wanted_cheap != before;
	}
	EXPECT_LE(changes, 1);
}

TEST(ServerCount, EvictionsBackOffFurtherEachTime)
{
	server_count_policy policy = plain_policy();
	server_place place = make_place("forde");

	place.wanted_cheap = 3;
	server_place_evicted(&policy, &place, 0);
	EXPECT_EQ(place.wanted_cheap, 0u);
	EXPECT_EQ(place.no_cheap_until_ns, 120 * NS_PER_S);
	server_place_evicted(&policy, &place, 0);
	EXPECT_EQ(place.no_cheap_until_ns, 240 * NS_PER_S);
	for (int i = 0; i < 20; i++)
		server_place_evicted(&policy, &place, 0);
	EXPECT_EQ(place.no_cheap_until_ns, 3600 * NS_PER_S);
	server_place_steady(&place);
	server_place_evicted(&policy, &place, 0);
	EXPECT_EQ(place.no_cheap_until_ns, 120 * NS_PER_S);
}

} // namespace
