// A stand-in of the platform's store that speaks HTTP and misbehaves.
#ifndef SOAK_STORE_STANDIN_H
#define SOAK_STORE_STANDIN_H

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "soak/history.h"
#include "t/lib-fake-topics.h"
#include "t/lib-reactor.h"

// The platform's store and its usage reports over HTTP.
class StoreStandin
{
      public:
	StoreStandin(TestReactor *loop, History *history);
	~StoreStandin();

	std::string address() const;
	FakeTopics topics;
	std::set<uint64_t> reported() const; // windows of usage

	// Whether a call with a lower fence is refused. Where not, no holder
	// may send one, nor may holders take turns within the lease.
	bool fencing = true;
	// Calls of a holder that was just cut off or frozen don't count then.
	std::function<bool(const std::string &holder)> is_excused;

	// For planted faults: the next append to this topic is acknowledged
	// and dropped.
	std::string forget_append;
	// Likewise: calls count as if another holder's came between them.
	bool plant_turns = false;

      private:
	struct Call;
	struct Handler {
		struct net_handler base;
		StoreStandin *self;
	};

	static void on_request(struct net_handler *handler,
			       struct net_request *request);
	static void on_gone(struct net_request_owner *owner);
	void append(struct net_request *request, const std::string &query);
	void read(struct net_request *request, const std::string &query);
	void newest(struct net_request *request, const std::string &query);
	void usage(struct net_request *request);
	void check_turn(const std::string &holder, uint64_t fence);
	Call *new_call(struct net_request *request);
	static void answer_append(struct topic_append *append);
	static void answer_read(struct topic_read *read);
	static void add_item(struct topic_newest *newest, const char *key,
			     const void *value, size_t len, uint64_t offset);
	static void answer_newest(struct topic_newest *newest);
	static void answer(Call *call, int status, const std::string &body);

	TestReactor *loop_;
	History *history_;
	Handler handler_;
	struct net_server server_;
	std::map<uint64_t, std::string> windows_; // counts
	std::map<uint64_t, std::string> fences_; // holders
	uint64_t highest_fence_ = 0;
	struct Turn {
		std::string holder;
		int64_t last_ms;
	};
	std::vector<Turn> turns_; // where fences are not checked
};

#endif
