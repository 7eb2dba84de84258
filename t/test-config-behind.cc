// A host that has read of a batch under a newer configuration than its own: the
// route, key or reward route that it doesn't know may exist.
#include <gtest/gtest.h>

#include <string>

#include "lib-batches.h"

namespace
{

Submission named(const std::string &id)
{
	Submission submission;

	submission.id = id;
	return submission;
}

// Each returns the status of a request of which host `a` does not know what it
// needs, and an older configuration did not have either.
int submit_again(BatchHost *host)
{
	return host->submit(named("batch1"));
}

int submit_other(BatchHost *host)
{
	return host->submit(named("batch2"));
}

int end_with_new_key(BatchHost *host)
{
	return host->end("batch1", "k3");
}

int submit_with_new_scorer(BatchHost *host)
{
	Submission submission = named("batch3");

	submission.scorer = "/score/x";
	return host->submit(submission);
}

struct BehindCase {
	const char *name;
	int (*ask)(BatchHost *host);
	bool has_route; // before the newest configuration
	int denied; // by a host that is not behind
	int served; // by one that has the newest configuration
	const char *key; // of the batch that the other host accepts
};

const BehindCase behind_cases[] = {
	{ "RouteOfAKnownBatch", submit_again, false, 404, 202, "k1" },
	{ "RouteOfAnotherBatch", submit_other, false, 404, 202, "k1" },
	{ "Key", end_with_new_key, true, 401, 200, "k3" },
	{ "RewardRoute", submit_with_new_scorer, true, 404, 202, "k1" },
};

class ConfigBehind : public Batches,
		     public ::testing::WithParamInterface<BehindCase>
{
      protected:
	static void configure_newest(BatchHost *host)
	{
		host->more_teams = R"(,{"name":"red2","api_keys":["k3"]})";
		host->configure(3);
	}
};

std::string behind_name(const ::testing::TestParamInfo<BehindCase> &info)
{
	return info.param.name;
}

} // namespace

// Guards against final denials (callers don't ask again after 401 and 404) of
// what a host would know if it had read the configuration under which, as the
// log shows, another host has accepted a batch.
TEST_P(ConfigBehind, DeniesNothingForGood)
{
	const BehindCase &c = GetParam();
	BatchHost *host = add_host("a");
	BatchHost *other = add_host("b");
	Submission submission = named("batch1");
	struct batch_partition *in;

	submission.key = c.key;
	host->configure(2, "", c.has_route, "");
	EXPECT_EQ(c.denied, c.ask(host)) << "before a newer version is known";
	configure_newest(other);
	ASSERT_EQ(202, other->submit(submission));
	for (uint32_t i = 0; i < host->set.count; i++)
		topic_follower_watch_ref(&host->set.partitions[i].follower);
	ASSERT_TRUE(loop_.run_until(
		[&] { return batch_set_find(&host->set, "batch1", &in); }));
	EXPECT_EQ(503, c.ask(host));
	/* All that the store holds was read, and not this version. */
	loop_.run_for(5);
	host->confirm_config();
	EXPECT_EQ(c.denied, c.ask(host));
	configure_newest(host);
	EXPECT_EQ(c.served, c.ask(host));
}

INSTANTIATE_TEST_SUITE_P(Of, ConfigBehind, ::testing::ValuesIn(behind_cases),
			 behind_name);
