// Snapshots: the state from a snapshot and the tail is the state from the
// whole log, also when retention has dropped the rest and all daemons start
// at once. Seed 11 in all random loads.
#include <gtest/gtest.h>

#include <map>

#include <memory>

#include "t/lib-daemon.h"

extern "C" {
#include "state/dedupe.h"
#include "state/verdict_table.h"
}

namespace
{

const uint64_t SEED = 11;

struct log_client_options snapshot_options()
{
	struct log_client_options options = quick_options();

	options.snapshot_entries = 40;
	options.snapshot_part_bytes = 300;
	options.max_queued = 20000;
	options.max_entry_records = 4; // a snapshot takes several entries
	return options;
}

// One random record of any kind that changes the state.
std::string random_entry(struct rng *rng, std::vector<Writer> &writers,
			 const struct state *state)
{
	Writer &writer = writers[rng_below(rng, writers.size())];
	std::string n = std::to_string(rng_below(rng, 5));
	std::string id = std::to_string(rng_next(rng));
	const struct lease *lease = state_lease(state, "usage/p");
	std::string out;
	auto pack = [&](const Currant__Record *record) {
		out = entry_of({ packed(writer, record) });
	};
	uint64_t window = 60 * rng_below(rng, 20);

	switch (rng_below(rng, 8)) {
	case 0:
		with_create_team(id, "team-" + n, n, pack);
		break;
	case 1:
		with_claim("orders/" + n, writer.name, writer.incarnation, 0,
			   pack);
		break;
	case 2:
		with_claim("usage/p", writer.name, writer.incarnation,
			   lease ? lease->position : 0, pack);
		break;
	case 3:
		with_partial("p", window, "team-" + n, 1, pack);
		break;
	case 4:
		with_close("p", window, lease ? lease->position : 0, pack);
		break;
	case 5:
		with_acknowledged("p", window, pack);
		break;
	case 6:
		with_version("pool-" + n, rng_below(rng, 100), pack);
		break;
	default:
		with_quarantine(rng_below(rng, 50), rng_next(rng), pack);
	}
	return out;
}

std::string pack_of(const struct state *state)
{
	uint8_t *data;
	size_t len;
	std::string out;

	state_pack(state, &data, &len);
	out.assign(reinterpret_cast<char *>(data), len);
	free(data);
	return out;
}

struct state *unpack_of(const std::string &data)
{
	return state_unpack(reinterpret_cast<const uint8_t *>(data.data()),
			    data.size(), nullptr);
}

void apply_next(struct state *state, const std::string &entry)
{
	ASSERT_EQ(0, state_apply_entry(state, state_next_offset(state),
				       entry.data(), entry.size(), nullptr));
}

} // namespace

TEST(Snapshot, StateFromSnapshotAndTailIsThatFromTheWholeLog)
{
	std::vector<Writer> writers = { { "a", 1, 0 }, { "b", 2, 0 } };
	struct state *whole = state_new();
	struct state *resumed = state_new();
	struct rng rng;

	rng_init(&rng, SEED);
	for (int i = 0; i < 2000; i++) {
		std::string entry = random_entry(&rng, writers, whole);

		apply_next(whole, entry);
		apply_next(resumed, entry);
		if (i % 100)
			continue;
		struct state *next = unpack_of(pack_of(resumed));
		ASSERT_TRUE(next);
		state_free(resumed);
		resumed = next;
		ASSERT_EQ(pack_of(whole), pack_of(resumed)) << i;
	}
	EXPECT_EQ(pack_of(whole), pack_of(resumed));
	EXPECT_GT(state_config(whole)->team_count, 2u);
	state_free(whole);
	state_free(resumed);
}

TEST(Snapshot, BoundsForgetTheSameOnesAfterASnapshot)
{
	struct state *whole = state_new();
	Writer old = { "old", 1, 0 };
	std::string first;

	with_create_team("c0", "red", "1", [&](const Currant__Record *record) {
		first = entry_of({ packed(old, record) });
	});
	apply_next(whole, first);
	for (uint32_t i = 0; i < DEDUPE_MAX + 10; i++) {
		Writer writer = { "w", i, 0 };

		with_create_team("d" + std::to_string(i), "blue", "1",
				 [&](const Currant__Record *record) {
					 apply_next(whole,
						    entry_of({ packed(
							    writer, record) }));
				 });
	}
	struct state *resumed = unpack_of(pack_of(whole));
	ASSERT_TRUE(resumed);
	struct verdict verdict;
	EXPECT_EQ(-1, state_verdict(whole, "c0", &verdict));
	EXPECT_EQ(0, state_verdict(whole, "d4000", &verdict));
	EXPECT_EQ(0, state_verdict(resumed, "d4000", &verdict));
	apply_next(whole, first);
	apply_next(resumed, first);
	EXPECT_EQ(pack_of(whole), pack_of(resumed));
	EXPECT_EQ(1u, state_config(whole)->teams[0].weight);
	state_free(whole);
	state_free(resumed);
}

