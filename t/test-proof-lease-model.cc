// Bounded model check: explores all interleavings of two daemons that claim
// one lease with the production decision code, with pauses, appends that take
// effect late, out of order or never, lost responses, lagging reads and clock
// drift. In no state may an order of an older epoch arrive after a newer holder
// could send one. The search must find each injected fault.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <unordered_set>

extern "C" {
#include "base/hash.h"
#include "lease/lease.h"
#include "state/lease_table.h"
}

namespace
{

const int64_t TICK_NS = NS_PER_MS;
const int64_t DURATION_TICKS = 4;
const int64_t ORDER_TICKS = 2;
const int64_t DRIFT_PPM = 250000; // a quarter
const int MAX_ENTRIES = 4;
const int MAX_CLAIMS = 2; // per daemon
const int DAEMONS = 2;
const char *const NAMES[DAEMONS] = { "a", "b" };

enum Fault {
	NONE,
	RIVAL_DOES_NOT_WAIT,
	HOLDER_COUNTS_FROM_ANSWER,
	DRIFT_IGNORED,
	ORDERS_IN_FLIGHT_IGNORED,
};

enum Fate : uint8_t { IN_FLIGHT, APPLIED, LOST };

struct Claim {
	uint8_t who;
	Fate fate;
	uint64_t base;
};

struct Node {
	int ticks;
	struct lease_claimant claimants[DAEMONS];
	uint8_t read[DAEMONS]; // log entries that the daemon has read
	int8_t pending[DAEMONS]; // index of its claim in flight, or -1
	uint8_t claim_count[DAEMONS];
	int64_t latest_arrival[DAEMONS]; // in ticks, of all orders sent so far
	uint64_t arrival_epoch[DAEMONS];
	struct lease
		log[MAX_ENTRIES + 1]; // state of the lease after each entry
	int8_t log_claims[MAX_ENTRIES + 1];
	uint8_t entries;
	Claim claims[DAEMONS * MAX_CLAIMS];
	uint8_t claims_total;
};

class Search
{
      public:
	Search(Fault fault, int max_ticks) : fault(fault), max_ticks(max_ticks)
	{
		lease_table_init(&table);
	}
	~Search()
	{
		lease_table_finish(&table);
	}

	void run()
	{
		static Node start; // zeroed
		struct lease_timing timing;

		lease_timing_init(&timing, DURATION_TICKS * TICK_NS);
		timing.drift_ppm = fault == DRIFT_IGNORED ? 0 : DRIFT_PPM;
		timing.longest_order_ns = ORDER_TICKS * TICK_NS;
		timing.margin_ns = 0;
		timing.retry_ns = 0;
		if (fault == ORDERS_IN_FLIGHT_IGNORED)
			timing.longest_order_ns = 0;
		if (fault == RIVAL_DOES_NOT_WAIT)
			timing.longest_order_ns = -2 * DURATION_TICKS * TICK_NS;
		for (int i = 0; i < DAEMONS; i++) {
			lease_claimant_init(&start.claimants[i], NAMES[i],
					    i + 1, &timing);
			lease_claimant_observe(&start.claimants[i], nullptr, 0);
			start.pending[i] = -1;
			start.latest_arrival[i] = -1;
		}
		visit(start);
	}

	uint64_t states = 0;
	uint64_t transitions = 0;
	uint64_t violations = 0;
	uint64_t takeovers =
		0; // states with a holder of a second or later epoch

      private:
	// Daemon a's clock is slow and b's is fast, by the maximum drift.
	int64_t local_ns(int who, int ticks)
	{
		int64_t drift_ns = ticks * TICK_NS * DRIFT_PPM / 1000000;

		return ticks * TICK_NS + (who ? drift_ns : -drift_ns);
	}

	bool holds(const Node &node, int who)
	{
		return lease_claimant_holds(&node.claimants[who],
					    local_ns(who, node.ticks));
	}

