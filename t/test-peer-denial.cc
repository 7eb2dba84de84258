// Denied keys: the set, and how denials spread between daemons.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "peer/denial.h"
}

static std::string id(const char *prefix, int i)
{
	return prefix + std::to_string(i);
}

TEST(DenialSet, KeepsADenialUntilTheLogDecides)
{
	struct denial_set set;
	struct config config;
	struct key keys[2] = {};
	enum { ADD, DECIDE, LIFT, SETTLE };
	const struct {
		const char *name;
		int what;
		const char *key_id, *command_id;
		int outcome;
		bool k1, k2;
	} steps[] = {
		{ "new", ADD, "k1", "c1", DENIAL_NEW, true, false },
		{ "again", ADD, "k1", "c1", DENIAL_KNOWN, true, false },
		{ "by a second command", ADD, "k1", "c2", DENIAL_NEW, true,
		  false },
		{ "the first is rejected", DECIDE, "", "c1", 1, true, false },
		{ "and lifted", LIFT, "", "", 0, true, false },
		{ "a late message of it", ADD, "k1", "c1", DENIAL_KNOWN, true,
		  false },
		{ "the second too", DECIDE, "", "c2", 1, true, false },
		{ "decided again", DECIDE, "", "c2", 1, true, false },
		{ "a message before it is lifted", ADD, "k1", "c2",
		  DENIAL_KNOWN, true, false },
		{ "lifted", LIFT, "", "", 0, false, false },
		{ "a late message of the second", ADD, "k1", "c2", DENIAL_KNOWN,
		  false, false },
		{ "one that is not held", DECIDE, "", "c9", 0, false, false },
		{ "another key", ADD, "k2", "c3", DENIAL_NEW, false, true },
		{ "and one more", ADD, "k1", "c4", DENIAL_NEW, true, true },
		{ "the log has k2 withdrawn", SETTLE, "", "", 0, true, false },
		{ "late for k2", ADD, "k2", "c3", DENIAL_KNOWN, true, false },
	};

	config_init(&config);
	snprintf(keys[0].id, NAME_BYTES, "k1");
	snprintf(keys[1].id, NAME_BYTES, "k2");
	keys[1].withdrawn = 1;
	config.keys = keys;
	config.key_count = 2;
	denial_set_init(&set);
	for (const auto &step : steps) {
		int outcome = 0;

		if (step.what == ADD)
			outcome = denial_set_add(&set, step.key_id,
						 step.command_id, nullptr, 0,
						 0);
		else if (step.what == DECIDE)
			outcome = denial_set_decide(&set, step.command_id);
		else if (step.what == LIFT)
			denial_set_lift_decided(&set);
		else
			denial_set_settle(&set, &config);
		EXPECT_EQ(step.outcome, outcome) << step.name;
		EXPECT_EQ(step.k1, denial_set_contains(&set, "k1"))
			<< step.name;
		EXPECT_EQ(step.k2, denial_set_contains(&set, "k2"))
			<< step.name;
	}
	denial_set_finish(&set);
}

TEST(DenialSet, IsBoundedAndKeepsWhatItHolds)
{
	struct denial_set set;

	denial_set_init(&set);
	EXPECT_EQ(0u, denial_set_digest(&set));
	for (int i = 0; i < DENIAL_SET_MAX; i++)
		ASSERT_EQ(DENIAL_NEW,
			  denial_set_add(&set, id("k", i).c_str(),
					 id("c", i).c_str(), nullptr, 0, 0));
	EXPECT_EQ(DENIAL_FULL,
		  denial_set_add(&set, "more", "more", nullptr, 0, 0));
	EXPECT_FALSE(denial_set_contains(&set, "more"));
	for (int i = 0; i < DENIAL_SET_MAX; i++)
		ASSERT_TRUE(denial_set_contains(&set, id("k", i).c_str()));
	EXPECT_EQ(1, denial_set_decide(&set, "c7"));
	EXPECT_EQ(DENIAL_FULL,
		  denial_set_add(&set, "more", "more", nullptr, 0, 0));
	denial_set_lift_decided(&set);
	EXPECT_EQ(DENIAL_NEW,
		  denial_set_add(&set, "more", "more", nullptr, 0, 0));
	denial_set_finish(&set);
}