TEST(Snapshot, BytesThatAreNoSnapshotAreRefused)
{
	struct state *state = state_new();
	std::string data;

	apply_next(state, "");
	data = pack_of(state);
	struct error err = ERROR_INIT;
	for (const std::string &bad :
	     { std::string("\xff\xff"), data.substr(0, data.size() - 1) }) {
		EXPECT_EQ(nullptr,
			  state_unpack(
				  reinterpret_cast<const uint8_t *>(bad.data()),
				  bad.size(), &err));
		EXPECT_EQ(ERROR_PROTOCOL, err.code);
	}
	state_free(state);
}

TEST(Snapshot, AllDaemonsStartAgainFromTheLogAlone)
{
	FakeLog log;
	std::vector<Writer> writers = { { "x", 8, 0 }, { "y", 9, 0 } };
	std::string before;
	struct rng rng;

	rng_init(&rng, SEED);
	{
		Daemon a(&log, "a", 1, snapshot_options());
		Daemon b(&log, "b", 2, snapshot_options());

		for (int i = 0; i < 600; i++) {
			std::string entry;

			a.with_state([&](const struct state *state) {
				entry = random_entry(&rng, writers, state);
			});
			log.append(entry);
			a.settle();
			b.settle();
		}
		a.settle();
		ASSERT_GT(a.client.snapshots.newest_taken_at, 0u);
		EXPECT_EQ(a.pack(), b.pack());
		before = a.pack();
		log.drop_before(
			position_offset(a.client.snapshots.newest_taken_at) +
			1);
	}
	for (int round = 0; round < 2; round++) {
		Daemon a(&log, "a", 10 + round, snapshot_options());
		Daemon b(&log, "b", 20 + round, snapshot_options());

		a.settle();
		b.settle();
		EXPECT_TRUE(log_client_recovered(&a.client));
		EXPECT_TRUE(a.has_team("team-1"));
		EXPECT_EQ(a.pack(), b.pack());
		EXPECT_EQ(before, a.pack());
	}
}

TEST(Snapshot, OneCompleteSnapshotPerSpanWithManyDaemons)
{
	FakeLog log;
	std::vector<std::unique_ptr<Daemon>> daemons;
	std::vector<Writer> writers = { { "x", 8, 0 } };
	uint64_t completed = 0, newest = 0;
	struct rng rng;

	rng_init(&rng, SEED);
	for (int i = 0; i < 12; i++) {
		struct log_client_options options = snapshot_options();

		options.max_entry_records = 1000;
		options.snapshot_part_bytes = 100000;
		daemons.emplace_back(new Daemon(&log, "d" + std::to_string(i),
						100 + i, options));
	}
	for (int i = 0; i < 1000; i++) {
		std::string entry;

		daemons[0]->with_state([&](const struct state *state) {
			entry = random_entry(&rng, writers, state);
		});
		log.append(entry);
		for (auto &daemon : daemons)
			daemon->settle();
		uint64_t now = daemons[0]->client.snapshots.newest_taken_at;
		completed += now != newest;
		newest = now;
	}
	uint64_t others = log.head() - 1000;
	printf("1000 entries, 12 daemons: %lu snapshots, %lu entries\n",
	       completed, others);
	EXPECT_GE(completed, 10u);
	EXPECT_LE(others, 2 * completed);
}

