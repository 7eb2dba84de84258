// A team's limit, split by many daemons over a network of fakes.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "app/team_shares.h"
#include "base/clock.h"
#include "base/rng.h"
#include "membership/overlay.h"
}

namespace
{

constexpr int64_t TICK_NS = 200 * NS_PER_MS;
constexpr int64_t LATENCY_NS = 150 * NS_PER_MS;
constexpr uint32_t MOVE_TICKS = 100; // demand moves to other daemons
constexpr double HOT_PART = 0.2;
constexpr uint32_t HOT_DEMAND = 24;
constexpr double ENDS_IN_A_TICK = 0.02; // requests run 10 s

struct Net;

struct Node {
	struct peer_outbox outbox; // first
	Net *net;
	std::string name, centre;
	struct team_slots slots;
	struct team_shares shares;
	std::vector<struct member> members;
	std::vector<struct peer_member> peers;
	uint32_t demand = 0;
	uint32_t running = 0;
	int64_t skew_ns = 0; // of its ticks
	bool stopped = false;
};

struct Packet {
	int64_t due_ns;
	std::string from, to;
	std::vector<uint8_t> data;
};

int send_packet(struct peer_outbox *outbox, const char *name,
		Currant__PeerMessage *message, struct error *err);

const struct peer_outbox_vtable outbox_vtable = { send_packet, nullptr,
						  nullptr };

struct Net {
	Net(uint32_t daemons, uint32_t centres, uint32_t limit, uint64_t seed)
	{
		rng_init(&rng, seed);
		strcpy(team.name, "red");
		team.max_in_flight = limit;
		for (uint32_t i = 0; i < daemons; i++)
			add(i, i * centres / daemons);
		list_all();
	}

	~Net()
	{
		for (auto &node : nodes) {
			team_shares_finish(&node->shares);
			team_slots_finish(&node->slots);
		}
	}

	void add(uint32_t number, uint32_t centre)
	{
		auto node = std::make_unique<Node>();
		char name[32];

		snprintf(name, sizeof(name), "entry-%03u", number);
		node->outbox.vt = &outbox_vtable;
		node->net = this;
		node->name = name;
		snprintf(name, sizeof(name), "dc-%02u", centre);
		node->centre = name;
		node->skew_ns = (int64_t)(rng_unit(&rng) * TICK_NS);
		team_slots_init(&node->slots);
		team_shares_init(&node->shares, &node->slots, &node->outbox,
				 nullptr, node->name.c_str(),
				 node->centre.c_str());
		by_name[node->name] = node.get();
		nodes.push_back(std::move(node));
	}

	// What each daemon knows of the others; those not listed are left out.
	void list_all(const std::string &without = "")
	{
		for (auto &node : nodes)
			list_for(node.get(), without);
	}

	void list_for(Node *node, const std::string &without)
	{
		std::vector<struct overlay_host> hosts;

		node->members.clear();
		node->peers.clear();
		for (auto &other : nodes)
			if (other->name != without)
				hosts.push_back({ other->name.c_str(),
						  other->centre.c_str(), 1,
						  0 });
		overlay_choose(hosts.data(), (uint32_t)hosts.size(),
			       node->name.c_str());
		for (auto &host : hosts) {
			struct member member = {};
			struct peer_member peer = {};

			if (node->name == host.name)
				continue;
			strcpy(member.name, host.name);
			strcpy(member.data_centre, host.data_centre);
			member.state = MEMBER_ALIVE;
			strcpy(peer.name, host.name);
			peer.connect = host.chosen;
			node->members.push_back(member);
			node->peers.push_back(peer);
		}
	}

	// A process ends, with all that it ran, and another takes its place.
	void restart(uint32_t index)
	{
		Node *node = nodes[index].get();

		node->running = 0;
		team_shares_finish(&node->shares);
		team_slots_finish(&node->slots);
		team_slots_init(&node->slots);
		team_shares_init(&node->shares, &node->slots, &node->outbox,
				 nullptr, node->name.c_str(),
				 node->centre.c_str());
	}

	Node *find(const std::string &name)
	{
		return by_name.at(name);
	}

	void deliver()
	{
		while (!packets.empty() && packets.front().due_ns <= now_ns) {
			Packet packet = packets.front();
			Node *to = find(packet.to);
			Currant__DemandSummary *summary =
				currant__demand_summary__unpack(
					nullptr, packet.data.size(),
					packet.data.data());

			packets.pop_front();
			if (!to->stopped)
				team_shares_on_summary(&to->shares,
						       packet.from.c_str(),
						       summary, now_ns);
			currant__demand_summary__free_unpacked(summary,
							       nullptr);
		}
	}

	void split(Node *node)
	{
		struct share_view view = { node->members.data(),
					   (uint32_t)node->members.size(),
					   node->peers.data(),
					   (uint32_t)node->peers.size(),
					   &team,
					   1 };
		int64_t at_ns = now_ns + node->skew_ns;

		if (!node->stopped && team_shares_due(&node->shares, at_ns))
			team_shares_step(&node->shares, &view, at_ns);
	}

	void serve(Node *node)
	{
		for (uint32_t n = node->running; n > 0; n--) {
			if (rng_unit(&rng) >= ENDS_IN_A_TICK)
				continue;
			team_slots_give_back(&node->slots, team.name);
			node->running--;
		}
		// Refused callers come back after a second.
		if (node->stopped || ticks % 5)
			return;
		for (uint32_t n = node->running; n < node->demand; n++)
			if (!team_slots_take(&node->slots, team.name,
					     team.max_in_flight))
				node->running++;
	}

	void move_demand()
	{
		for (auto &node : nodes)
			node->demand = rng_unit(&rng) < HOT_PART ? HOT_DEMAND
								 : 1;
	}