	// Every holder may send an order now, which arrives within ORDER_TICKS.
	void note_orders(Node *node)
	{
		for (int i = 0; i < DAEMONS; i++) {
			if (!holds(*node, i))
				continue;
			node->latest_arrival[i] = node->ticks + ORDER_TICKS;
			node->arrival_epoch[i] =
				node->claimants[i].observed.epoch;
		}
		for (int i = 0; i < DAEMONS; i++) {
			int other = 1 - i;

			if (!holds(*node, i))
				continue;
			takeovers += node->arrival_epoch[i] > 1;
			violations += node->arrival_epoch[other] &&
				      node->arrival_epoch[other] <
					      node->arrival_epoch[i] &&
				      node->latest_arrival[other] > node->ticks;
		}
	}

	static void add(std::string *key, int64_t value)
	{
		key->append(reinterpret_cast<char *>(&value), sizeof(value));
	}

	bool is_new(const Node &node)
	{
		std::string key;

		add(&key, node.ticks);
		for (int i = 0; i < DAEMONS; i++) {
			const struct lease_claimant *c = &node.claimants[i];

			for (int64_t value :
			     { int64_t(node.read[i]), int64_t(node.pending[i]),
			       int64_t(node.claim_count[i]),
			       std::max(node.latest_arrival[i],
					int64_t(node.ticks)),
			       int64_t(node.arrival_epoch[i]),
			       int64_t(c->observed.position),
			       node.claim_count[i] < MAX_CLAIMS ? c->observed_ns
								: 0,
			       int64_t(c->attempting), int64_t(c->base),
			       int64_t(c->has_earliest),
			       c->has_earliest ? c->earliest_ns : 0,
			       c->attempting ? c->attempt_ns : -1,
			       int64_t(c->holds),
			       c->holds ? c->deadline_ns : 0 })
				add(&key, value);
		}
		for (int i = 1; i <= node.entries; i++) {
			add(&key, node.log_claims[i]);
			add(&key, node.log[i].position);
		}
		for (int i = 0; i < node.claims_total; i++)
			add(&key, can_apply(node, i) ? node.claims[i].who : -1);
		return seen
			.insert({ hash_bytes(key.data(), key.size(), 1),
				  hash_bytes(key.data(), key.size(), 2) })
			.second;
	}

	void visit(const Node &from)
	{
		Node node = from;

		transitions++;
		note_orders(&node);
		if (!is_new(node))
			return;
		states++;
		if (fault != NONE && violations)
			return;
		tick(node);
		for (int i = 0; i < DAEMONS; i++) {
			claim(node, i);
			read(node, i, node.read[i] + 1);
			if (node.entries > node.read[i] + 1)
				read(node, i, node.entries);
			give_up(node, i);
		}
		for (int i = 0; i < node.claims_total; i++)
			resolve(node, i);
	}

	void tick(Node node)
	{
		if (node.ticks == max_ticks)
			return;
		node.ticks++;
		visit(node);
	}

	void claim(Node node, int who)
	{
		struct lease_claimant *claimant = &node.claimants[who];
		int64_t now_ns = local_ns(who, node.ticks);

		if (node.claim_count[who] == MAX_CLAIMS ||
		    lease_claimant_decide(claimant, now_ns) != LEASE_CLAIM)
			return;
		uint64_t base = lease_claimant_send(claimant, now_ns);
		node.claim_count[who]++;
		node.pending[who] = node.claims_total;
		node.claims[node.claims_total++] = { uint8_t(who), IN_FLIGHT,
						     base };
		visit(node);
	}

	// Reads the log up to the entry `upto` and observes the lease there.
	void read(Node node, int who, int upto)
	{
		struct lease_claimant *claimant = &node.claimants[who];

		if (upto > node.entries)
			return;
		for (int i = node.read[who] + 1; i <= upto; i++)
			if (node.log_claims[i] == node.pending[who] &&
			    node.pending[who] >= 0) {
				lease_claimant_applied(claimant);
				node.pending[who] = -1;
			}
		node.read[who] = uint8_t(upto);
		if (fault == HOLDER_COUNTS_FROM_ANSWER)
			claimant->earliest_ns = local_ns(who, node.ticks);
		lease_claimant_observe(claimant, &node.log[upto],
				       local_ns(who, node.ticks));
		visit(node);
	}

