// Tests orders of backend servers: table-driven tests of the decision, and the
// order loop under its lease with a successor, lost responses and a receiver
// that checks no epochs.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <memory>

#include "t/lib-change.h"
#include "t/lib-daemon.h"

extern "C" {
#include "orders/cheap_watch.h"
#include "orders/order_loop.h"
}

namespace
{

const int64_t S = NS_PER_S;

struct server_want want_of(int cheap, uint32_t count)
{
	struct server_want want = {};

	strcpy(want.pool, "lm");
	want.cheap = cheap;
	want.count = count;
	return want;
}

struct server_count have_of(int cheap, uint32_t desired, uint32_t cents)
{
	struct server_count have = {};

	strcpy(have.pool, "lm");
	have.cheap = cheap;
	have.desired = desired;
	have.cents_per_hour = cents;
	return have;
}

struct budget budget_of(uint32_t dear, uint32_t cheap, uint32_t cents)
{
	struct budget budget = {};

	strcpy(budget.data_centre, "voss");
	strcpy(budget.pool, "lm");
	budget.max_dear = dear;
	budget.max_cheap = cheap;
	budget.max_cents_per_hour = cents;
	return budget;
}

const struct reconcile_rules RULES = { 6, 120 * S };

std::string decide(struct reconcile *reconcile, uint32_t want_dear,
		   uint32_t want_cheap, uint32_t have_dear, uint32_t have_cheap,
		   const struct budget &budget, int64_t now_ns)
{
	struct server_want wants[] = { want_of(1, want_cheap),
				       want_of(0, want_dear) };
	struct server_count have[] = { have_of(0, have_dear, 100),
				       have_of(1, have_cheap, 30) };
	struct server_order orders[8];
	std::string out;

	reconcile_apply_budget(wants, 2, &budget, have, 2);
	uint32_t count = reconcile_decide(reconcile, "voss", wants, 2, &budget,
					  have, 2, now_ns, orders, 8);
	for (uint32_t i = 0; i < count; i++)
		out += std::string(orders[i].cheap ? "cheap" : "dear") + "=" +
		       std::to_string(orders[i].count) + " ";
	return out;
}

} // namespace

TEST(Reconcile, OrdersTheDifferenceWithinTheBudget)
{
	const struct {
		const char *what;
		uint32_t want_dear, want_cheap, have_dear, have_cheap;
		struct budget budget;
		const char *orders;
	} cases[] = {
		{ "as wanted", 2, 3, 2, 3, budget_of(9, 9, 0), "" },
		{ "up, dear first", 4, 5, 2, 3, budget_of(9, 9, 0),
		  "dear=4 cheap=5 " },
		{ "down waits", 1, 1, 2, 3, budget_of(9, 9, 0), "" },
		{ "cut to the counts", 8, 8, 2, 3, budget_of(3, 4, 0),
		  "dear=3 cheap=4 " },
		{ "cut to the cost, dear first", 4, 5, 0, 0,
		  budget_of(9, 9, 460), "dear=4 cheap=2 " },
		{ "the budget was cut", 4, 4, 4, 4, budget_of(2, 3, 0),
		  "cheap=3 dear=2 " },
		{ "the cost was cut", 4, 4, 4, 4, budget_of(9, 9, 430),
		  "cheap=1 " },
		{ "no budget left", 4, 4, 4, 4, budget_of(0, 0, 0),
		  "cheap=0 dear=0 " },
	};

	for (const auto &c : cases) {
		struct reconcile reconcile;

		reconcile_init(&reconcile, &RULES);
		EXPECT_EQ(c.orders,
			  decide(&reconcile, c.want_dear, c.want_cheap,
				 c.have_dear, c.have_cheap, c.budget, S))
			<< c.what;
	}
}

TEST(Reconcile, ComingAndGoingDemandMovesNothing)
{
	struct reconcile reconcile;
	struct budget budget = budget_of(9, 9, 0);
	uint32_t have = 4;
	int orders = 0;

	// Demand alternates between 4 and 1 each minute, for an hour.
	reconcile_init(&reconcile, &RULES);
	for (int64_t at = 0; at < 3600; at += 5) {
		uint32_t wanted = at / 60 % 2 ? 1 : 4;

		orders +=
			!decide(&reconcile, 0, wanted, 0, have, budget, at * S)
				 .empty();
	}
	EXPECT_EQ(0, orders);
	EXPECT_EQ("", decide(&reconcile, 0, 4, 0, 4, budget, 3600 * S));
	// It stays low with one small peak: lowered to the peak, then further.
	EXPECT_EQ("", decide(&reconcile, 0, 1, 0, 4, budget, 4000 * S));
	EXPECT_EQ("", decide(&reconcile, 0, 2, 0, 4, budget, 4060 * S));
	EXPECT_EQ("", decide(&reconcile, 0, 1, 0, 4, budget, 4119 * S));
	EXPECT_EQ("cheap=2 ", decide(&reconcile, 0, 1, 0, 4, budget, 4120 * S));
	EXPECT_EQ("", decide(&reconcile, 0, 1, 0, 2, budget, 4125 * S));
	EXPECT_EQ("cheap=1 ", decide(&reconcile, 0, 1, 0, 2, budget, 4245 * S));
}

