#ifndef T_LIB_ENTRY_HOST_H
#define T_LIB_ENTRY_HOST_H

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "membership/heartbeat.h"
#include "membership/isolation.h"
#include "peer/denial.h"
#include "peer/peer_service.h"
}

/*
 * The membership and withdrawal parts of one daemon, over real TCP and in real
 * time, with the log down.
 */
class EntryHost
{
      public:
	static const int64_t heartbeat_ns = 100 * NS_PER_MS;
	static const int64_t isolation_ns = 500 * NS_PER_MS;

	/* `port` 0 selects a free one. */
	EntryHost(const std::string &name, const std::string &data_centre,
		  uint16_t port, uint64_t incarnation);
	~EntryHost();

	void start(const std::vector<struct host> &list);
	void set_list(const std::vector<struct host> &list);
	struct host listed() const;

	void deny(const std::string &key, const std::string &command);
	bool denies(const std::string &key);
	enum isolation isolation();
	enum member_state state_of(const std::string &other);
	uint64_t incarnation_of(const std::string &other);
	uint32_t count_in(enum member_state state);
	uint64_t beats();
	uint16_t port() const;

	std::string name, data_centre;

	/* If false, withdrawals are neither forwarded nor compared. */
	bool sends_on = true;
	/* If true, no message is sent or received. */
	bool cut = false;

      private:
	struct Handler {
		struct peer_handler base;
		EntryHost *host;
	};
	struct Source {
		struct heartbeat_source base;
		EntryHost *host;
	};
	struct Outbox {
		struct peer_outbox base;
		EntryHost *host;
	};
	static void on_message(struct peer_handler *handler,
			       const Currant__PeerMessage *message);
	static void fill(struct heartbeat_source *source,
			 Currant__Heartbeat *heartbeat);
	static int send(struct peer_outbox *outbox, const char *to,
			Currant__PeerMessage *message, struct error *err);
	static uint32_t broadcast(struct peer_outbox *outbox,
				  Currant__PeerMessage *message);
	static void set_members(struct peer_outbox *outbox,
				const struct peer_member *members,
				uint32_t count);
	static const struct peer_handler_vtable handler_vtable;
	static const struct heartbeat_source_vtable source_vtable;
	static const struct peer_outbox_vtable outbox_vtable;

	bool is_set(const bool *flag) const;

	Handler handler;
	Source source;
	Outbox outbox;
	struct clock clock;
	struct counter_set counters;
	struct timer_service timers;
	struct peer_service peers;
	struct membership *membership;
	struct denial_spread denials;
	struct heartbeat_sender sender;
};

/* Hosts e0, e1, ... are assigned round-robin to dc0, dc1, ... */
std::vector<std::unique_ptr<EntryHost>> start_hosts(int count,
						    int data_centres);
std::vector<struct host>
list_of(const std::vector<std::unique_ptr<EntryHost>> &hosts);

/* Whether no host is isolated, and none has suspect or gone members. */
bool all_hosts_connected(const std::vector<std::unique_ptr<EntryHost>> &hosts);

#endif