TEST(DenialSet, DigestGoesByContentNotOrder)
{
	struct denial_set a, b;

	denial_set_init(&a);
	denial_set_init(&b);
	for (int i = 0; i < 10; i++) {
		denial_set_add(&a, id("k", i).c_str(), "c", nullptr, 0, 0);
		denial_set_add(&b, id("k", 9 - i).c_str(), "c", nullptr, 0, 0);
		EXPECT_EQ(i == 9,
			  denial_set_digest(&a) == denial_set_digest(&b));
	}
	EXPECT_EQ(denial_set_digest(&a), denial_set_digest(&b));
	denial_set_finish(&a);
	denial_set_finish(&b);
}

TEST(DenialSet, ReadersSeeItWholeWhileItChanges)
{
	struct denial_set set;
	bool stop = false;
	int missing = 0;

	denial_set_init(&set);
	denial_set_add(&set, "always", "c", nullptr, 0, 0);
	std::thread reader([&] {
		while (!__atomic_load_n(&stop, __ATOMIC_ACQUIRE))
			missing += !denial_set_contains(&set, "always");
	});
	for (int i = 0; i < 100; i++) {
		denial_set_add(&set, id("k", i).c_str(), id("c", i).c_str(),
			       nullptr, 0, 0);
		if (i % 3 == 0) {
			denial_set_decide(&set, id("c", i).c_str());
			denial_set_lift_decided(&set);
		}
	}
	__atomic_store_n(&stop, true, __ATOMIC_RELEASE);
	reader.join();
	EXPECT_EQ(0, missing);
	denial_set_finish(&set);
}

/* Daemons that hand messages to one another at once, where joined. */
class Network
{
      public:
	struct Node {
		struct peer_outbox outbox; /* first */
		struct denial_listener listener;
		Network *network;
		std::string name;
		struct denial_spread spread;
		std::vector<std::string> denied;
		uint32_t sent;
	};

	explicit Network(int count)
	{
		for (int i = 0; i < count; i++) {
			auto node = std::make_unique<Node>();

			node->outbox.vt = &outbox_vtable;
			node->listener.vt = &listener_vtable;
			node->network = this;
			node->name = id("e", i);
			denial_spread_init(&node->spread, &node->outbox,
					   &node->listener);
			nodes.push_back(std::move(node));
		}
	}

	~Network()
	{
		for (auto &node : nodes)
			denial_spread_finish(&node->spread);
	}

	void join(size_t a, size_t b)
	{
		joined[nodes[a]->name].push_back(nodes[b].get());
		joined[nodes[b]->name].push_back(nodes[a].get());
	}

	/* Each tells those it is joined with of its digest. */
	void beat()
	{
		for (auto &node : nodes)
			for (Node *other : joined[node->name]) {
				Currant__Heartbeat heartbeat =
					CURRANT__HEARTBEAT__INIT;

				heartbeat.denial_digest =
					denial_set_digest(&node->spread.set);
				denial_spread_on_heartbeat(&other->spread,
							   node->name.c_str(),
							   &heartbeat, now_ns);
			}
		now_ns += NS_PER_S;
	}

	size_t denying(const char *key)
	{
		return static_cast<size_t>(std::count_if(
			nodes.begin(), nodes.end(), [&](const auto &node) {
				return denial_set_contains(&node->spread.set,
							   key);
			}));
	}

	std::vector<std::unique_ptr<Node>> nodes;
	std::map<std::string, std::vector<Node *>> joined;
	int64_t now_ns = 0;

      private:
	static void hand_over(Node *to, const Currant__PeerMessage *message)
	{
		denial_spread_on_message(&to->spread, message->key_denial,
					 to->network->now_ns);
	}