TEST(Reconcile, OrdersAMinuteAreBounded)
{
	struct reconcile reconcile;
	struct budget budget = budget_of(1000, 1000, 0);
	int orders = 0;

	// Demand grows each second; the limit is six orders a minute, with a
	// burst of one minute's orders.
	reconcile_init(&reconcile, &RULES);
	for (int64_t at = 0; at < 600; at++)
		orders += !decide(&reconcile, 0, 1 + at, 0, 0, budget, at * S)
				   .empty();
	EXPECT_LE(orders, 6 + 6 * 10);
	EXPECT_GE(orders, 6 * 10);
}

TEST(CheapWatch, TellsEvictionsFromOrdersAndLowering)
{
	const int64_t patience_ns = 120 * S;
	const struct {
		const char *what;
		int64_t at_s;
		uint32_t desired, running;
		enum cheap_change change;
	} looks[] = {
		{ "nothing ordered", 0, 0, 0, CHEAP_SAME },
		{ "ordered", 10, 4, 0, CHEAP_SAME },
		{ "boots", 129, 4, 0, CHEAP_SAME },
		{ "none came", 130, 4, 0, CHEAP_EVICTED },
		{ "told once", 131, 4, 0, CHEAP_SAME },
		{ "still none", 250, 4, 0, CHEAP_EVICTED },
		{ "the first came", 260, 4, 1, CHEAP_SAME },
		{ "a part is gone", 300, 4, 1, CHEAP_SAME },
		{ "all are gone", 310, 4, 0, CHEAP_EVICTED },
		{ "they came back", 400, 4, 4, CHEAP_SAME },
		{ "not yet steady", 999, 4, 4, CHEAP_SAME },
		{ "steady", 1000, 4, 4, CHEAP_STEADY },
		{ "lowered by us", 1010, 0, 0, CHEAP_SAME },
		{ "ordered again", 1020, 2, 0, CHEAP_SAME },
	};
	struct cheap_watch watch = {};

	for (const auto &look : looks)
		EXPECT_EQ(look.change,
			  cheap_watch_check(&watch, look.desired, look.running,
					    patience_ns, look.at_s * S))
			<< look.what;
}

namespace
{

// The platform: ordered counts by class, and all orders it received.
struct Platform {
	uint32_t desired[2] = { 0, 0 };
	uint64_t epoch = 0;
	bool checks = false;
	std::vector<std::string> received; // "a:1 cheap=3"
	std::vector<uint64_t> epochs;
};

struct Orderer {
	struct {
		struct order_port port;
		Orderer *self;
	} adapter;
	struct {
		struct order_demand demand;
		Orderer *self;
	} want;
	Orderer(FakeLog *log, Platform *platform, const char *name,
		uint64_t incarnation);
	~Orderer()
	{
		order_loop_finish(&loop);
		lease_keeper_finish(&keeper);
		timer_service_finish(&timers);
	}
	void run(int64_t seconds)
	{
		for (int64_t i = 0; i < 2 * seconds; i++) {
			fake_clock_advance(&daemon.clock, S / 2);
			if (paused)
				continue;
			daemon.read();
			timer_service_run_due(&timers);
			order_loop_step(&loop);
			daemon.append();
			daemon.read();
		}
	}
	bool holds()
	{
		struct lease_hold hold;

		return lease_keeper_held(&keeper, "orders/voss",
					 daemon.clock.now_ns, &hold);
	}

	Platform *platform;
	Daemon daemon;
	struct timer_service timers;
	struct lease_keeper keeper;
	struct order_loop loop;
	uint32_t wanted_cheap = 0;
	int reads = 0;
	int reads_fail = 0;
	int lose_answers = 0;
	bool paused = false;
	std::function<void()> before_send;
};

template <typename T> Orderer *orderer_of(T *first)
{
	struct with_self {
		T first;
		Orderer *self;
	};

	return reinterpret_cast<struct with_self *>(first)->self;
}

int fake_order(struct order_port *port, const struct server_order *order,
	       int64_t deadline_ns, struct error *err)
{
	Orderer *self = orderer_of(port);

	if (self->before_send)
		self->before_send();
	if (self->daemon.clock.now_ns >= deadline_ns)
		return error_set(err, ERROR_UNAVAILABLE, "lease has ended");
	if (self->platform->checks && order->epoch < self->platform->epoch)
		return error_set(err, ERROR_CONFLICT, "older epoch");
	self->platform->epoch = order->epoch;
	self->platform->desired[order->cheap] = order->count;
	self->platform->epochs.push_back(order->epoch);
	self->platform->received.push_back(self->daemon.name + ":" +
					   std::to_string(order->sequence) +
					   " " + std::to_string(order->count));
	if (self->lose_answers-- > 0)
		return error_set(err, ERROR_UNKNOWN_OUTCOME, "no answer");
	return 0;
}

int fake_read_back(struct order_port *port, const char *,
		   struct server_count **out, uint32_t *count,
		   struct error *err)
{
	Orderer *self = orderer_of(port);

