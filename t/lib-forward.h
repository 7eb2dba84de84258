// Fixture for tests of the forwarder: the callers' port, the forwarder and fake
// backend servers in one process.
#ifndef T_LIB_FORWARD_H
#define T_LIB_FORWARD_H

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "t/lib-fake-engine.h"

extern "C" {
#include "entry/caller_port.h"
}

// Records the team of each attempt that was counted as run.
struct CountedRuns {
	struct attempt_counter base;
	std::vector<std::string> teams;
};

// Requests sent to the callers' port are forwarded to fake backend servers.
class Forward : public ::testing::Test
{
      protected:
	void SetUp() override;
	void TearDown() override;

	// API keys are valid for bound_ms (0: unlimited) after their last
	// confirmation, which is set to confirmed_ms_ago.
	void expire_keys(uint32_t bound_ms, int64_t confirmed_ms_ago);
	// Applies a configuration with a route of each kind.
	void configure();

	FakeServer *add(const std::string &id,
			const FakeServer::Behaviour &behaviour);
	FakeServer *add(const std::string &id, const ServerReply &reply);

	// Removes all servers and resets the fleet table.
	void remove_servers();

	// A request with the body "body"; the default key is team "red"'s.
	std::string request(const std::string &path,
			    const std::string &fields = "Api-Key: k1\r\n");

	// Sends a request and returns the complete answer, or the bytes
	// received if the connection was closed first.
	std::string ask(const std::string &bytes);
	static int status(const std::string &answer);

	// Number of requests received by all servers.
	int64_t received();

	TestReactor loop_;
	struct counter_set counters_;
	struct net_pool pool_;
	struct fleet fleet_;
	struct config_holder config_;
	struct forwarder forwarder_;
	CountedRuns runs_ = {};
	struct batch_port batches_;
	struct caller_port port_;
	struct net_server server_;
	std::vector<std::unique_ptr<FakeServer>> servers_;
};

#endif
