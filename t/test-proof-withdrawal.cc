// Promise: a withdrawn key stops working within 2 s, also while the log is
// down. Twelve daemons of four data centres over TCP, none of which has a log.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

#include "t/lib-entry-host.h"
#include "t/lib-process.h"

typedef std::vector<std::unique_ptr<EntryHost>> Hosts;

static const int limit_ms = 2000;

static long denying(const Hosts &hosts, const std::string &key)
{
	return std::count_if(hosts.begin(), hosts.end(), [&](const auto &host) {
		return host->denies(key);
	});
}

/* Waits until so many deny the key; returns the time in ms, or -1. */
static long wait_for_denial(const Hosts &hosts, const std::string &key,
			    long count)
{
	auto start = std::chrono::steady_clock::now();

	if (!wait_until(limit_ms, [&] { return denying(hosts, key) >= count; }))
		return -1;
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now() - start)
		.count();
}

/* Waits until each has sent so many more heartbeats. */
static bool wait_for_beats(const Hosts &hosts, uint64_t more)
{
	std::vector<uint64_t> until;

	for (const auto &host : hosts)
		until.push_back(host->beats() + more);
	return wait_until(20000, [&] {
		for (size_t i = 0; i < hosts.size(); i++)
			if (hosts[i]->beats() < until[i])
				return false;
		return true;
	});
}

TEST(ProofWithdrawal, ReachesAllWithinTheLimitWithTheLogDown)
{
	Hosts hosts = start_hosts(12, 4);
	long longest = 0;

	ASSERT_TRUE(
		wait_until(20000, [&] { return all_hosts_connected(hosts); }));
	for (size_t i = 0; i < hosts.size(); i++) {
		std::string key = "k" + std::to_string(i);

		hosts[i]->deny(key, "c" + std::to_string(i));
		long took_ms = wait_for_denial(hosts, key, 12);
		ASSERT_GE(took_ms, 0) << "taken by " << hosts[i]->name;
		longest = std::max(longest, took_ms);
	}
	printf("12 withdrawals at 12 daemons: the slowest took %ld ms\n",
	       longest);
}

/* The daemon that took it and one more of each data centre die at once. */
TEST(ProofWithdrawal, OutlivesTheDaemonThatTookIt)
{
	Hosts hosts = start_hosts(12, 4);

	ASSERT_TRUE(
		wait_until(20000, [&] { return all_hosts_connected(hosts); }));
	hosts[0]->deny("k", "c");
	ASSERT_TRUE(
		wait_until(limit_ms, [&] { return denying(hosts, "k") >= 2; }));
	hosts.erase(hosts.begin(), hosts.begin() + 4);
	EXPECT_GE(wait_for_denial(hosts, "k", 8), 0);
}

/*
 * One daemon is cut off from all others and the log. It cannot learn of the
 * withdrawal, so it has to stop; once it is back it has to learn of it
 * before it serves again.
 */
TEST(ProofWithdrawal, ADaemonThatIsCutOffStopsUntilItKnows)
{
	Hosts hosts = start_hosts(12, 4);
	EntryHost &lone = *hosts[5];

	ASSERT_TRUE(
		wait_until(20000, [&] { return all_hosts_connected(hosts); }));
	__atomic_store_n(&lone.cut, true, __ATOMIC_RELEASE);
	EXPECT_TRUE(wait_until(limit_ms, [&] {
		return !isolation_serves_keyed(lone.isolation());
	}));
	hosts[0]->deny("k", "c");
	EXPECT_GE(wait_for_denial(hosts, "k", 11), 0);
	EXPECT_FALSE(lone.denies("k"));
	__atomic_store_n(&lone.cut, false, __ATOMIC_RELEASE);
	EXPECT_TRUE(wait_until(limit_ms, [&] { return lone.denies("k"); }));
}

/* Switched off: a daemon that hears of a denial keeps it to itself. */
TEST(ProofWithdrawal, WithoutBeingSentOnItStaysWhereItIs)
{
	Hosts hosts = start_hosts(12, 4);

	ASSERT_TRUE(
		wait_until(20000, [&] { return all_hosts_connected(hosts); }));
	for (size_t i = 1; i < hosts.size(); i++)
		__atomic_store_n(&hosts[i]->sends_on, false, __ATOMIC_RELEASE);
	hosts[0]->deny("k", "c");
	ASSERT_TRUE(wait_for_beats(hosts, limit_ms * NS_PER_MS /
						  EntryHost::heartbeat_ns));
	EXPECT_LT(denying(hosts, "k"), 12);
}