	self->reads++;
	if (self->reads_fail-- > 0)
		return error_set(err, ERROR_UNAVAILABLE, "down");
	*count = 2;
	*out = static_cast<struct server_count *>(calloc(2, sizeof(**out)));
	(*out)[0] = have_of(0, self->platform->desired[0], 100);
	(*out)[1] = have_of(1, self->platform->desired[1], 30);
	return 0;
}

uint32_t fake_wanted(struct order_demand *demand, const char *,
		     struct server_want *wants, uint32_t)
{
	wants[0] = want_of(1, orderer_of(demand)->wanted_cheap);
	return 1;
}

const struct order_port_vtable order_vtable = { fake_order, fake_read_back,
						nullptr };
const struct order_demand_vtable demand_vtable = { nullptr, fake_wanted };

Orderer::Orderer(FakeLog *log, Platform *platform, const char *name,
		 uint64_t incarnation)
    : platform(platform), daemon(log, name, incarnation)
{
	struct lease_timing timing;
	struct log_part part = { nullptr, "orders" };
	struct reconcile_rules rules = { 60, 0 };

	adapter.port.vt = &order_vtable;
	adapter.self = this;
	want.demand.vt = &demand_vtable;
	want.self = this;
	lease_timing_init(&timing, 3 * S);
	timer_service_init(&timers, &daemon.clock.base);
	lease_keeper_init(&keeper, &daemon.client, &daemon.clock.base, &timers,
			  &timing, &part);
	order_loop_init(&loop, &daemon.client, &keeper, &adapter.port,
			&want.demand, &daemon.clock.base, "voss", &rules, S,
			nullptr, &part);
}

void create_budget(FakeLog *log)
{
	ChangeText change("create budget voss pool=lm max_dear=9 max_cheap=9");
	Currant__Command command = CURRANT__COMMAND__INIT;
	Currant__Record record = CURRANT__RECORD__INIT;
	Writer writer = { "operator", 99, 0 };
	char id[] = "c1";

	command.id = id;
	command.change = const_cast<Currant__Change *>(change.get());
	record.body_case = CURRANT__RECORD__BODY_COMMAND;
	record.command = &command;
	log->append(entry_of({ packed(writer, &record) }));
}

} // namespace

TEST(OrderLoop, ASuccessorReadsBackThenOrdersTheDifference)
{
	FakeLog log;
	Platform platform;
	Orderer a(&log, &platform, "a", 1), b(&log, &platform, "b", 2);

	create_budget(&log);
	a.wanted_cheap = b.wanted_cheap = 4;
	a.run(8);
	ASSERT_TRUE(a.holds());
	EXPECT_EQ((std::vector<std::string>{ "a:1 4" }), platform.received);
	a.paused = true;
	for (int i = 0; i < 40; i++) {
		a.run(1);
		b.run(1);
	}
	ASSERT_TRUE(b.holds());
	// b reads the counts that a ordered, and orders nothing again.
	EXPECT_GT(b.reads, 0);
	EXPECT_EQ(1u, platform.received.size());
	b.wanted_cheap = 6;
	b.run(2);
	EXPECT_EQ("b:1 6", platform.received.back());
	a.paused = false;
	a.run(1);
	EXPECT_FALSE(a.holds());
	EXPECT_EQ(2u, platform.received.size());
}

TEST(OrderLoop, FaultsOfTheReceiver)
{
	const struct {
		const char *what;
		int reads_fail, lose_answers;
		bool checks;
		size_t received;
	} cases[] = {
		{ "none", 0, 0, false, 1 },
		{ "reading back fails: nothing is ordered", 1000, 0, false, 0 },
		{ "reading back fails for a while", 3, 0, false, 1 },
		{ "answer lost: read back, not ordered again", 0, 1, false, 1 },
		{ "a receiver that checks epochs", 0, 0, true, 1 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		FakeLog log;
		Platform platform;
		Orderer a(&log, &platform, "a", 1);

		create_budget(&log);
		platform.checks = c.checks;
		a.wanted_cheap = 4;
		a.reads_fail = c.reads_fail;
		a.lose_answers = c.lose_answers;
		a.run(20);
		EXPECT_EQ(c.received, platform.received.size());
	}
}

TEST(OrderLoop, AHolderPausedBeforeItsSendOrdersNothingLate)
{
	FakeLog log;
	Platform platform;
	Orderer a(&log, &platform, "a", 1), b(&log, &platform, "b", 2);
	bool was_paused = false;

	create_budget(&log);
	a.run(8);
	ASSERT_TRUE(a.holds());
	a.wanted_cheap = 9;
	b.wanted_cheap = 2;
	a.before_send = [&] {
		if (was_paused)
			return;
		was_paused = true;
		fake_clock_advance(&a.daemon.clock, 40 * S);
		b.run(40);
	};
	a.run(2);
	ASSERT_TRUE(was_paused);
	EXPECT_EQ((std::vector<std::string>{ "b:1 2" }), platform.received);
	a.before_send = nullptr;
	for (int i = 0; i < 20; i++) {
		a.run(1);
		b.run(1);
	}
	EXPECT_EQ(1u, platform.received.size());
}
