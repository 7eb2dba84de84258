// Guards against backend server orders from two processes that both consider
// themselves the lease holder. Three daemon processes order through their HTTP
// adapter; the orders recorded by the receiver are checked. There is no seed:
// faults are injected at events.
#include <gtest/gtest.h>

#include <jansson.h>

#include <thread>

#include "t/lib-clock.h"
#include "t/lib-gate.h"
#include "t/lib-system.h"

extern "C" {
#include "base/clock.h"
}

static const int limit_ms = 20000;
static const int64_t lease_ms = 800;
static const int64_t longest_order_ms = 2000; // lease_timing_init()
static const int64_t round_ns = NS_PER_S; // of the order loop
static const char *const lease = "orders/bergen-a";

struct Received {
	int64_t at_ns; // CLOCK_BOOTTIME
	uint64_t epoch;
	uint64_t sequence;
};

// A platform that discards all orders, so that each round orders again.
class Platform : public Standin
{
      public:
	explicit Platform(bool checks_fencing)
	    : Standin("orders",
		      { "--checks-fencing", checks_fencing ? "1" : "0" })
	{
		release_reads();
	}

	void hold_reads()
	{
		faults("{\"forget\": true, \"hold_reads\": true}");
	}

	void release_reads()
	{
		faults("{\"forget\": true}");
	}

	bool reads_held()
	{
		return http_get(address(), "/standin/reads")
			       .body.find("\"held\":0") == std::string::npos;
	}

	// Executes orders, and waits until another read has begun.
	void wait_for_read()
	{
		faults("{\"hold_reads\": true}");
		EXPECT_TRUE(::wait_until(limit_ms,
					 [this] { return reads_held(); }));
		faults("{}");
	}

	// Evicts all cheap servers.
	void evict_cheap()
	{
		faults("{}");
		http_post(address(), "/standin/available", "{\"bergen-a\": 0}");
	}

	bool got_class(const char *name)
	{
		return http_get(address(), "/standin/received")
			       .body.find(std::string("\"class\":\"") + name) !=
		       std::string::npos;
	}

	// All orders in the order of receipt, including rejected ones.
	std::vector<Received> received()
	{
		std::string body =
			http_get(address(), "/standin/received").body;
		json_t *rows = json_loads(body.c_str(), 0, nullptr);
		std::vector<Received> result;
		size_t i;
		json_t *row;

		json_array_foreach (rows, i, row) {
			json_t *order = json_object_get(row, "order");

			result.push_back(
				{ number(row, "at_ns"),
				  (uint64_t)number(order, "epoch"),
				  (uint64_t)number(order, "sequence") });
		}
		json_decref(rows);
		return result;
	}

	// Returns the number of orders of a later epoch than this one.
	int count_after_epoch(uint64_t epoch)
	{
		int count = 0;

		for (const Received &order : received())
			count += order.epoch > epoch;
		return count;
	}

      private:
	static int64_t number(const json_t *object, const char *field)
	{
		return json_integer_value(json_object_get(object, field));
	}
};

// Checks that no order of an older epoch follows one of a newer epoch, and that
// no order is received twice.
static void check_order(const std::vector<Received> &received)
{
	for (size_t i = 1; i < received.size(); i++) {
		const Received &before = received[i - 1];
		const Received &order = received[i];

		EXPECT_GE(order.epoch, before.epoch) << "order " << i;
		if (order.epoch == before.epoch) {
			EXPECT_GT(order.sequence, before.sequence)
				<< "order " << i;
		}
	}
}

// A daemon that holds the lease of bergen-a and orders, and two rivals.
class World
{
      public:
	explicit World(bool checks_fencing,
		       const std::string &budget = "max_dear 4")
	    : platform(checks_fencing), gate(platform.address()),
	      system(options())
	{
		if (!system.up())
			return;
		work_ = std::thread([this] {
			http_post(system.engine(0).address(), "/v1/completions",
				  "{\"model\": \"scenario-lm\", \"prompt\": "
				  "\"ice\", \"max_tokens\": 1000}");
		});
		system.daemon(0).statement(
			"create budget bergen-a pool scenario-lm " + budget);
		ordering = wait_until(limit_ms, [this] {
			return !platform.received().empty();
		});
		if (!ordering)
			return;
		holder = system.lease_holder(lease);
		epoch = platform.received().back().epoch;
	}

	~World()
	{
		system.engine(0).kill();
		if (work_.joinable())
			work_.join();
	}

	DaemonProcess &held_by()
	{
		return system.daemon(holder);
	}

	// Waits until a successor has sent this many orders; returns the time
	// of its first one, or 0 on timeout.
	int64_t first_successor_order_ns(int orders)
	{
		if (!wait_until(limit_ms, [&] {
			    return platform.count_after_epoch(epoch) >= orders;
		    }))
			return 0;
		for (const Received &order : platform.received())
			if (order.epoch > epoch)
				return order.at_ns;
		return 0;
	}

	Platform platform;
	Gate gate; // between the daemons and the platform
	System system;
	bool ordering = false;
	int holder = -1;
	uint64_t epoch = 0;

      private:
	SystemOptions options()
	{
		SystemOptions options;

		options.engines = 1;
		options.engine_flags = { "--token-us", "100000" };
		options.orders_url = gate.url();
		options.daemon_settings =
			", \"lease_ms\": " + std::to_string(lease_ms);
		return options;
	}

	std::thread work_;
};

static void kill_holder(World &world)
{
	world.held_by().kill();
}

