// Exhaustive search over the faults that the holders of a duty may suffer,
// using the decision functions of the daemons. On a platform that checks no
// fencing number, no call of a former holder may arrive after one of its
// successor, and no holder may act, then another one, and then the first again
// within the lease.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "policy/duty_term.h"
}

namespace
{

const int64_t tick_ns = 100 * NS_PER_MS;
const int horizon = 60; // ticks
const size_t log_max = 24; // claims on one path
const int host_count = 3;
// Maximum latency of a call.
const int64_t call_ns = 400 * NS_PER_MS;
const uint32_t lease_ms = 3000;

// Faults of one host at one tick.
enum Fault {
	CLAIM_LOST, // its next claim is stored, but not acknowledged
	CLAIM_LATE, // its next claim is stored a second later, if valid
	READS_LATE, // from now on, for a second, it reads the log a second late
	CUT_OFF, // it reaches only the platform, not the log, for two seconds
	FROZEN, // for two seconds
	KILLED, // it restarts at once, without its state
	RELEASES, // it releases the duty if it holds it
	FAULT_COUNT
};

// The contents of struct duty_view, with hosts by number: small, because the
// search copies the world for each state.
struct View {
	int holder; // -1: none
	int64_t duration_ns;
	int64_t read_ns;
	std::array<int64_t, host_count> rest_until_ns; // 0: none
};

struct Claim {
	View content; // read_ns: when it was sent
	int fence;
	int writer, incarnation;
};

struct Host {
	View view;
	int fence; // of the newest claim that it read
	int holder_incarnation;
	int incarnation; // of its process
	int64_t held_until_ns;
	int64_t sent_ns; // of its last claim
	int64_t frozen_until_ns, late_until_ns, cut_until_ns;
	int pending; // fault of its next claim; FAULT_COUNT: none
	int log_read; // number of claims
};

struct LateClaim {
	Claim claim;
	int64_t at_ns;
	int expected; // length of the log
	bool is_set;
};

struct World {
	int64_t now_ns;
	std::array<Host, host_count> hosts;
	std::array<Claim, log_max> log;
	std::array<int64_t, log_max> log_ns; // when each claim was stored
	int log_count;
	LateClaim late;
	// Actions that the platform may have seen.
	int last_fence;
	int last_actor, actor_before;
	std::array<int64_t, host_count> acted_ns;
	std::array<int64_t, log_max> fence_acted_ns; // by fence
};

std::string name_of(int host)
{
	return std::string(1, (char)('a' + host));
}

void write_name(int host, char *out)
{
	out[0] = host < 0 ? '\0' : (char)('a' + host);
	out[1] = '\0';
}

struct duty_view to_duty_view(const View &view)
{
	struct duty_view out;

	write_name(view.holder, out.holder);
	out.duration_ns = view.duration_ns;
	out.read_ns = view.read_ns;
	duty_rests_clear(&out.rests);
	for (int host = 0; host < host_count; host++) {
		struct duty_rest *rest = &out.rests.list[out.rests.count];

		if (!view.rest_until_ns[(size_t)host])
			continue;
		write_name(host, rest->host);
		rest->until_ns = view.rest_until_ns[(size_t)host];
		out.rests.count++;
	}
	return out;
}

void copy_rests(const struct duty_view &from, View *view)
{
	view->rest_until_ns.fill(0);
	for (uint32_t i = 0; i < from.rests.count; i++)
		view->rest_until_ns[(size_t)(from.rests.list[i].host[0] -
					     'a')] =
			from.rests.list[i].until_ns;
}

// Depth-first search, with a given number of faults on each path.
class Search
{
      public:
	explicit Search(int64_t margin_ns) : margin_ns_(margin_ns)
	{
		duty_term_init(&term_, lease_ms);
	}

	void run(int faults)
	{
		World world = {};

		for (Host &host : world.hosts) {
			host.pending = FAULT_COUNT;
			host.fence = host.view.holder = -1;
		}
		world.last_fence = world.last_actor = world.actor_before = -1;
		for (int64_t &at : world.fence_acted_ns)
			at = -1;
		for (int64_t &at : world.acted_ns)
			at = -1;
		explore(world, faults, 0);
	}

	uint64_t states = 0;
	int deepest = 0;
	std::vector<std::string> violations;
	uint64_t changes = 0; // of the holder, on all paths

