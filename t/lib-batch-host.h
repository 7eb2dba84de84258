#ifndef T_LIB_BATCH_HOST_H
#define T_LIB_BATCH_HOST_H

#include <memory>
#include <string>
#include <vector>

#include "lib-fake-engine.h"
#include "lib-fake-topics.h"

extern "C" {
#include "batch/batch_api.h"
#include "batch/batch_runner.h"
#include "batch/partition_claimer.h"
#include "entry/caller_port.h"
#include "platform/config_decode.h"
}

// One result as returned to a reader.
struct ReadResult {
	std::string id, state, text, score;
	std::vector<uint64_t> versions;
};

struct ReadAnswer {
	int status = 0; // 0: no answer
	uint64_t total = 0;
	uint64_t next = 0;
	size_t bytes = 0; // of the body
	std::vector<ReadResult> results;
};

// A submission in the form that trainers send.
struct Submission {
	std::string id = "batch1";
	std::string model = "m"; // of the batch; "": none
	std::string item_model = "m"; // of each item; "": none
	std::string key = "k1";
	uint64_t step = 0;
	uint64_t min_version = 1;
	int groups = 2;
	int group_size = 2;
	int length_hint = 0; // tokens; 0: none
	std::string item_prefix; // of the items' ids; "": the batch's id
	std::string path = "/b/";
	std::string scorer; // of the items' reward calls; "": none

	std::string item(int number) const;
	std::string reward(int number) const; // id of the item's reward call
	int items() const
	{
		return groups * group_size;
	}
	std::string body() const;
};

// The batch part of a daemon without the rest: the caller API, the partitions
// that it owns and the attempts of items.
class BatchHost
{
      public:
	BatchHost(TestReactor *loop, FakeTopics *topics,
		  const std::string &name, uint64_t incarnation = 1,
		  uint32_t cpu_milli = 500);
	~BatchHost();

	// Applies a configuration; `extra` is added to the route. Reward calls
	// under /score/ go to `reward_service`, or have no route if it is "".
	// `service_fields` are added to the service of the items.
	// `more_teams` are added to the list of teams.
	std::string service_fields, more_teams;
	void configure(uint64_t version = 1, const std::string &extra = "",
		       bool with_route = true,
		       const std::string &reward_service = "r");
	// All that the store holds of the configuration now was read.
	void confirm_config();
	void wait_ready();
	uint16_t port() const // for callers
	{
		return net_server_port(&server_);
	}
	const struct config_holder *config() const
	{
		return &config_;
	}

	// Status of the answer; 0 if the connection ended without one.
	int submit(const Submission &submission);
	ReadAnswer read(const std::string &batch, uint64_t after = 0,
			bool wait = false);
	int end(const std::string &batch, const std::string &key = "k1");
	int body(const std::string &batch, const std::string &item,
		 std::string *out);
	// Reads until all items are listed; returns false after `limit_ms`.
	bool read_all(const Submission &submission, ReadAnswer *out,
		      int64_t limit_ms = 8000);
	// Stops the host as on SIGTERM.
	void leave();

	struct fleet fleet;
	struct batch_set set;
	struct batch_api api;
	struct batch_runner runner;
	struct discovery discovery;
	struct partition_claimer keeper;
	struct counter_set counters;

      private:
	std::string send_request(const std::string &bytes);

	TestReactor *loop_;
	std::string name_;
	struct net_pool pool_;
	struct config_holder config_;
	struct forwarder forwarder_;
	struct caller_port port_;
	struct net_server server_;
};

// The text that a fake engine makes for an item of `events` events.
std::string fake_text(const std::string &item, int events);

#endif
