// Tests the lease decisions, the lease keeper on a faulty log service, and the
// send guard.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include "t/lib-daemon.h"

extern "C" {
#include "lease/lease.h"
#include "lease/lease_keeper.h"
#include "client/send_guard.h"
}

namespace
{

const int64_t S = NS_PER_S;

// A lease of 10 s, orders of up to 1 s, and no drift or margin, so that the
// expected times are whole seconds.
struct lease_timing round_timing()
{
	struct lease_timing timing;

	lease_timing_init(&timing, 10 * S);
	timing.drift_ppm = 0;
	timing.longest_order_ns = 1 * S;
	timing.margin_ns = 0;
	return timing;
}

struct lease lease_of(const char *holder, uint64_t incarnation,
		      uint64_t position)
{
	struct lease lease = {};

	strcpy(lease.name, "orders/x");
	strcpy(lease.holder, holder);
	lease.holder_incarnation = incarnation;
	lease.position = position;
	lease.duration_ms = 10000;
	return lease;
}

// A daemon with a lease keeper; the test advances its clock.
struct Claimant {
	Claimant(FakeLog *log, const std::string &name, uint64_t incarnation)
	    : daemon(log, name, incarnation)
	{
		struct lease_timing timing = round_timing();
		struct log_part part = { nullptr, "lease" };

		timer_service_init(&timers, &daemon.clock.base);
		lease_keeper_init(&keeper, &daemon.client, &daemon.clock.base,
				  &timers, &timing, &part);
	}
	~Claimant()
	{
		lease_keeper_finish(&keeper);
		timer_service_finish(&timers);
	}
	void want()
	{
		lease_keeper_request(&keeper, "orders/x", 0, nullptr);
	}
	bool held()
	{
		return lease_keeper_held(&keeper, "orders/x",
					 daemon.clock.now_ns, &hold);
	}
	// Runs the daemon for `for_ns`, in steps of 500 ms.
	void run(int64_t for_ns, bool paused = false)
	{
		for (int64_t at = 0; at < for_ns; at += S / 2) {
			fake_clock_advance(&daemon.clock, S / 2);
			if (paused)
				continue;
			daemon.read();
			timer_service_run_due(&timers);
			daemon.append();
			daemon.read();
		}
	}

	Daemon daemon;
	struct timer_service timers;
	struct lease_keeper keeper;
	struct lease_hold hold = {};
};

} // namespace

TEST(Lease, HolderCountsFromBeforeTheSend)
{
	struct lease_timing timing = round_timing();
	struct lease_claimant claimant;
	struct lease lease = lease_of("a", 1, 4097);

	lease_claimant_init(&claimant, "a", 1, &timing);
	EXPECT_EQ(LEASE_WAIT, lease_claimant_decide(&claimant, 0));
	lease_claimant_observe(&claimant, nullptr, 0);
	EXPECT_EQ(LEASE_CLAIM, lease_claimant_decide(&claimant, 0));
	EXPECT_EQ(0u, lease_claimant_send(&claimant, 2 * S));
	EXPECT_EQ(LEASE_WAIT, lease_claimant_decide(&claimant, 9 * S));
	lease_claimant_applied(&claimant);
	lease_claimant_observe(&claimant, &lease, 9 * S);
	EXPECT_TRUE(lease_claimant_holds(&claimant, 12 * S - 1));
	EXPECT_FALSE(lease_claimant_holds(&claimant, 12 * S));
	EXPECT_EQ(LEASE_WAIT, lease_claimant_decide(&claimant, 5 * S));
	EXPECT_EQ(LEASE_CLAIM, lease_claimant_decide(&claimant, 6 * S));
}

