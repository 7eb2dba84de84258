// No order is sent after its lease has expired, even if the sender process is
// stopped between checking the lease and sending. Lateness is measured by the
// time at which the kernel of the receiver took the last byte.
#include <gtest/gtest.h>

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "t/lib-clock.h"
#include "t/lib-listener.h"

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
// Bytes in kernel buffers when the lease expires arrive a little later.
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
	int read_late = 0; // by the clock of the thread that reads
};

// Answers each order and records when it arrived. Orders come one at a time,
// each on a connection of its own.
class Receiver
{
      public:
	Receiver()
	{
		int on = 1;

		listener_ = listen_on_loopback(16, &port_);
		setsockopt(listener_, SOL_SOCKET, SO_TIMESTAMPNS, &on,
			   sizeof(on));
	}

	~Receiver()
	{
		stop();
		close(listener_);
	}

	std::string url() const
	{
		return "http://127.0.0.1:" + std::to_string(port_);
	}

	// After the sender was forked, as a process with threads can't be under
	// the thread sanitizer.
	void start()
	{
		thread_ = std::thread([this] { serve(); });
	}

	Tally stop()
	{
		if (thread_.joinable()) {
			shutdown(listener_, SHUT_RDWR);
			thread_.join();
		}
		return tally_;
	}

      private:
	void serve()
	{
		int fd;

		while ((fd = accept4(listener_, nullptr, nullptr,
				     SOCK_CLOEXEC)) >= 0) {
			receive(fd);
			close(fd);
		}
	}

	// When the kernel took the bytes of the message; now if it doesn't
	// tell.
	static int64_t arrival_ns(struct msghdr *message)
	{
		for (struct cmsghdr *head = CMSG_FIRSTHDR(message); head;
		     head = CMSG_NXTHDR(message, head)) {
			struct timespec at, now;

			if (head->cmsg_level != SOL_SOCKET ||
			    head->cmsg_type != SCM_TIMESTAMPNS)
				continue;
			memcpy(&at, CMSG_DATA(head), sizeof(at));
			clock_gettime(CLOCK_REALTIME, &now);
			if (at.tv_sec)
				return system_now_ns() -
				       (now.tv_sec - at.tv_sec) * NS_PER_S -
				       (now.tv_nsec - at.tv_nsec);
		}
		return system_now_ns();
	}

	static ssize_t read_some(int fd, std::string *text, int64_t *at_ns)
	{
		alignas(struct cmsghdr) char control[256];
		char buffer[4096];
		struct iovec part = { buffer, sizeof(buffer) };
		struct msghdr message = {};
		ssize_t got;

		message.msg_iov = &part;
		message.msg_iovlen = 1;
		message.msg_control = control;
		message.msg_controllen = sizeof(control);
		got = recvmsg(fd, &message, 0);
		if (got > 0)
			text->append(buffer, (size_t)got);
		*at_ns = arrival_ns(&message);
		return got;
	}

	static bool is_whole(const std::string &text)
	{
		size_t head = text.find("\r\n\r\n");
		size_t length = text.find("Content-Length: ");

		return head != std::string::npos &&
		       length != std::string::npos &&
		       text.size() >=
			       head + 4 + std::stoul(text.substr(length + 16));
	}

	void receive(int fd)
	{
		static const char answer[] =
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			"Connection: close\r\n\r\n{}";
		std::string text;
		int64_t at_ns;

		while (!is_whole(text))
			if (read_some(fd, &text, &at_ns) <= 0)
				return;
		count(text, at_ns);
		send(fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL);
	}

	void count(const std::string &text, int64_t at_ns)
	{
		static const std::string name = "\"sequence\":";
		size_t at = text.find(name);
		int64_t end_ns = 0;

		if (at != std::string::npos)
			end_ns = std::stoll(text.substr(at + name.size()));
		tally_.received++;
		tally_.late += at_ns > end_ns + late_tolerance_ns;
		tally_.read_late += system_now_ns() >
				    end_ns + late_tolerance_ns;
	}

	int listener_;
	int port_;
	std::thread thread_;
	Tally tally_;
};

// Pauses the sender repeatedly, each time for longer than a lease, until it
// exits.
static Tally run_with_pauses(bool guarded)
{
	Receiver receiver;
	std::string url = receiver.url();
	struct rng rng;
	pid_t sender = fork();

	if (sender == 0)
		send_orders(url.c_str(), guarded);
	receiver.start();
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
	return receiver.stop();
}

TEST(SendGuard, NothingLeavesAfterTheLeaseUnderPauses)
{
	Tally guarded = run_with_pauses(true);

	RecordProperty("received", guarded.received);
	RecordProperty("read_late", guarded.read_late);
	EXPECT_GT(guarded.received, lease_count);
	EXPECT_EQ(0, guarded.late);
}

TEST(SendGuard, WithoutItPausesLetLateOrdersOut)
{
	Tally unguarded = run_with_pauses(false);

	RecordProperty("late", unguarded.late);
	EXPECT_GT(unguarded.late, 0);
}
