// What the open batches of a model need of the engines' weights, as the host
// that runs them tells the holder of the duties.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "lib-batches.h"
#include "lib-demand.h"

namespace
{

class BatchDemand : public BatchStore
{
      protected:
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

namespace
{

struct RouteCase {
	const char *name;
	const char *before; // added to the route's object, as JSON
	const char *after;
	std::vector<std::string> services; // to be told after the change
	uint32_t items; // of 20, at each of them
};

const char split_route[] = R"(,"split":[{"service":"s","weight":1},
  {"service":"r","weight":1}])";

const RouteCase route_cases[] = {
	{ "Moved", "", R"(,"service":"r")", { "r" }, 20 },
	{ "Split", "", split_route, { "r", "s" }, 10 },
	{ "SplitFromTheStart", split_route, split_route, {}, 0 },
	{ "Unchanged", "", R"(,"goal_ms":200)", {}, 0 },
};

class MovedBatchDemand : public BatchDemand,
			 public ::testing::WithParamInterface<RouteCase>
{
      protected:
	std::vector<std::string> services_from(size_t at)
	{
		const auto &seen = demands_.back()->seen;
		std::vector<std::string> out;

		for (; at < seen.size(); at++)
			out.push_back(seen[at].service);
		std::sort(out.begin(), out.end());
		return out;
	}
};

std::string route_name(const ::testing::TestParamInfo<RouteCase> &info)
{
	return info.param.name;
}

} // namespace

// A batch told the need of its route's first service, once. After a move of the
// route, the engines of the new service got no order to load until the next
// step, and those of a second service never did.
TEST_P(MovedBatchDemand, IsToldToAllServicesOfTheRoute)
{
	const RouteCase &c = GetParam();
	BatchHost *host = add_host("a");
	bool is_split = std::string(c.before) == split_route;
	std::vector<std::string> told = { "s" };
	size_t before;

	host->configure(2, c.before);
	ASSERT_EQ(202, host->submit(step_of(3, 10)));
	wait_for(is_split ? 2 : 1);
	if (is_split)
		told = { "r", "s" };
	EXPECT_EQ(told, services_from(0));
	before = demands_.back()->seen.size();
	host->configure(3, c.after);
	if (!c.services.empty())
		wait_for(before + c.services.size());
	/* Batches are looked at ten times a second. */
	loop_.run_for(300);
	EXPECT_EQ(c.services, services_from(before));
	for (size_t i = before; i < demands_.back()->seen.size(); i++) {
		EXPECT_EQ(3u, demands_.back()->seen[i].min_version);
		EXPECT_EQ(c.items, demands_.back()->seen[i].items);
	}
}

INSTANTIATE_TEST_SUITE_P(Routes, MovedBatchDemand,
			 ::testing::ValuesIn(route_cases), route_name);

// The holder of the duties forgets a need after 30 s, but a step may last
// longer. When its engine was lost, no other one got the order to load.
TEST_F(BatchDemand, IsToldAgainWhileABatchIsOpen)
{
	BatchHost *host = add_host("a");

	ASSERT_EQ(202, host->submit(step_of(3, 10)));
	wait_for(1);
	demands_.back()->named["m"] = 4;
	ASSERT_TRUE(loop_.run_until(
		[&] { return demands_.back()->seen.size() >= 2; }, 15000));
	EXPECT_EQ(3u, demands_.back()->seen.back().min_version);
	EXPECT_EQ(3u, demands_.back()->seen.back().named_version);
	EXPECT_EQ(20u, demands_.back()->seen.back().items);
}

// Guards against weights that are loaded at the service that a route had before
// the configuration under which the batch was accepted by another host.
TEST_F(BatchDemand, IsToldByTheConfigurationOfTheAcceptance)
{
	const char moved[] = R"(,"service":"r")";
	BatchHost *owner = add_host("a");
	DemandLog *told = demands_.back().get();
	BatchHost *acceptor;
	struct batch_partition *in;

	ASSERT_EQ(202, owner->submit(step_of(1, 2)));
	wait_for(1);
	EXPECT_EQ(200, owner->end("v1"));
	acceptor = add_host("b");
	acceptor->configure(2, moved);
	ASSERT_EQ(202, acceptor->submit(step_of(3, 10)));
	ASSERT_TRUE(loop_.run_until(
		[&] { return batch_set_find(&owner->set, "v3", &in); }));
	loop_.run_for(300);
	EXPECT_EQ(1u, told->seen.size());
	owner->configure(2, moved);
	ASSERT_TRUE(loop_.run_until([&] { return told->seen.size() > 1; }));
	EXPECT_EQ("r", told->seen[1].service);
	EXPECT_EQ(3u, told->seen[1].min_version);
	EXPECT_EQ(20u, told->seen[1].items);
}
