#ifndef T_LIB_MEMBERSHIP_H
#define T_LIB_MEMBERSHIP_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "base/clock.h"
#include "membership/heartbeat.h"
#include "membership/membership.h"
}

class Cluster;

/* One daemon's membership; a Cluster delivers its messages. */
class ClusterNode
{
      public:
	ClusterNode(Cluster *cluster, const std::string &name,
		    const std::string &data_centre);
	~ClusterNode();

	void beat(int64_t now_ns);
	std::vector<std::string> chosen(int64_t now_ns);
	enum member_state state_of(const std::string &other);
	uint32_t count_in(enum member_state state);
	std::vector<struct data_centre_summary> data_centres(int64_t now_ns);

	std::string name, data_centre;
	struct membership *membership;
	uint64_t incarnation = 1;
	bool stopped = false, leaving = false, log_reachable = true;
	uint64_t messages = 0, bytes = 0; /* sent and received */

      private:
	struct Outbox {
		struct peer_outbox base;
		ClusterNode *node;
	};
	struct Source {
		struct heartbeat_source base;
		ClusterNode *node;
	};
	static int send(struct peer_outbox *outbox, const char *to,
			Currant__PeerMessage *message, struct error *err);
	static uint32_t broadcast(struct peer_outbox *outbox,
				  Currant__PeerMessage *message);
	static void set_members(struct peer_outbox *outbox,
				const struct peer_member *members,
				uint32_t count);
	static void fill(struct heartbeat_source *source,
			 Currant__Heartbeat *heartbeat);
	static const struct peer_outbox_vtable outbox_vtable;
	static const struct heartbeat_source_vtable source_vtable;

	Cluster *cluster;
	Outbox outbox;
	Source source;
	struct heartbeat_sender sender;
	uint64_t sequence = 0;
};

/* Memberships of many daemons in one process, in virtual time. */
class Cluster
{
      public:
	/* Hosts e0, e1, ... are assigned round-robin to dc0, dc1, ... */
	Cluster(uint32_t hosts, uint32_t data_centres);

	/* Runs all nodes for this many periods, in the order of `nodes`. */
	void run(uint32_t periods);
	std::string data_centre_of(const std::string &name) const;
	ClusterNode *node(const std::string &name);

	/* Whether messages are delivered; all are by default. */
	std::function<bool(const ClusterNode &, const ClusterNode &)> passes;

	/* Sets hears_receiver in every heartbeat. */
	bool claims_reception = false;

	const int64_t heartbeat_ns = 500 * NS_PER_MS;
	int64_t now_ns = NS_PER_S;
	std::vector<std::unique_ptr<ClusterNode>> nodes;
};

#endif
