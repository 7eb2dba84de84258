#ifndef T_LIB_PEER_H
#define T_LIB_PEER_H

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "t/lib-process.h"

extern "C" {
#include "base/counter.h"
#include "peer/peer_service.h"
#include "timeline/timeline.h"
}

/* Waits until a condition holds; false after 10 s. */
static inline bool wait_until(const std::function<bool()> &condition)
{
	return wait_until(10000, condition);
}

/* Connects to a loopback port; returns the descriptor. */
int connect_to(uint16_t port, const char *own_ip = "127.0.0.1");

/* Whether the other side has closed, without waiting for longer than 10 s. */
bool is_closed_by_peer(int fd);

/* A clock that only the test moves while service threads read it. */
class AtomicClock
{
      public:
	explicit AtomicClock(int64_t start_ns);
	void advance(int64_t by_ns);

	struct clock base; /* first: clock_now_ns() finds the object by it */

      private:
	static int64_t now(struct clock *clock);
	static const struct clock_vtable vtable;
	int64_t now_ns;
};

/* A peer service with what it needs, which keeps what it receives. */
class PeerNode
{
      public:
	PeerNode(const std::string &name, struct clock *clock,
		 const char *ip = "127.0.0.1",
		 const struct tls_settings *tls = nullptr);
	~PeerNode();

	/* Lists the others, and itself as a stranger would find it. */
	void set_members(const std::vector<PeerNode *> &others,
			 bool connect = true);
	std::string address() const;
	int64_t counter(const std::string &name);

	/* Texts of what arrived: "from:kind:detail". */
	std::vector<std::string> received();
	size_t received_count(const std::string &text);

	void send_denial(const std::string &to, const std::string &key);
	void broadcast_denial(const std::string &key);
	void send_heartbeat(const std::string &to,
			    const std::string &data_centre);

	std::string name;
	struct peer_service service;
	struct timeline timeline;
	std::function<void(const Currant__PeerMessage *)> on_message;

      private:
	struct Handler {
		struct peer_handler base;
		PeerNode *node;
	};
	static void take(struct peer_handler *handler,
			 const Currant__PeerMessage *message);
	static const struct peer_handler_vtable vtable;

	std::string ip;
	struct counter_set counters;
	struct log_part log;
	Handler handler;
	std::mutex lock;
	std::vector<std::string> texts;
};

#endif
