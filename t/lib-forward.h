// The port for callers with the forwarder behind it, before fake servers.
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

// The teams for which runs were counted.
struct CountedRuns {
	struct run_counter base;
	std::vector<std::string> teams;
};

// The port for callers with the forwarder behind it, before fake servers.
class Forward : public ::testing::Test
{
      protected:
	void SetUp() override;
	void TearDown() override;

	// Keys count for so long after they were confirmed, which was then.
	void expire_keys(uint32_t bound_ms, int64_t confirmed_ms_ago);
	// Takes a configuration with a route of each kind.
	void configure();

	FakeServer *add(const std::string &id,
			const FakeServer::Behaviour &behaviour);
	FakeServer *add(const std::string &id, const ServerReply &reply);

	// As if no server had ever been.
	void remove_servers();

	// Of team "red", with the body "body".
	std::string request(const std::string &path,
			    const std::string &fields = "Api-Key: k1\r\n");

	// The whole answer to a request; what came, if the connection ended.
	std::string ask(const std::string &bytes);
	static int status(const std::string &answer);

	// How many requests have reached servers.
	int64_t asked();

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