TEST(Lease, RivalCountsFromAfterTheRead)
{
	const struct {
		const char *what;
		const char *holder;
		uint64_t incarnation;
		int64_t drift_ppm, margin_ns, extra_ns;
		int64_t claims_from_ns; // the claim was read at 20 s
	} cases[] = {
		{ "plain", "b", 1, 0, 0, 0, 31 * S },
		{ "drift", "b", 1, 1000, 0, 0, 31 * S + 21020021 },
		{ "margin", "b", 1, 0, S, 0, 32 * S },
		{ "spread", "b", 1, 0, 0, 5 * S, 36 * S },
		{ "own earlier incarnation", "a", 9, 0, 0, 0, 31 * S },
		{ "released", "", 0, 0, 0, 0, 20 * S },
		{ "released, spread", "", 0, 0, 0, 5 * S, 25 * S },
		{ "own, time of the send unknown", "a", 1, 0, 0, 0, 20 * S },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		struct lease_timing timing = round_timing();
		struct lease_claimant claimant;
		struct lease lease = lease_of(c.holder, c.incarnation, 4097);

		timing.drift_ppm = c.drift_ppm;
		timing.margin_ns = c.margin_ns;
		lease_claimant_init(&claimant, "a", 1, &timing);
		claimant.extra_wait_ns = c.extra_ns;
		lease_claimant_observe(&claimant, nullptr, 0);
		lease_claimant_observe(&claimant, &lease, 20 * S);
		EXPECT_FALSE(lease_claimant_holds(&claimant, 20 * S));
		EXPECT_EQ(LEASE_WAIT, lease_claimant_decide(
					      &claimant, c.claims_from_ns - 1));
		// Rounding up adds at most 2 ns, so that drift is never lost.
		EXPECT_EQ(
			LEASE_CLAIM,
			lease_claimant_decide(&claimant, c.claims_from_ns + 2));
	}
}

TEST(Lease, ALostAnswerCountsFromTheEarliestSend)
{
	const struct {
		const char *what;
		int first_may_take_effect;
		int64_t deadline_ns;
	} cases[] = {
		{ "the first may have taken effect", 1, 10 * S },
		{ "the first surely did not", 0, 13 * S },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		struct lease_timing timing = round_timing();
		struct lease_claimant claimant;
		struct lease lease = lease_of("a", 1, 4097);

		lease_claimant_init(&claimant, "a", 1, &timing);
		lease_claimant_observe(&claimant, nullptr, 0);
		lease_claimant_send(&claimant, 0);
		lease_claimant_abandon(&claimant, c.first_may_take_effect);
		EXPECT_EQ(LEASE_WAIT, lease_claimant_decide(&claimant, S / 2));
		EXPECT_EQ(LEASE_CLAIM, lease_claimant_decide(&claimant, 3 * S));
		lease_claimant_send(&claimant, 3 * S);
		lease_claimant_observe(&claimant, &lease, 4 * S);
		EXPECT_EQ(c.deadline_ns, claimant.deadline_ns);
	}
}

TEST(Lease, ClaimsThatTheLogLostAreWaitedFor)
{
	struct lease_timing timing = round_timing();
	struct lease_claimant claimant;
	struct lease lease = lease_of("b", 1, 4097);

	lease_claimant_init(&claimant, "a", 1, &timing);
	lease_claimant_observe(&claimant, &lease, 0);
	lease_claimant_observe(&claimant, nullptr, 5 * S);
	EXPECT_EQ(LEASE_WAIT, lease_claimant_decide(&claimant, 15 * S));
	EXPECT_EQ(LEASE_CLAIM, lease_claimant_decide(&claimant, 17 * S));
}