// Stops the holder in its round, while it waits for the response to its read:
// it has checked its lease and would decide and order next.
static void pause_in_round(World &world)
{
	world.platform.hold_reads();
	EXPECT_TRUE(world.held_by().wait_until(
		limit_ms, [&] { return world.platform.reads_held(); }));
	world.held_by().pause();
	world.platform.release_reads();
}

// Stops the holder between its last check of the lease and its order: in the
// connect() of the order's connection.
static void pause_before_send(World &world)
{
	world.platform.hold_reads();
	EXPECT_TRUE(world.held_by().wait_until(
		limit_ms, [&] { return world.platform.reads_held(); }));
	world.gate.close();
	world.platform.release_reads();
	EXPECT_TRUE(world.held_by().wait_until(
		limit_ms, [&] { return world.gate.has_waiting(); }));
	world.held_by().pause();
	world.gate.open();
}

static void pause_holder(World &world)
{
	world.held_by().pause();
}

static void resume_holder(World &world)
{
	world.held_by().resume();
}

static void wait_ns(int64_t time_ns)
{
	int64_t until_ns = system_now_ns() + time_ns;

	EXPECT_TRUE(wait_until(limit_ms,
			       [&] { return system_now_ns() > until_ns; }));
}

// Resumes the holder after its lease has expired, for one round, while the log
// is down and no daemon can renew or claim the lease; then stops it again while
// a rival acquires the lease.
static void pause_while_log_down(World &world)
{
	pause_in_round(world);
	world.system.log.faults("{\"down\": true}");
	wait_ns(lease_ms * NS_PER_MS);
	world.held_by().resume();
	wait_ns(round_ns);
	world.held_by().pause();
	world.system.log.faults("{}");
}

struct Case {
	const char *name;
	void (*strike)(World &world);
	void (*heal)(World &world); // may be nullptr
};

static const Case cases[] = {
	{ "Killed", kill_holder, nullptr },
	{ "Paused", pause_holder, resume_holder },
	{ "PausedInItsRound", pause_in_round, resume_holder },
	{ "PausedBeforeItsSend", pause_before_send, resume_holder },
	{ "PausedWhileTheLogIsDown", pause_while_log_down, resume_holder },
};

class ProofDaemonOrders : public testing::TestWithParam<std::tuple<Case, bool>>
{
};

static std::string
case_name(const testing::TestParamInfo<std::tuple<Case, bool>> &info)
{
	return std::string(std::get<0>(info.param).name) +
	       (std::get<1>(info.param) ? "Fenced" : "Unfenced");
}

INSTANTIATE_TEST_SUITE_P(Holder, ProofDaemonOrders,
			 testing::Combine(testing::ValuesIn(cases),
					  testing::Bool()),
			 case_name);

TEST_P(ProofDaemonOrders, NeverFromTwoInCharge)
{
	const Case &c = std::get<0>(GetParam());
	World world(std::get<1>(GetParam()));

	ASSERT_TRUE(world.ordering) << world.system.daemon(0).output();
	ASSERT_NE(-1, world.holder);
	int64_t struck_ns = system_now_ns();
	c.strike(world);
	int64_t taken_ns = world.first_successor_order_ns(1);
	ASSERT_NE(0, taken_ns) << "no successor ordered";
	if (c.heal)
		c.heal(world);
	// The old holder runs and would have had two rounds by now.
	ASSERT_NE(0, world.first_successor_order_ns(3));
	check_order(world.platform.received());
	printf("the successor's first order came after %lld ms\n",
	       (long long)((taken_ns - struck_ns) / NS_PER_MS));
}

// While the log is down, the holder stops ordering when its lease expires; it
// resumes once the log is available.
TEST(ProofDaemonOrdersLog, DownEndsTheOrders)
{
	World world(false);
	int64_t last_ns = 0;

	ASSERT_TRUE(world.ordering) << world.system.daemon(0).output();
	world.system.log.faults("{\"down\": true}");
	// Every claim that took effect was sent before now.
	int64_t end_ns = system_now_ns() + lease_ms * NS_PER_MS;
	int64_t late_ns = end_ns + longest_order_ms * NS_PER_MS;
	wait_ns(late_ns - system_now_ns());
	for (const Received &order : world.platform.received())
		last_ns = order.at_ns;
	size_t before = world.platform.received().size();
	// No order is received for two more rounds.
	wait_ns(2 * round_ns);
	EXPECT_EQ(before, world.platform.received().size());
	printf("the last order came %lld ms before the lease's end\n",
	       (long long)((end_ns - last_ns) / NS_PER_MS));
	world.system.log.faults("{}");
	EXPECT_TRUE(wait_until(limit_ms, [&] {
		return world.platform.received().size() > before;
	}));
	check_order(world.platform.received());
}

// After an eviction of the cheap servers, dear ones are ordered for the work.
TEST(ProofDaemonOrdersEviction, CheapOnesAreNotOrderedAgainAtOnce)
{
	World world(true, "max_dear 4 max_cheap 4");

	ASSERT_TRUE(world.ordering) << world.system.daemon(0).output();
	world.platform.faults("{}");
	ASSERT_TRUE(wait_until(limit_ms, [&] {
		return http_get(world.platform.address(),
				"/v1/orders?data_centre=bergen-a")
			       .body.find("\"running\":1") != std::string::npos;
	}));
	EXPECT_FALSE(world.platform.got_class("dear"));
	// The first round has ended when the second reads.
	world.platform.wait_for_read();
	world.platform.wait_for_read();
	world.platform.evict_cheap();
	EXPECT_TRUE(wait_until(
		limit_ms, [&] { return world.platform.got_class("dear"); }));
}