TEST(Snapshot, RecoveryTakesTheNewestCompleteOne)
{
	const struct {
		const char *what;
		bool whole_log; // nothing dropped
		int snapshots; // complete ones
		bool cut_last; // the last entry of the newest is broken
		int expected; // 0: not recovered
	} cases[] = {
		{ "whole log", true, 0, false, 1 },
		{ "dropped, one snapshot", false, 1, false, 1 },
		{ "dropped, two snapshots", false, 2, false, 1 },
		{ "dropped, the newer one cut", false, 2, true, 1 },
		{ "dropped, the only one cut", false, 1, true, 0 },
		{ "dropped, none", false, 0, false, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Writer x = { "x", 8, 0 };
		uint64_t first = 0;
		struct log_client_options options = snapshot_options();

		options.snapshot_entries = 100000;
		options.snapshot_age_ms = 1000;
		Daemon a(&log, "a", 1, options);
		auto grow = [&](const std::string &team) {
			with_create_team(
				"c-" + team, team, "1",
				[&](const Currant__Record *r) {
					log.append(entry_of({ packed(x, r) }));
				});
			a.settle();
		};

		grow("red");
		for (int i = 0; i < c.snapshots; i++) {
			fake_clock_advance(&a.clock, 1500 * NS_PER_MS);
			a.settle();
			first = i ? first : 1;
			grow("blue" + std::to_string(i));
		}
		if (c.cut_last) // the entry before the last "blue"
			log.cut_entry(log.head() - 2, 3);
		if (!c.whole_log)
			log.drop_before(1);
		Daemon b(&log, "b", 2, options);
		for (int i = 0; i < 5; i++)
			b.read();
		EXPECT_EQ(c.expected, log_client_recovered(&b.client));
		EXPECT_EQ(c.expected, b.has_team("red"));
		EXPECT_EQ(c.expected ? ERROR_NONE : ERROR_NOT_FOUND,
			  b.err.code);
		for (int i = 0; c.expected && i < c.snapshots; i++)
			EXPECT_TRUE(b.has_team(
				("blue" + std::to_string(i)).c_str()));
	}
}

TEST(Snapshot, ADaemonThatFellBehindRetentionGoesOnFromASnapshot)
{
	FakeLog log;
	Writer x = { "x", 8, 0 };
	Daemon a(&log, "a", 1, snapshot_options());
	Daemon slow(&log, "slow", 2, snapshot_options());

	slow.read();
	slow.port.set_down(true);
	for (int i = 0; i < 300; i++) {
		with_create_team("c" + std::to_string(i),
				 "t" + std::to_string(i % 50), "1",
				 [&](const Currant__Record *r) {
					 log.append(entry_of({ packed(x, r) }));
				 });
		a.settle();
	}
	log.drop_before(position_offset(a.client.snapshots.newest_taken_at) +
			1);
	slow.port.set_down(false);
	slow.settle();
	a.settle();
	EXPECT_TRUE(slow.has_team("t49"));
	EXPECT_EQ(a.pack(), slow.pack());
}

/* What an observer keeps for itself it gets from a snapshot as well. */
struct Observer {
	struct state_observer base;
	std::map<std::string, uint64_t> versions;
	std::map<uint64_t, uint64_t> quarantines;
};

static void on_applied(struct state_observer *, const Currant__Record *,
		       uint64_t, int, const struct error *)
{
}

static void take_version(void *arg, const char *pool, uint64_t version)
{
	static_cast<Observer *>(arg)->versions[pool] = version;
}

static void take_quarantine(void *arg, uint64_t fingerprint, uint64_t until_ms)
{
	static_cast<Observer *>(arg)->quarantines[fingerprint] = until_ms;
}

static void on_restored(struct state_observer *base, const struct state *state)
{
	state_each_weight(state, take_version, base);
	state_each_quarantine(state, take_quarantine, base);
}

TEST(Snapshot, AnObserverIsShownWhatASnapshotHolds)
{
	FakeLog log;
	Writer x = { "x", 8, 0 };
	Observer observer = { { on_applied, on_restored }, {}, {} };
	struct log_client_options options = snapshot_options();
	auto append = [&](const Currant__Record *record) {
		log.append(entry_of({ packed(x, record) }));
	};

	options.snapshot_entries = 100000;
	options.snapshot_age_ms = 1000;
	Daemon a(&log, "a", 1, options);
	with_version("lm", 7, append);
	with_quarantine(666, 9000, append);
	a.settle();
	fake_clock_advance(&a.clock, 1500 * NS_PER_MS);
	a.settle();
	log.drop_before(2);
	Daemon b(&log, "b", 2, options);
	log_client_set_observer(&b.client, &observer.base);
	for (int i = 0; i < 5; i++)
		b.read();
	ASSERT_TRUE(log_client_recovered(&b.client));
	EXPECT_EQ(7u, observer.versions["lm"]);
	EXPECT_EQ(9000u, observer.quarantines[666]);
}

TEST(Snapshot, WhatASnapshotStandsForIsNotAppendedAgain)
{
	const struct {
		const char *what;
		int lose_answers; // of the append that took effect
		bool awaited;
	} cases[] = {
		{ "answered", 0, false },
		{ "answer lost", 1, false },
		{ "answered, somebody waits", 0, true },
		{ "answer lost, somebody waits", 1, true },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Writer x = { "x", 8, 0 };
		Daemon a(&log, "a", 1, snapshot_options());
		Daemon cut(&log, "cut", 2, snapshot_options());
		struct log_waiter waiter = {};

		cut.read();
		cut.port.lose_answers(c.lose_answers);
		with_partial("p", 60, "red", 1, [&](const Currant__Record *r) {
			if (c.awaited)
				log_client_begin(&cut.client, r, 0, &waiter,
						 nullptr);
			else
				cut.submit(r);
		});
		cut.append();
		cut.port.set_down(true);
		for (int i = 0; i < 100; i++) {
			with_version(
				"lm", i + 1, [&](const Currant__Record *r) {
					log.append(entry_of({ packed(x, r) }));
				});
			a.settle();
		}
		log.drop_before(
			position_offset(a.client.snapshots.newest_taken_at) +
			1);
		cut.port.set_down(false);
		cut.settle();
		with_partial("p", 60, "red", 1,
			     [&](const Currant__Record *r) { cut.submit(r); });
		cut.settle();
		EXPECT_EQ(2u, cut.requests("p", 60));
		EXPECT_EQ(0u, cut.client.queue.count);
		if (!c.awaited)
			continue;
		EXPECT_EQ(1, log_client_poll(&cut.client, &waiter));
		EXPECT_EQ(ERROR_UNKNOWN_OUTCOME, waiter.result.why.code);
	}
}