TEST(LeaseKeeper, TakeoversUnderFaults)
{
	const struct {
		const char *what;
		bool paused, cut, release, lose_answers;
		int64_t until_taken_ns; // maximum; 0: no takeover
		int64_t not_before_ns;
	} cases[] = {
		{ "holder goes on", false, false, false, false, 0, 0 },
		{ "holder goes on, answers lost", false, false, false, true, 0,
		  0 },
		{ "holder paused", true, false, false, false, 17 * S, 8 * S },
		{ "holder cut from the log", false, true, false, false, 17 * S,
		  8 * S },
		{ "holder releases", false, false, true, false, 3 * S, 0 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Claimant a(&log, "a", 1), b(&log, "b", 2);
		int64_t taken_ns = 0;

		a.want();
		a.run(2 * S);
		b.run(2 * S);
		ASSERT_TRUE(a.held());
		uint64_t epoch = a.hold.epoch;
		b.want();
		if (c.cut)
			a.daemon.port.set_down(true);
		if (c.release)
			lease_keeper_release_all(&a.keeper);
		for (int64_t at = 0; at < 40 * S && !taken_ns; at += S / 2) {
			if (c.lose_answers)
				a.daemon.port.lose_answers(1);
			a.run(S / 2, c.paused);
			b.run(S / 2);
			EXPECT_FALSE(a.held() && b.held());
			if (b.held())
				taken_ns = at + S / 2;
		}
		EXPECT_EQ(c.until_taken_ns > 0, taken_ns > 0);
		EXPECT_LE(taken_ns, c.until_taken_ns);
		EXPECT_GE(taken_ns, c.not_before_ns);
		if (taken_ns) {
			EXPECT_GT(b.hold.epoch, epoch);
			a.daemon.port.set_down(false);
			a.run(S);
			EXPECT_FALSE(a.held());
		} else {
			EXPECT_TRUE(a.held());
			EXPECT_EQ(epoch, a.hold.epoch);
		}
	}
}

TEST(LeaseKeeper, AGracefulStopReleasesAlsoWhileARenewalIsInFlight)
{
	for (bool renewing : { false, true }) {
		SCOPED_TRACE(renewing);
		FakeLog log;
		Claimant a(&log, "a", 1);
		std::string holder = "?";

		a.want();
		a.run(2 * S);
		ASSERT_TRUE(a.held());
		if (renewing) {
			fake_clock_advance(&a.daemon.clock, 4 * S);
			lease_keeper_tick(&a.keeper);
			ASSERT_EQ(1u, a.daemon.client.queue.count);
		}
		ASSERT_TRUE(a.daemon.start());
		lease_keeper_release_all(&a.keeper);
		EXPECT_FALSE(a.held());
		a.daemon.with_state([&](const struct state *state) {
			holder = state_lease(state, "orders/x")->holder;
		});
		EXPECT_EQ("", holder);
	}
}

TEST(SendGuard, CutsTheConnectionAtTheDeadline)
{
	const struct {
		const char *what;
		bool named_before; // socket set before the deadline
		bool ends_before; // order completed before the deadline
		int sent;
	} cases[] = {
		{ "open connection", true, false, -1 },
		{ "opened after the deadline", false, false, -1 },
		{ "ended in time", true, true, 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		struct send_guard guard;
		struct error err = ERROR_INIT;
		struct clock clock;
		int fds[2];

		system_clock_init(&clock);
		ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM, 0, fds));
		int64_t deadline_ns = clock_now_ns(&clock) + 20 * NS_PER_MS;
		ASSERT_EQ(0, send_guard_arm(&guard, deadline_ns, &err));
		EXPECT_EQ(0, send_guard_socket(&guard,
					       c.named_before ? fds[0] : -1));
		if (c.ends_before)
			send_guard_disarm(&guard);
		while (clock_now_ns(&clock) < deadline_ns + NS_PER_MS)
			;
		// The guard must report that it has expired or cut the socket.
		if (!c.named_before) {
			EXPECT_EQ(-1, send_guard_socket(&guard, fds[0]));
			EXPECT_TRUE(guard.expired);
		} else {
			EXPECT_EQ(c.sent, send(fds[0], "x", 1, MSG_NOSIGNAL));
		}
		if (!c.ends_before)
			send_guard_disarm(&guard);
		close(fds[0]);
		close(fds[1]);
	}
}