	void tick()
	{
		now_ns += TICK_NS;
		ticks++;
		deliver();
		for (auto &node : nodes)
			split(node.get());
		for (auto &node : nodes)
			serve(node.get());
	}

	uint32_t running() const
	{
		uint32_t sum = 0;

		for (auto &node : nodes)
			sum += node->running;
		return sum;
	}

	uint32_t demand() const
	{
		uint32_t sum = 0;

		for (auto &node : nodes)
			sum += node->demand;
		return sum < team.max_in_flight ? sum : team.max_in_flight;
	}

	// Runs on; returns the most that ran at once.
	uint32_t run(uint32_t seconds, bool moving = false)
	{
		uint32_t most = 0;

		for (uint32_t t = 0; t < seconds * 5; t++) {
			if (moving && ticks % MOVE_TICKS == 0)
				move_demand();
			tick();
			most = std::max(most, running());
			sum_running += running();
			sum_demand += demand();
		}
		return most;
	}

	std::vector<std::unique_ptr<Node>> nodes;
	std::map<std::string, Node *> by_name;
	std::deque<Packet> packets;
	std::function<bool(const Node &, const Node &)> passes;
	struct team team = {};
	struct rng rng;
	int64_t now_ns = 1000 * NS_PER_S;
	uint64_t ticks = 0;
	double sum_running = 0, sum_demand = 0;
};

int send_packet(struct peer_outbox *outbox, const char *name,
		Currant__PeerMessage *message, struct error *)
{
	Node *node = reinterpret_cast<Node *>(outbox);
	const Currant__DemandSummary *summary = message->demand_summary;
	Packet packet = {
		node->net->now_ns + LATENCY_NS, node->name, name, {}
	};

	if (node->net->passes &&
	    !node->net->passes(*node, *node->net->find(name)))
		return 0;
	packet.data.resize(currant__demand_summary__get_packed_size(summary));
	currant__demand_summary__pack(summary, packet.data.data());
	node->net->packets.push_back(packet);
	return 0;
}

struct size {
	uint32_t daemons, centres, limit;
	uint64_t seeds; // 1 to this one
};

const size sizes[] = { { 3, 1, 24, 20 },
		       { 3, 3, 24, 20 },
		       { 12, 4, 48, 10 },
		       { 350, 32, 1200, 1 } };

struct figures {
	uint32_t most = 0; // of all seeds
	double running = 0, demand = 0;
};

void print(const char *what, const size &size, const figures &figures)
{
	printf("[ figures  ] %s: %u daemons, %u data centres: most %u of %u, "
	       "used %.2f\n",
	       what, size.daemons, size.centres, figures.most, size.limit,
	       figures.running / figures.demand);
}

// Runs all seeds for `seconds` after a minute without faults.
figures run_seeds(const size &size, uint32_t seconds,
		  const std::function<void(Net &)> &fault)
{
	figures sum;

	for (uint64_t seed = 1; seed <= size.seeds; seed++) {
		Net net(size.daemons, size.centres, size.limit, seed);
		uint32_t before = net.run(60, true);

		EXPECT_LE(before, size.limit) << "seed " << seed;
		fault(net);
		net.sum_running = net.sum_demand = 0;
		sum.most = std::max(sum.most, net.run(seconds, true));
		sum.running += net.sum_running;
		sum.demand += net.sum_demand;
		net.passes = nullptr;
		sum.most = std::max(sum.most, net.run(30, true));
	}
	return sum;
}

void cut_off_first(Net &net)
{
	bool one_centre = net.nodes.front()->centre == net.nodes.back()->centre;

	net.passes = [one_centre](const Node &a, const Node &b) {
		if (one_centre)
			return (a.name == "entry-000") ==
			       (b.name == "entry-000");
		return (a.centre == "dc-00") == (b.centre == "dc-00");
	};
}

struct Case {
	const char *name;
	void (*fault)(Net &);
	bool at_many; // also at hundreds of daemons
};

const Case faults[] = {
	{ "DemandMoves", [](Net &) {}, true },
	{ "OneSideCutOff", cut_off_first, true },
	{ "ATenthOfTheMessagesLost",
	  [](Net &net) {
		  net.passes = [&net](const Node &, const Node &) {
			  return rng_unit(&net.rng) > 0.1;
		  };
	  },
	  false },
	{ "ADaemonStandsStill",
	  [](Net &net) {
		  net.nodes[0]->stopped = true;
		  net.run(40, true);
		  net.nodes[0]->stopped = false;
	  },
	  false },
	{ "ADaemonStartsAnew", [](Net &net) { net.restart(0); }, false },
};

class TeamShares : public ::testing::TestWithParam<std::tuple<Case, size>>
{
};

std::vector<std::tuple<Case, size>> all_cases()
{
	std::vector<std::tuple<Case, size>> all;

	for (const Case &fault : faults)
		for (const size &size : sizes)
			if (size.daemons <= 12 || fault.at_many)
				all.emplace_back(fault, size);
	return all;
}

std::string
case_name(const testing::TestParamInfo<std::tuple<Case, size>> &info)
{
	const size &size = std::get<1>(info.param);

	return std::string(std::get<0>(info.param).name) + "At" +
	       std::to_string(size.daemons) + "In" +
	       std::to_string(size.centres);
}

INSTANTIATE_TEST_SUITE_P(Fault, TeamShares, testing::ValuesIn(all_cases()),
			 case_name);

TEST_P(TeamShares, HoldTheLimit)
{
	const Case &fault = std::get<0>(GetParam());
	const size &size = std::get<1>(GetParam());
	figures found =
		run_seeds(size, size.daemons > 12 ? 60 : 90, fault.fault);

	EXPECT_LE(found.most, size.limit);
	print(fault.name, size, found);
}

} // namespace
