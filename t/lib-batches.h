#ifndef T_LIB_BATCHES_H
#define T_LIB_BATCHES_H

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lib-batch-host.h"

// An event loop and a store in memory that takes small records only.
class BatchStore : public ::testing::Test
{
      protected:
	BatchStore() : topics_(&loop_.reactor.timers)
	{
		topics_.delay_ms = 1;
		topics_.log()->max_record_bytes = 65536;
		topics_.log()->max_append_bytes = 1000000;
	}

	TestReactor loop_;
	FakeTopics topics_;
};

// Daemons with fake engines.
class Batches : public BatchStore
{
      protected:
	BatchHost *add_host(const std::string &name, uint64_t incarnation = 1,
			    uint32_t cpu_milli = 500)
	{
		hosts_.emplace_back(new BatchHost(&loop_, &topics_, name,
						  incarnation, cpu_milli));
		hosts_.back()->configure();
		join_servers(hosts_.back().get());
		hosts_.back()->wait_ready();
		return hosts_.back().get();
	}

	// Puts the servers there are into the fleet of a new host.
	virtual void join_servers(BatchHost *host)
	{
		for (auto &engine : engines_)
			engine->join(&host->fleet, "s", "m");
	}

	FakeServer *add_engine(const std::string &id,
			       const FakeServer::Behaviour &behaviour,
			       uint64_t version = 1, uint32_t slots = 4)
	{
		engines_.emplace_back(new FakeServer(&loop_, id, behaviour));
		for (auto &host : hosts_)
			engines_.back()->join(&host->fleet, "s", "m", version,
					      false, slots);
		return engines_.back().get();
	}

	FakeServer *add_engine(const std::string &id, const ServerReply &reply,
			       uint64_t version = 1, uint32_t slots = 4)
	{
		return add_engine(
			id, [reply](const ServerSaw &) { return reply; },
			version, slots);
	}

	void kill(BatchHost *host)
	{
		hosts_.erase(std::find_if(
			hosts_.begin(), hosts_.end(),
			[host](auto &h) { return h.get() == host; }));
	}

	// Each result is present exactly once, with a text of `events` events.
	static void expect_complete(const Submission &submission,
				    const ReadAnswer &answer, int events)
	{
		std::set<std::string> seen;

		EXPECT_EQ((uint64_t)submission.items(), answer.total);
		for (const ReadResult &result : answer.results) {
			EXPECT_TRUE(seen.insert(result.id).second) << result.id;
			EXPECT_EQ("complete", result.state);
			EXPECT_EQ(fake_text(result.id, events), result.text);
		}
		EXPECT_EQ((size_t)submission.items(), seen.size());
	}

	int64_t ended_count(BatchHost *host, const std::string &outcome)
	{
		return counter_value(counter_get(
			&host->counters,
			("item_runs_ended_total{outcome=\"" + outcome + "\"}")
				.c_str()));
	}

	std::vector<std::unique_ptr<FakeServer>> engines_;
	std::vector<std::unique_ptr<BatchHost>> hosts_;
};

#endif