      private:
	void explore(const World &from, int faults, int depth)
	{
		if (depth == horizon || violations.size() > 3)
			return;
		states++;
		deepest = std::max(deepest, depth);
		if (faults)
			for (int host = 0; host < host_count; host++)
				for (int t = 0; t < FAULT_COUNT; t++) {
					if (has_no_effect(from, host, t))
						continue;
					World next = from;

					path_.push_back({ depth, host, t });
					inject(next, host, t);
					step(next);
					explore(next, faults - 1, depth + 1);
					path_.pop_back();
				}
		World next = from;

		step(next);
		explore(next, faults, depth + 1);
	}

	bool holds(const World &world, const Host &host) const
	{
		return host.held_until_ns > world.now_ns;
	}

	// Faults that have no effect in the host's current state.
	bool has_no_effect(const World &world, int at, int fault) const
	{
		const Host &host = world.hosts[(size_t)at];

		if (world.now_ns < host.frozen_until_ns)
			return true;
		if (fault == RELEASES)
			return !holds(world, host);
		if (fault == CLAIM_LOST || fault == CLAIM_LATE)
			return host.pending != FAULT_COUNT;
		return false;
	}

	void inject(World &world, int at, int fault)
	{
		Host &host = world.hosts[(size_t)at];

		switch (fault) {
		case CLAIM_LOST:
		case CLAIM_LATE:
			host.pending = fault;
			break;
		case READS_LATE:
			host.late_until_ns = world.now_ns + 10 * tick_ns;
			break;
		case CUT_OFF:
			host.cut_until_ns = world.now_ns + 20 * tick_ns;
			break;
		case FROZEN:
			host.frozen_until_ns = world.now_ns + 20 * tick_ns;
			break;
		case KILLED: {
			int incarnation = host.incarnation + 1;

			host = {};
			host.incarnation = incarnation;
			host.fence = host.view.holder = -1;
			host.pending = FAULT_COUNT;
			host.view.read_ns = world.now_ns;
			break;
		}
		default: {
			struct duty_view view = to_duty_view(host.view);

			host.held_until_ns = 0;
			/*
			 * Its calls end with the release
			 * (duty_lease_release()).
			 */
			world.fence_acted_ns[(size_t)host.fence] -= call_ns;
			duty_view_add_own_rest(&view, &term_,
					       name_of(at).c_str(),
					       world.now_ns);
			copy_rests(view, &host.view);
			send(world, at, true);
			break;
		}
		}
	}

	void append(World &world, const Claim &claim)
	{
		ASSERT_LT(world.log_count, (int)world.log.size());
		world.log[(size_t)world.log_count] = claim;
		world.log_ns[(size_t)world.log_count++] = world.now_ns;
	}

	void send(World &world, int at, bool release)
	{
		Host &host = world.hosts[(size_t)at];
		bool is_new = host.fence < 0 || !names_self(host, at);
		Claim claim = {};
		int fault = host.pending;

		if (!release) {
			struct duty_view view = to_duty_view(host.view);

			duty_view_add_holder_rest(&view, &term_,
						  name_of(at).c_str(),
						  world.now_ns);
			copy_rests(view, &host.view);
		}
		claim.content = host.view;
		claim.content.read_ns = world.now_ns;
		claim.content.duration_ns = term_.duration_ns;
		claim.content.holder = release ? -1 : at;
		claim.fence = is_new ? world.log_count : host.fence;
		claim.writer = at;
		claim.incarnation = host.incarnation;
		host.sent_ns = world.now_ns;
		host.pending = FAULT_COUNT;
		if (host.log_read != world.log_count ||
		    world.now_ns < host.cut_until_ns)
			return;
		if (fault == CLAIM_LATE) {
			world.late = { claim, world.now_ns + 10 * tick_ns,
				       world.log_count, true };
			return;
		}
		append(world, claim);
		if (fault != CLAIM_LOST && !release)
			apply_claim(world, at, claim);
	}

	bool names_self(const Host &host, int at) const
	{
		return host.view.holder == at &&
		       host.holder_incarnation == host.incarnation;
	}

	// The host has read the claim, or its claim was acknowledged.
	void apply_claim(World &world, int at, const Claim &claim)
	{
		Host &host = world.hosts[(size_t)at];
		View view = claim.content;

		view.read_ns = world.now_ns;
		for (int64_t &until_ns : view.rest_until_ns)
			if (until_ns)
				until_ns +=
					world.now_ns - claim.content.read_ns;
		host.view = view;
		host.fence = claim.fence;
		host.holder_incarnation = claim.incarnation;
		if (names_self(host, at))
			host.held_until_ns = std::max(
				host.held_until_ns,
				duty_term_held_until(&term_,
						     claim.content.read_ns));
		else
			host.held_until_ns = 0;
	}