	static int send(struct peer_outbox *outbox, const char *to,
			Currant__PeerMessage *message, struct error *)
	{
		Node *node = reinterpret_cast<Node *>(outbox);

		node->sent++;
		for (Node *other : node->network->joined[node->name])
			if (other->name == to)
				hand_over(other, message);
		return 0;
	}

	static uint32_t broadcast(struct peer_outbox *outbox,
				  Currant__PeerMessage *message)
	{
		Node *node = reinterpret_cast<Node *>(outbox);

		for (Node *other : node->network->joined[node->name]) {
			node->sent++;
			hand_over(other, message);
		}
		return 0;
	}

	static void on_denied(struct denial_listener *listener, const char *key)
	{
		Node *node = reinterpret_cast<Node *>(
			reinterpret_cast<char *>(listener) -
			offsetof(Node, listener));

		node->denied.push_back(key);
	}

	static const struct peer_outbox_vtable outbox_vtable;
	static const struct denial_listener_vtable listener_vtable;
};

const struct peer_outbox_vtable Network::outbox_vtable = { send, broadcast,
							   nullptr };
const struct denial_listener_vtable Network::listener_vtable = { on_denied };

static void deny(Network *network, size_t node, const char *key)
{
	const uint8_t command[] = { 1, 2, 3 };

	ASSERT_EQ(0, denial_spread_deny(&network->nodes[node]->spread, key,
					"c1", command, sizeof(command),
					network->now_ns, nullptr));
}

TEST(DenialSpread, GoesAlongAnyPathAndTellsEachOnce)
{
	Network chain(6);

	for (size_t i = 0; i + 1 < 6; i++)
		chain.join(i, i + 1);
	chain.join(0, 3);
	deny(&chain, 0, "k1");
	EXPECT_EQ(6u, chain.denying("k1"));
	for (auto &node : chain.nodes) {
		EXPECT_EQ(1u, node->denied.size()) << node->name;
		EXPECT_EQ(3u, node->spread.set.denials[0].command_len);
		EXPECT_LE(node->sent, 3u);
	}
}

TEST(DenialSpread, ReachesADaemonThatComesBack)
{
	Network network(3);

	network.join(0, 1);
	for (int i = 0; i < 200; i++)
		deny(&network, 0, id("k", i).c_str());
	EXPECT_EQ(2u, network.denying("k7"));
	network.join(1, 2);
	for (int i = 0; i < 8; i++)
		network.beat();
	EXPECT_EQ(3u, network.denying("k7"));
	EXPECT_EQ(200u, network.nodes[2]->denied.size());
	/* Once all hold the same, nothing more is sent. */
	uint32_t sent = network.nodes[1]->sent;
	network.beat();
	EXPECT_EQ(sent, network.nodes[1]->sent);
}

TEST(DenialSpread, DoesNotComeBackOnceDecided)
{
	Network network(3);

	network.join(0, 1);
	network.join(1, 2);
	deny(&network, 0, "k1");
	denial_set_decide(&network.nodes[0]->spread.set, "c1");
	denial_set_lift_decided(&network.nodes[0]->spread.set);
	for (int i = 0; i < 5; i++)
		network.beat();
	EXPECT_EQ(2u, network.denying("k1"));
	EXPECT_FALSE(denial_set_contains(&network.nodes[0]->spread.set, "k1"));
}

TEST(DenialSpread, RefusesIdsThatAreNone)
{
	Network network(1);
	struct denial_spread *spread = &network.nodes[0]->spread;
	std::string too_long(NAME_BYTES, 'x');
	struct error err = ERROR_INIT;

	EXPECT_EQ(-1, denial_spread_deny(spread, "", "c", nullptr, 0, 0, &err));
	EXPECT_EQ(ERROR_INVALID, err.code);
	EXPECT_EQ(-1, denial_spread_deny(spread, too_long.c_str(), "c", nullptr,
					 0, 0, &err));
	EXPECT_EQ(0u, denial_set_digest(&spread->set));
}
