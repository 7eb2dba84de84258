// No order is sent after its lease has expired, even if the sender process is
// stopped between checking the lease and sending. Lateness is measured by the
// clock of the receiver.
#include <gtest/gtest.h>

#include <jansson.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "t/lib-clock.h"
#include "t/lib-process.h"

extern "C" {
#include "base/alloc.h"
#include "base/clock.h"
#include "base/rng.h"
#include "client/http_call.h"
#include "client/order_http.h"
}

static const uint64_t seed = 41;
static const int lease_count = 40;
static const int64_t lease_ns = 20 * NS_PER_MS;
static const int pause_ms = 150;
// Bytes in kernel buffers when the lease expires arrive a little later, and
// the receiver may be slow to read its clock.
static const int64_t late_tolerance_ns = 100 * NS_PER_MS;

// Sends the same order with no guard but a check of the deadline beforehand.
static void order_unguarded(struct http_pool *pool, int64_t deadline)
{
	struct http_call call;
	std::string body =
		"{\"data_centre\": \"voss\", \"pool\": \"p\", \"epoch\": 1, "
		"\"sequence\": " +
		std::to_string(deadline) + "}";

	if (system_now_ns() >= deadline)
		return;
	http_call_init(&call);
	call.method = "POST";
	call.path = "/v1/orders";
	call.body = body.data();
	call.body_len = body.size();
	call.fresh_connection = 1;
	http_call_run(pool, &call, nullptr);
	http_call_finish(&call);
}

// Sends orders continuously under consecutive leases. The sequence number
// is the expiry of the lease, so that the record of the receiver shows which
// orders were late.
static void send_orders(const char *url, bool guarded)
{
	struct order_http orders;
	struct server_order order = {};

	order_http_init(&orders, url, nullptr);
	copy_text(order.data_centre, NAME_BYTES, "voss");
	copy_text(order.pool, NAME_BYTES, "p");
	order.epoch = 1;
	for (int i = 0; i < lease_count; i++) {
		int64_t deadline = system_now_ns() + lease_ns;

		order.sequence = (uint64_t)deadline;
		while (system_now_ns() < deadline)
			if (guarded)
				orders.base.vt->order(&orders.base, &order,
						      deadline, nullptr);
			else
				order_unguarded(&orders.pool, deadline);
	}
	_exit(0);
}

struct Tally {
	int received = 0;
	int late = 0;
};

static Tally tally(const Standin &receiver)
{
	std::string body =
		http_get(receiver.address(), "/standin/received").body;
	json_t *list = json_loads(body.c_str(), 0, nullptr);
	json_t *entry;
	size_t i;
	Tally result;

	json_array_foreach (list, i, entry) {
		json_t *order = json_object_get(entry, "order");
		int64_t at =
			json_integer_value(json_object_get(entry, "at_ns"));
		int64_t end =
			json_integer_value(json_object_get(order, "sequence"));

		result.received++;
		result.late += at > end + late_tolerance_ns;
	}
	json_decref(list);
	return result;
}

// Pauses the sender repeatedly, each time for longer than a lease, until it
// exits.
static Tally run_with_pauses(bool guarded)
{
	Standin receiver("orders", { "--checks-fencing", "0" });
	std::string url = receiver.url();
	struct rng rng;
	pid_t sender = fork();

	if (sender == 0)
		send_orders(url.c_str(), guarded);
	rng_init(&rng, seed);
	while (waitpid(sender, nullptr, WNOHANG) == 0) {
		siginfo_t info;

		kill(sender, SIGSTOP);
		waitid(P_PID, (id_t)sender, &info,
		       WSTOPPED | WEXITED | WNOWAIT);
		// The injected fault: a pause longer than a lease.
		poll(nullptr, 0, pause_ms);
		kill(sender, SIGCONT);
		poll(nullptr, 0, (int)rng_below(&rng, 8));
	}
	return tally(receiver);
}

TEST(SendGuard, NothingLeavesAfterTheLeaseUnderPauses)
{
	Tally guarded = run_with_pauses(true);

	RecordProperty("received", guarded.received);
	EXPECT_GT(guarded.received, lease_count);
	EXPECT_EQ(0, guarded.late);
}

TEST(SendGuard, WithoutItPausesLetLateOrdersOut)
{
	Tally unguarded = run_with_pauses(false);

	RecordProperty("late", unguarded.late);
	EXPECT_GT(unguarded.late, 0);
}
