#include "t/lib-membership.h"

#include "t/lib-members.h"

#include <cstring>

extern "C" {
#include "peer/frame.h"
}

const struct peer_outbox_vtable ClusterNode::outbox_vtable = {
	ClusterNode::send, ClusterNode::broadcast, ClusterNode::set_members
};
const struct heartbeat_source_vtable ClusterNode::source_vtable = {
	ClusterNode::fill
};

ClusterNode::ClusterNode(Cluster *in_cluster, const std::string &own_name,
			 const std::string &own_data_centre)
    : name(own_name), data_centre(own_data_centre),
      membership(membership_new(own_name.c_str(), in_cluster->heartbeat_ns)),
      cluster(in_cluster)
{
	outbox = { { &outbox_vtable }, this };
	source = { { &source_vtable }, this };
	heartbeat_sender_init(&sender, membership, &outbox.base, &source.base);
}

ClusterNode::~ClusterNode()
{
	heartbeat_sender_finish(&sender);
	membership_free(membership);
}

void ClusterNode::beat(int64_t now_ns)
{
	heartbeat_sender_tick(&sender, now_ns);
}

int ClusterNode::send(struct peer_outbox *outbox, const char *to,
		      Currant__PeerMessage *message, struct error *)
{
	ClusterNode *node = reinterpret_cast<Outbox *>(outbox)->node;
	ClusterNode *other = node->cluster->node(to);
	size_t bytes;

	message->from = const_cast<char *>(node->name.c_str());
	/* As long as a real one, for realistic message sizes. */
	message->incarnation = UINT64_C(1) << 62 | node->incarnation;
	message->sequence = ++node->sequence + 100000;
	message->lamport = message->sequence * 3;
	bytes = currant__peer_message__get_packed_size(message) +
		FRAME_HEADER_BYTES;
	node->messages++;
	node->bytes += bytes;
	if (other->stopped || !node->cluster->passes(*node, *other))
		return 0;
	other->messages++;
	other->bytes += bytes;
	if (node->cluster->claims_reception)
		message->heartbeat->hears_receiver = 1;
	membership_on_heartbeat(other->membership, node->name.c_str(),
				node->incarnation, message->heartbeat,
				node->cluster->now_ns);
	return 0;
}

uint32_t ClusterNode::broadcast(struct peer_outbox *, Currant__PeerMessage *)
{
	return 0;
}

void ClusterNode::set_members(struct peer_outbox *, const struct peer_member *,
			      uint32_t)
{
}

void ClusterNode::fill(struct heartbeat_source *source,
		       Currant__Heartbeat *heartbeat)
{
	ClusterNode *node = reinterpret_cast<Source *>(source)->node;
	static char caller[] = "10.120.130.140:18001";
	static char operators[] = "10.120.130.140:18002";
	static char latency[] = "10.120.130.140:18003";

	heartbeat->data_centre = const_cast<char *>(node->data_centre.c_str());
	heartbeat->leaving = node->leaving;
	heartbeat->log_head = 7;
	heartbeat->log_reachable = node->log_reachable;
	heartbeat->requests_in_flight = 3;
	heartbeat->request_capacity = 10;
	heartbeat->caller_address = caller;
	heartbeat->operator_address = operators;
	heartbeat->latency_address = latency;
}

std::vector<std::string> ClusterNode::chosen(int64_t now_ns)
{
	std::vector<std::string> names;
	struct peer_member *members;
	uint32_t count = membership_choose_peers(membership, now_ns, &members);

	for (uint32_t i = 0; i < count; i++)
		if (members[i].connect)
			names.push_back(members[i].name);
	free(members);
	return names;
}

enum member_state ClusterNode::state_of(const std::string &other)
{
	return member_of(membership, other).state;
}

uint32_t ClusterNode::count_in(enum member_state state)
{
	return members_in(membership, state);
}

std::vector<struct data_centre_summary>
ClusterNode::data_centres(int64_t now_ns)
{
	Currant__Heartbeat own = CURRANT__HEARTBEAT__INIT;
	struct data_centre_summary *sums;

	fill(&source.base, &own);
	uint32_t count =
		membership_data_centres(membership, &own, now_ns, &sums);
	std::vector<struct data_centre_summary> all(sums, sums + count);
	free(sums);
	return all;
}

Cluster::Cluster(uint32_t hosts, uint32_t data_centres)
    : passes([](const ClusterNode &, const ClusterNode &) { return true; })
{
	std::vector<struct host> listed(hosts);
	struct host_list list = {};

	list.generation = 1;
	list.hosts = listed.data();
	list.host_count = hosts;
	for (uint32_t i = 0; i < hosts; i++) {
		std::string name = "e" + std::to_string(i);
		std::string centre = "dc" + std::to_string(i % data_centres);

		memset(&listed[i], 0, sizeof(listed[i]));
		snprintf(listed[i].name, NAME_BYTES, "%s", name.c_str());
		snprintf(listed[i].data_centre, NAME_BYTES, "%s",
			 centre.c_str());
		nodes.push_back(
			std::make_unique<ClusterNode>(this, name, centre));
	}
	for (auto &one : nodes)
		membership_set_list(one->membership, &list, now_ns);
}

void Cluster::run(uint32_t periods)
{
	for (uint32_t i = 0; i < periods; i++) {
		now_ns += heartbeat_ns;
		for (auto &one : nodes)
			if (!one->stopped)
				one->beat(now_ns);
	}
}

ClusterNode *Cluster::node(const std::string &name)
{
	return nodes.at(std::stoul(name.substr(1))).get();
}

std::string Cluster::data_centre_of(const std::string &name) const
{
	return nodes.at(std::stoul(name.substr(1)))->data_centre;
}
