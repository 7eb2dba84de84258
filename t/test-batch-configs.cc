// Batches that are run by a host whose configuration is older than the one
// under which another host accepted them.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

namespace
{

// Batches are looked at ten times a second.
const int64_t WATCHED_MS = 300;

// An owner of the partition that has not read the newest configuration, and a
// host that has.
class BatchConfigs : public Batches
{
      protected:
	void SetUp() override
	{
		owner_ = add_host("owner", 1, 500);
		acceptor_ = add_host("acceptor", 1, 120);
		ASSERT_TRUE(
			loop_.run_until([&] { return owns(owner_); }, 6000));
	}

	static bool owns(BatchHost *host)
	{
		return batch_runner_has_partition(
			&host->runner,
			batch_set_choose_partition(&host->set, "m", ""));
	}

	// Until the owner has read the submission and looked at it.
	void wait_watched(const Submission &submission)
	{
		ASSERT_TRUE(loop_.run_until([&] {
			struct batch_partition *in;

			return batch_set_find(&owner_->set,
					      submission.id.c_str(),
					      &in) != nullptr;
		}));
		loop_.run_for(WATCHED_MS);
	}

	static void expect_given_up(const Submission &submission,
				    const ReadAnswer &answer)
	{
		EXPECT_EQ((size_t)submission.items(), answer.results.size());
		for (const ReadResult &result : answer.results) {
			EXPECT_EQ("dead_letter", result.state);
			EXPECT_EQ("", result.text);
		}
	}

	BatchHost *owner_;
	BatchHost *acceptor_;
};

struct AwaitedCase {
	const char *name;
	// What ends the wait of the owner.
	void (*happens)(BatchHost *owner);
	bool complete; // the items run
	const char *extra; // added to the route's object, as JSON
};

void read_it(BatchHost *owner)
{
	owner->configure(3);
}

void read_newer(BatchHost *owner)
{
	owner->configure(9, ",\"goal_ms\":200");
}

void read_without_route(BatchHost *owner)
{
	owner->configure(4, "", false);
}

// The records were read to their end, and the version could not be decoded.
void read_to_end(BatchHost *owner)
{
	owner->confirm_config();
}

void read_nothing(BatchHost *)
{
}

const char short_retention[] = ",\"retention_s\":3";

const AwaitedCase awaited_cases[] = {
	{ "TheSameVersionIsRead", read_it, true, "" },
	{ "ANewerVersionIsRead", read_newer, true, "" },
	{ "TheRouteWasRemovedMeanwhile", read_without_route, false, "" },
	{ "TheVersionCannotBeDecoded", read_to_end, false, "" },
	{ "TheRetentionPeriodEnds", read_nothing, false, short_retention },
};

class AwaitedConfig : public BatchConfigs,
		      public ::testing::WithParamInterface<AwaitedCase>
{
};

std::string awaited_name(const ::testing::TestParamInfo<AwaitedCase> &info)
{
	return info.param.name;
}

} // namespace

// Guards against accepted batches that are listed as dead_letter because the
// host that runs them has not read yet that their route was added.
TEST_P(AwaitedConfig, GivesUpNoItemBefore)
{
	const AwaitedCase &c = GetParam();
	Submission submission;
	ReadAnswer answer;

	add_engine("e", stream_reply(4));
	owner_->configure(2, "", false);
	acceptor_->configure(3, c.extra);
	ASSERT_EQ(202, acceptor_->submit(submission));
	wait_watched(submission);
	EXPECT_EQ(0u, acceptor_->read(submission.id).results.size());
	EXPECT_EQ(0u, engines_[0]->seen.size());
	c.happens(owner_);
	ASSERT_TRUE(acceptor_->read_all(submission, &answer));
	if (c.complete)
		expect_complete(submission, answer, 4);
	else
		expect_given_up(submission, answer);
}

INSTANTIATE_TEST_SUITE_P(Until, AwaitedConfig,
			 ::testing::ValuesIn(awaited_cases), awaited_name);

namespace
{

struct SentCase {
	const char *name;
	const char *extra; // added to the route's object, as JSON
	size_t at_new; // items at the new service, of 40
};

// Of the split, a fixed share that the items' ids decide.
const SentCase sent_cases[] = {
	{ "Moved", R"(,"service":"r")", 40 },
	{ "Split",
	  R"(,"split":[{"service":"s","weight":1},{"service":"r","weight":1}])",
	  20 },
};

class SentByAwaitedConfig : public BatchConfigs,
			    public ::testing::WithParamInterface<SentCase>
{
};

std::string sent_name(const ::testing::TestParamInfo<SentCase> &info)
{
	return info.param.name;
}

} // namespace

// Guards against items that run at the service that their route had before the
// configuration under which their batch was accepted.
TEST_P(SentByAwaitedConfig, GoToTheServicesOfTheAcceptance)
{
	const SentCase &c = GetParam();
	Submission submission;
	ReadAnswer answer;

	submission.groups = 20;
	add_engine("before", stream_reply(4), 1, 64);
	add_engine("after", stream_reply(4), 1, 64);
	engines_[1]->join(&owner_->fleet, "r", "m", 1, false, 64);
	acceptor_->configure(2, c.extra);
	ASSERT_EQ(202, acceptor_->submit(submission));
	wait_watched(submission);
	EXPECT_EQ(0u, engines_[0]->seen.size());
	EXPECT_EQ(0u, engines_[1]->seen.size());
	owner_->configure(2, c.extra);
	ASSERT_TRUE(acceptor_->read_all(submission, &answer));
	expect_complete(submission, answer, 4);
	EXPECT_EQ(40u, engines_[0]->seen.size() + engines_[1]->seen.size());
	EXPECT_NEAR((double)c.at_new, (double)engines_[1]->seen.size(),
		    c.at_new == 40 ? 0 : 10);
}

INSTANTIATE_TEST_SUITE_P(Route, SentByAwaitedConfig,
			 ::testing::ValuesIn(sent_cases), sent_name);
