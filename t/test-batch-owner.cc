// Owners of partitions before their first batch. A batch that a small host took
// waited until a larger one had found, once a second, that nobody runs its
// partition; the trainer's later steps came as much later.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "lib-batch-records.h"
#include "lib-batches.h"

extern "C" {
#include "policy/partition_owner.h"
}

namespace
{

// Less than the claimer's period between reads of a partition without owner.
const int64_t START_MAX_NS = 500 * NS_PER_MS;
// A host counts as dead after 2.5 s without notices; the rest is for reading.
const int64_t TAKEOVER_MS = 6000;

class BatchOwners : public Batches
{
      protected:
	struct batch_partition *partition_of(BatchHost *host,
					     const std::string &model = "m")
	{
		return batch_set_choose_partition(&host->set, model.c_str(),
						  "");
	}

	// The host that runs the partition of the model; NULL: none.
	BatchHost *owner(const std::string &model = "m")
	{
		for (auto &host : hosts_)
			if (batch_runner_has_partition(
				    &host->runner,
				    partition_of(host.get(), model)))
				return host.get();
		return nullptr;
	}

	bool wait_owner()
	{
		return loop_.run_until([&] { return owner() != nullptr; },
				       TAKEOVER_MS);
	}

	// Time from the answer to the submission until all items run.
	int64_t start_ns(BatchHost *host, const Submission &submission)
	{
		int64_t from_ns;
		size_t seen = engines_[0]->seen.size();

		EXPECT_EQ(202, host->submit(submission));
		from_ns = reactor_now_ns(&loop_.reactor);
		EXPECT_TRUE(loop_.run_until(
			[&] { return engines_[0]->seen.size() >= seen + 4; }));
		return reactor_now_ns(&loop_.reactor) - from_ns;
	}
};

} // namespace

// Whichever hosts there are, a larger one runs the partition when the first
// batch comes to a small one.
TEST_F(BatchOwners, AreThereBeforeTheFirstBatch)
{
	BatchHost *small = add_host("small", 1, 120);
	BatchHost *large = add_host("large", 1, 500);

	add_host("another", 1, 120);
	add_engine("e", stream_reply(4));
	ASSERT_TRUE(wait_owner());
	EXPECT_EQ(large, owner());
	EXPECT_LT(start_ns(small, Submission()), START_MAX_NS);
	EXPECT_EQ(large, owner());
}

// A small host is ready some time before a larger one that starts with it.
TEST_F(BatchOwners, AreLargeThoughASmallHostIsReadyFirst)
{
	BatchHost *large;

	add_host("small", 1, 120);
	loop_.run_for(1500);
	large = add_host("large", 1, 500);
	ASSERT_TRUE(wait_owner());
	EXPECT_EQ(large, owner());
}

// The owner is lost while no batch is open.
TEST_F(BatchOwners, AreReplacedWhileNoBatchIsOpen)
{
	BatchHost *small = add_host("small", 1, 120);
	BatchHost *owned_first;

	add_host("a");
	add_host("b");
	add_engine("e", stream_reply(4));
	ASSERT_TRUE(wait_owner());
	owned_first = owner();
	ASSERT_NE(small, owned_first);
	kill(owned_first);
	ASSERT_EQ(nullptr, owner());
	ASSERT_TRUE(wait_owner());
	EXPECT_NE(small, owner());
	EXPECT_LT(start_ns(small, Submission()), START_MAX_NS);
}

// Where no larger host is left, a small one runs the partition.
TEST_F(BatchOwners, AreSmallHostsWhereThereIsNoOther)
{
	BatchHost *small = add_host("small", 1, 120);

	kill(add_host("large", 1, 500));
	add_engine("e", stream_reply(4));
	ASSERT_TRUE(wait_owner());
	EXPECT_EQ(small, owner());
}

// The claim's answer is lost: the partition still has one owner.
TEST_F(BatchOwners, HaveOneThoughAClaimIsNotAnswered)
{
	int appends = 0;

	topics_.faults = [&](const std::string &kind,
			     const std::string &topic) {
		return kind == "append" && topic == "batch" && !appends++
			       ? Fault::LOST
			       : Fault::NONE;
	};
	add_host("a");
	add_host("b");
	add_engine("e", stream_reply(4));
	ASSERT_TRUE(wait_owner());
	loop_.run_for(1500);
	int owners = 0;

	for (auto &host : hosts_)
		owners += batch_runner_has_partition(&host->runner,
						     partition_of(host.get()));
	EXPECT_EQ(1, owners);
	EXPECT_GE(appends, 1);
}

// Partitions of models that aren't configured have none until a batch comes.
TEST_F(BatchOwners, AreThereForConfiguredModelsAlone)
{
	add_host("a");
	ASSERT_TRUE(wait_owner());
	loop_.run_for(1500);
	for (uint32_t i = 0; i < hosts_[0]->set.count; i++) {
		struct batch_partition *partition =
			&hosts_[0]->set.partitions[i];

		EXPECT_EQ(partition == partition_of(hosts_[0].get()),
			  batch_runner_has_partition(&hosts_[0]->runner,
						     partition) != 0)
			<< i;
	}
}

// Guards against items that nobody runs: an owner was frozen, another one took
// the partition over and was killed, and the host that ranks first has read
// neither claim of the second one. The first owner lives and has read them.
TEST_F(BatchOwners, AreFoundThoughAnEarlierOneLives)
{
	BatchHost *earlier = add_host("earlier", 1, 120);
	Submission submission;
	ReadAnswer answer;
	BatchHost *first;

	ASSERT_TRUE(wait_owner());
	ASSERT_EQ(202, earlier->submit(submission));
	first = add_host("first", 1, 500);
	EXPECT_EQ(200, first->read(submission.id).status);
	topics_.append("batch", partition_of(first)->number,
		       claim_record("gone", partition_of(first)->table.claim));
	ASSERT_TRUE(loop_.run_until([&] { return owner() == nullptr; }));
	add_engine("e", stream_reply(4));
	ASSERT_TRUE(
		loop_.run_until([&] { return owner() == first; }, TAKEOVER_MS));
	ASSERT_TRUE(first->read_all(submission, &answer));
	expect_complete(submission, answer, 4);
}

TEST(PartitionOwner, LeavesOutHostsWithLittleProcessor)
{
	const struct {
		const char *name;
		std::vector<uint32_t> cpu_milli;
		std::vector<int> takes_calls, left;
	} cases[] = {
		{ "alike", { 120, 120 }, { 1, 1 }, { 1, 1 } },
		{ "half is enough", { 250, 500 }, { 1, 1 }, { 1, 1 } },
		{ "a small one", { 120, 500 }, { 1, 1 }, { 0, 1 } },
		{ "the large one is gone", { 120, 500 }, { 1, 0 }, { 1, 0 } },
		{ "none", {}, {}, {} },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		std::vector<struct owner_candidate> hosts;

		for (size_t i = 0; i < c.left.size(); i++)
			hosts.push_back(
				{ "h", c.cpu_milli[i], c.takes_calls[i] });
		partition_owner_drop_weak(hosts.data(), (uint32_t)hosts.size());
		for (size_t i = 0; i < c.left.size(); i++)
			EXPECT_EQ(c.left[i], hosts[i].takes_calls) << i;
	}
}