	void read(World &world, int at)
	{
		Host &host = world.hosts[(size_t)at];
		int64_t until_ns = world.now_ns;

		if (world.now_ns < host.cut_until_ns)
			return;
		if (world.now_ns < host.late_until_ns)
			until_ns -= 10 * tick_ns;
		while (host.log_read < world.log_count &&
		       world.log_ns[(size_t)host.log_read] <= until_ns)
			apply_claim(world, at,
				    world.log[(size_t)host.log_read++]);
	}

	void act(World &world, int at)
	{
		Host &host = world.hosts[(size_t)at];
		size_t fence = (size_t)host.fence;

		if (world.last_actor != at) {
			changes++;
			if (world.acted_ns[(size_t)at] >= 0 &&
			    world.now_ns - world.acted_ns[(size_t)at] <
				    lease_ms * NS_PER_MS)
				report(world, at, "turns within the lease");
		}
		for (size_t f = 0; f < world.fence_acted_ns.size(); f++) {
			int64_t acted_ns = world.fence_acted_ns[f];

			if (acted_ns < 0 || f == fence)
				continue;
			if (f > fence)
				report(world, at, "a lower fence");
			else if (world.now_ns - acted_ns < call_ns)
				report(world, at, "an older call may come");
		}
		world.last_actor = at;
		world.acted_ns[(size_t)at] = world.now_ns;
		world.fence_acted_ns[fence] = world.now_ns;
	}

	void report(const World &world, int at, const std::string &what)
	{
		std::string text = what + ": " + name_of(at) + " at tick " +
				   std::to_string(world.now_ns / tick_ns) +
				   " after";

		for (const auto &w : path_)
			text += " (tick " + std::to_string(w[0]) + ", " +
				name_of(w[1]) + ", trouble " +
				std::to_string(w[2]) + ")";
		violations.push_back(text);
	}

	int64_t claim_at_ns(const Host &host, int at) const
	{
		struct duty_view view = to_duty_view(host.view);

		return duty_view_claim_at(&view, name_of(at).c_str()) -
		       margin_ns_;
	}

	void step_host(World &world, int at)
	{
		Host &host = world.hosts[(size_t)at];

		if (world.now_ns < host.frozen_until_ns)
			return;
		read(world, at);
		if (holds(world, host)) {
			act(world, at);
			if (world.now_ns - host.sent_ns >= term_.renew_ns)
				send(world, at, false);
			return;
		}
		if (host.log_read != world.log_count ||
		    world.now_ns < host.cut_until_ns)
			return;
		if (!names_self(host, at) &&
		    world.now_ns < claim_at_ns(host, at))
			return;
		if (!host.sent_ns ||
		    world.now_ns - host.sent_ns >= term_.renew_ns)
			send(world, at, false);
	}

	void step(World &world)
	{
		world.now_ns += tick_ns;
		if (world.late.is_set && world.now_ns >= world.late.at_ns) {
			if (world.late.expected == world.log_count)
				append(world, world.late.claim);
			world.late.is_set = false;
		}
		for (int at = 0; at < host_count; at++)
			step_host(world, at);
	}

	struct duty_term term_;
	int64_t margin_ns_; // injected fault: other hosts claim this early
	std::vector<std::array<int, 3>> path_;
};

} // namespace

TEST(ProofDutyTerm, NoTwoTroublesLetHoldersOverlapOrTakeTurns)
{
	Search search(0);

	search.run(2);
	for (const std::string &v : search.violations)
		ADD_FAILURE() << v;
	RecordProperty("states", std::to_string(search.states));
	RecordProperty("deepest", search.deepest);
	EXPECT_EQ(horizon - 1, search.deepest);
	EXPECT_GT(search.states, 1000000u);
	EXPECT_GT(search.changes, 10000u) << "the duty hardly changed hands";
}

// The search detects a claim that does not wait for calls in flight.
TEST(ProofDutyTerm, APlantedFaultIsFound)
{
	Search search(400 * NS_PER_MS);

	search.run(1);
	EXPECT_FALSE(search.violations.empty());
}