	// The outcome of the claim is unknown, or the claim is certainly lost.
	void give_up(const Node &from, int who)
	{
		int pending = from.pending[who];

		if (pending < 0)
			return;
		Node unknown = from;
		lease_claimant_abandon(&unknown.claimants[who], 1);
		unknown.pending[who] = -1;
		visit(unknown);
		if (from.claims[pending].fate == APPLIED)
			return;
		Node lost = from;
		lost.claims[pending].fate = LOST;
		lease_claimant_abandon(&lost.claimants[who], 0);
		lost.pending[who] = -1;
		visit(lost);
	}

	// Lets an append take effect. One that never does stays in flight; one
	// that the log would reject has no visible effect.
	void resolve(const Node &from, int index)
	{
		if (!can_apply(from, index) || from.entries == MAX_ENTRIES)
			return;
		Node applied = from;
		applied.claims[index].fate = APPLIED;
		append(&applied, index);
		visit(applied);
	}

	static bool can_apply(const Node &node, int index)
	{
		return node.claims[index].fate == IN_FLIGHT &&
		       node.claims[index].base ==
			       node.log[node.entries].position;
	}

	// Applies the claim with the log's production code.
	void append(Node *node, int index)
	{
		const Claim &claim = node->claims[index];
		Currant__LeaseClaim record = CURRANT__LEASE_CLAIM__INIT;
		char lease_name[] = "orders/x";

		record.name = lease_name;
		record.holder = const_cast<char *>(NAMES[claim.who]);
		record.holder_incarnation = claim.who + 1;
		record.based_on = claim.base;
		record.duration_ms = DURATION_TICKS * TICK_NS / NS_PER_MS;
		table.count = node->log[node->entries].position ? 1 : 0;
		table.leases[0] = node->log[node->entries];
		node->entries++;
		lease_table_claim(&table, &record,
				  position_make(node->entries, 1), nullptr);
		node->log[node->entries] = table.leases[0];
		node->log_claims[node->entries] = int8_t(index);
	}

	struct Key {
		uint64_t a, b;
		bool operator==(const Key &other) const
		{
			return a == other.a && b == other.b;
		}
	};
	struct KeyHash {
		size_t operator()(const Key &key) const
		{
			return key.a;
		}
	};
	Fault fault;
	int max_ticks;
	struct lease_table table;
	std::unordered_set<Key, KeyHash> seen;
};

} // namespace

TEST(ProofLeaseModel, NoInterleavingLetsTwoActAtOnce)
{
	Search search(NONE, 9);

	search.run();
	printf("%lu states, %lu transitions, %lu of them after a takeover\n",
	       search.states, search.transitions, search.takeovers);
	EXPECT_EQ(0u, search.violations);
	EXPECT_GT(search.takeovers, 0u);
	EXPECT_GT(search.states, 10000u);
}

TEST(ProofLeaseModel, PlantedFaultsAreFound)
{
	const struct {
		const char *what;
		Fault fault;
	} cases[] = {
		{ "a rival that does not wait", RIVAL_DOES_NOT_WAIT },
		{ "a holder that counts from the answer",
		  HOLDER_COUNTS_FROM_ANSWER },
		{ "drift of the clocks ignored", DRIFT_IGNORED },
		{ "orders in flight ignored", ORDERS_IN_FLIGHT_IGNORED },
	};

	for (const auto &c : cases) {
		Search search(c.fault, 9);

		search.run();
		printf("%s: found after %lu states\n", c.what, search.states);
		EXPECT_GT(search.violations, 0u) << c.what;
	}
}
