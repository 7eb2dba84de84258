// Contract of the backend server order port, for receivers that check the
// fencing number and for those that ignore it.
#include <gtest/gtest.h>

#include <memory>

#include "t/lib-process.h"

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "client/order_http.h"
}

enum OrderFault { NO_FAULT, DOWN, REFUSED, LOSE_ANSWER, SLOW };

class OrdersUnderTest
{
      public:
	virtual ~OrdersUnderTest() = default;
	virtual struct order_port *port() = 0;
	virtual void set(OrderFault fault) = 0;
};

class HttpOrders : public OrdersUnderTest
{
      public:
	explicit HttpOrders(bool checks)
	    : standin_("orders", { "--checks-fencing", checks ? "1" : "0" })
	{
		order_http_init(&orders_, standin_.url().c_str(), nullptr);
	}
	~HttpOrders() override
	{
		orders_.base.vt->finish(&orders_.base);
	}
	struct order_port *port() override
	{
		return &orders_.base;
	}
	void set(OrderFault fault) override
	{
		static const char *const settings[] = {
			"{}",
			"{\"down\": true}",
			"{}",
			"{\"lose_answers\": 1}",
			"{\"delay_ms\": 60000}",
		};

		if (fault == REFUSED)
			standin_.kill();
		else
			standin_.faults(settings[fault]);
	}

      private:
	Standin standin_;
	struct order_http orders_;
};

typedef std::unique_ptr<OrdersUnderTest> (*OrdersFactory)(bool checks);

static std::unique_ptr<OrdersUnderTest> make_http(bool checks)
{
	return std::make_unique<HttpOrders>(checks);
}

class OrderContract : public testing::TestWithParam<OrdersFactory>
{
      protected:
	enum error_code order(uint64_t epoch, uint32_t count,
			      int64_t lease_ns = 10 * NS_PER_S)
	{
		struct order_port *port = orders_->port();
		struct server_order order = {};
		struct error err = ERROR_INIT;
		struct clock clock;

		system_clock_init(&clock);
		copy_text(order.data_centre, NAME_BYTES, "voss");
		copy_text(order.pool, NAME_BYTES, "scenario-lm");
		order.cheap = 1;
		order.count = count;
		order.epoch = epoch;
		port->vt->order(port, &order, clock_now_ns(&clock) + lease_ns,
				&err);
		return err.code;
	}
	int desired() // -1 if nothing was ordered
	{
		struct order_port *port = orders_->port();
		struct server_count *counts;
		uint32_t count;
		int result = -1;

		EXPECT_EQ(0, port->vt->read(port, "voss", &counts, &count,
					    nullptr));
		if (count == 1) {
			EXPECT_STREQ("scenario-lm", counts[0].pool);
			EXPECT_TRUE(counts[0].cheap);
			result = (int)counts[0].desired;
		}
		free(counts);
		return result;
	}

	std::unique_ptr<OrdersUnderTest> orders_;
};

INSTANTIATE_TEST_SUITE_P(Http, OrderContract, testing::Values(make_http));

TEST_P(OrderContract, FaultsHaveTrueOutcomes)
{
	static const struct {
		const char *name;
		OrderFault fault;
		int64_t lease_ms;
		enum error_code code;
		int desired; // afterwards; -2: not asked
	} cases[] = {
		{ "down", DOWN, 10000, ERROR_UNAVAILABLE, -1 },
		{ "lease over", NO_FAULT, -1, ERROR_UNAVAILABLE, -1 },
		{ "none", NO_FAULT, 10000, ERROR_NONE, 3 },
		{ "answer lost", LOSE_ANSWER, 10000, ERROR_UNKNOWN_OUTCOME, 4 },
		{ "slow past the lease", SLOW, 100, ERROR_UNKNOWN_OUTCOME, -2 },
		{ "refused", REFUSED, 10000, ERROR_UNAVAILABLE, -2 },
	};
	uint32_t count = 1;

	orders_ = GetParam()(true);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		orders_->set(c.fault);
		EXPECT_EQ(c.code, order(1, count++, c.lease_ms * NS_PER_MS));
		if (c.desired != -2) {
			orders_->set(NO_FAULT);
			EXPECT_EQ(c.desired, desired());
		}
	}
}

TEST_P(OrderContract, OldFencingNumbers)
{
	static const struct {
		bool checks;
		enum error_code code;
		int desired;
	} cases[] = {
		{ true, ERROR_CONFLICT, 7 },
		{ false, ERROR_NONE, 8 },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.checks);
		orders_ = GetParam()(c.checks);
		EXPECT_EQ(ERROR_NONE, order(3, 6));
		EXPECT_EQ(ERROR_NONE, order(4, 7));
		EXPECT_EQ(c.code, order(3, 8));
		EXPECT_EQ(c.desired, desired());
		EXPECT_EQ(ERROR_NONE, order(4, 9));
		EXPECT_EQ(9, desired());
	}
}
