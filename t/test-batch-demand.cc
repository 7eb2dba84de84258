// What the open batches of a model need of the engines' weights, as the host
// that runs them tells the holder of the duties.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "lib-batch-host.h"
#include "lib-demand.h"

namespace
{

class BatchDemand : public ::testing::Test
{
      protected:
	BatchDemand() : topics_(&loop_.reactor.timers)
	{
		topics_.delay_ms = 1;
		topics_.log()->max_record_bytes = 65536;
		topics_.log()->max_append_bytes = 1000000;
	}

	~BatchDemand() override
	{
		hosts_.clear();
	}

	BatchHost *add_host(const std::string &name)
	{
		hosts_.emplace_back(new BatchHost(&loop_, &topics_, name));
		demands_.emplace_back(new DemandLog(&hosts_.back()->runner));
		demands_.back()->named["m"] = 3;
		hosts_.back()->configure();
		hosts_.back()->wait_ready();
		return hosts_.back().get();
	}

	// Waits for so many demands of the host that was added last.
	void wait_for(size_t count)
	{
		ASSERT_TRUE(loop_.run_until([&] {
			return demands_.back()->seen.size() >= count;
		})) << demands_.back()->seen.size();
	}

	TestReactor loop_;
	FakeTopics topics_;
	std::vector<std::unique_ptr<DemandLog>> demands_;
	std::vector<std::unique_ptr<BatchHost>> hosts_;
};

Submission step_of(uint64_t min_version, int groups)
{
	Submission submission;

	submission.id = "v" + std::to_string(min_version);
	submission.min_version = min_version;
	submission.groups = groups;
	return submission;
}

} // namespace

class OrderedBatchDemand : public BatchDemand,
			   public ::testing::WithParamInterface<bool>
{
};

INSTANTIATE_TEST_SUITE_P(OlderFirst, OrderedBatchDemand, ::testing::Bool());

// The need of a model was that of the batch that was loaded last. An older
// submission that allows older weights hid the need of the trainer's step, and
// most engines never got the order to load the weights that the step needs.
TEST_P(OrderedBatchDemand, CoversAllOpenBatchesOfTheModel)
{
	std::vector<Submission> submissions = { step_of(1, 2), step_of(3, 10) };
	BatchHost *host = add_host("a");

	if (!GetParam())
		std::swap(submissions[0], submissions[1]);
	for (size_t i = 0; i < submissions.size(); i++) {
		ASSERT_EQ(202, host->submit(submissions[i]));
		wait_for(i + 1);
	}
	for (const char *name : { "submitted", "handed over" }) {
		SCOPED_TRACE(name);
		const DemandLog::Demand &last = demands_.back()->seen.back();

		EXPECT_EQ("m", last.model);
		EXPECT_EQ("s", last.service);
		EXPECT_EQ(3u, last.min_version);
		EXPECT_EQ(3u, last.named_version);
		EXPECT_EQ(20u, last.items);
		if (hosts_.size() > 1)
			continue;
		add_host("b");
		host->leave();
		wait_for(2);
	}
}

// An ended batch needs no weights any more.
TEST_F(BatchDemand, ForgetsBatchesThatHaveEnded)
{
	BatchHost *host = add_host("a");

	ASSERT_EQ(202, host->submit(step_of(3, 10)));
	wait_for(1);
	EXPECT_EQ(200, host->end("v3"));
	ASSERT_EQ(202, host->submit(step_of(1, 2)));
	wait_for(2);
	EXPECT_EQ(1u, demands_.back()->seen.back().min_version);
	EXPECT_EQ(4u, demands_.back()->seen.back().items);
}
