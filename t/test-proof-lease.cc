// Guards against orders from two processes that both consider themselves the
// lease holder. The holder is stopped (SIGSTOP) between its check of the lease
// and its send, a rival takes over, and the old holder is continued. The
// receiver timestamps orders by its own clock, over TCP, and does not check
// fencing tokens.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <condition_variable>
#include <future>
#include <functional>
#include <mutex>
#include <thread>

#include "t/lib-clock.h"
#include "t/lib-listener.h"
#include "t/lib-log-pipe.h"

extern "C" {
#include "lease/lease_keeper.h"
#include "client/send_guard.h"
#include "state/log_client.h"
}

namespace
{

const char LEASE[] = "orders/x";
const int WAIT_S = 30; // timeout of every wait
const int64_t LEASE_NS = 800 * NS_PER_MS;

struct Received {
	std::string from;
	int64_t at_ns;
};

// Reads one line per connection and timestamps it on receipt.
class Receiver
{
      public:
	Receiver()
	{
		int number = 0;

		fd = listen_on_loopback(64, &number);
		if (fd < 0 || pipe(stop_fds))
			abort();
		port = htons((uint16_t)number);
	}
	~Receiver()
	{
		close(fd);
		close(stop_fds[0]);
		close(stop_fds[1]);
	}
	void start()
	{
		thread = std::thread([this] { run(); });
	}
	// Returns when all data sent before has been read.
	void stop()
	{
		close(stop_fds[1]);
		thread.join();
		stop_fds[1] = -1;
	}
	bool wait_for(const std::string &from)
	{
		std::unique_lock<std::mutex> guard(lock);

		return arrived.wait_for(
			guard, std::chrono::seconds(WAIT_S), [&] {
				for (const Received &order : received)
					if (order.from == from)
						return true;
				return false;
			});
	}

	in_port_t port;
	std::vector<Received> received;

      private:
	void run()
	{
		std::vector<struct pollfd> fds = { { fd, POLLIN, 0 },
						   { stop_fds[0], POLLIN, 0 } };

		// After stop(), continue until every connection is at EOF.
		while (fds[1].fd >= 0 || fds.size() > 2) {
			poll(fds.data(), fds.size(), fds[1].fd < 0 ? 0 : -1);
			if (fds[0].revents & POLLIN)
				fds.push_back({ accept(fd, nullptr, nullptr),
						POLLIN, 0 });
			else if (fds[1].revents)
				fds[1].fd = -1;
			for (size_t i = fds.size(); i-- > 2;)
				if (!take(fds[i]))
					fds.erase(fds.begin() + i);
		}
	}
	bool take(const struct pollfd &connection)
	{
		char text[64];
		ssize_t len =
			recv(connection.fd, text, sizeof(text), MSG_DONTWAIT);
		int64_t at_ns = system_now_ns();

		if (len < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return true;
		if (len <= 0) {
			close(connection.fd);
			return false;
		}
		std::lock_guard<std::mutex> guard(lock);
		received.push_back({ std::string(text, len), at_ns });
		arrived.notify_all();
		return true;
	}
	int fd;
	int stop_fds[2];
	std::mutex lock;
	std::condition_variable arrived;
	std::thread thread;
};

// The point at which the process is stopped.
enum Window { CONNECTED, SPINNING, UNCONNECTED };

// A contender for the lease: log client, lease keeper and send guard.
class Actor
{
      public:
	Actor(const char *name, uint64_t incarnation, struct log_port *port)
	    : name(name)
	{
		struct log_client_options options;
		struct log_part part = { nullptr, name };
		struct lease_timing timing;

		log_client_options_init(&options);
		options.read_wait_ms = 50;
		options.read_gap_ms = 1;
		lease_timing_init(&timing, LEASE_NS);
		timing.longest_order_ns = 100 * NS_PER_MS;
		timing.margin_ns = 50 * NS_PER_MS;
		system_clock_init(&clock);
		log_client_init(&client, port, &clock, name, incarnation,
				&options, nullptr, &part);
		timer_service_init(&timers, &clock);
		lease_keeper_init(&keeper, &client, &clock, &timers, &timing,
				  &part);
		timer_subscribe(&timers, &check, 2 * NS_PER_MS, on_check, this);
		timer_service_start(&timers);
		log_client_start(&client, nullptr);
	}
	~Actor()
	{
		timer_unsubscribe(&timers, &check);
		lease_keeper_finish(&keeper);
		timer_service_finish(&timers);
		log_client_finish(&client);
	}
	void want()
	{
		lease_keeper_request(&keeper, LEASE, 0, nullptr);
	}
	bool wait_held()
	{
		return became_held.get_future().wait_for(std::chrono::seconds(
			       WAIT_S)) == std::future_status::ready;
	}
	// Sends one order; `between` is called between the check of the lease
	// and the send. Returns whether send() succeeded.
	bool order(in_port_t port, Window window,
		   const std::function<void()> &between)
	{
		struct lease_hold hold;
		struct send_guard guard;

		if (!lease_keeper_held(&keeper, LEASE, system_now_ns(), &hold))
			return false;
		if (guard_off)
			return send_order(nullptr, port, window, between);
		if (send_guard_arm(&guard, hold.deadline_ns, nullptr))
			return false;
		bool sent = send_order(&guard, port, window, between);
		send_guard_disarm(&guard);
		return sent;
	}

	const char *name;
	bool guard_off = false;

      private:
	bool send_order(struct send_guard *guard, in_port_t port, Window window,
			const std::function<void()> &between)
	{
		struct sockaddr_in address = {};
		int sent = -1;

		if (window == UNCONNECTED)
			between();
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		if (guard && send_guard_socket(guard, fd)) {
			close(fd);
			return false;
		}
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		address.sin_port = port;
		int connected = connect(fd,
					reinterpret_cast<sockaddr *>(&address),
					sizeof(address));
		if (window != UNCONNECTED)
			between();
		if (!connected)
			sent = static_cast<int>(
				send(fd, name, strlen(name), MSG_NOSIGNAL));
		if (guard)
			send_guard_socket(guard, -1);
		close(fd);
		return sent > 0;
	}
	static void on_check(void *arg, int64_t)
	{
		Actor *self = static_cast<Actor *>(arg);
		struct lease_hold hold;

		if (self->was_held ||
		    !lease_keeper_held(&self->keeper, LEASE, system_now_ns(),
				       &hold))
			return;
		self->was_held = true;
		self->became_held.set_value();
	}
	struct clock clock;
	struct log_client client;
	struct timer_service timers;
	struct timer check;
	struct lease_keeper keeper;
	std::promise<void> became_held;
	bool was_held = false;
};

struct Pipes {
	int to_parent[2];
	int to_child[2];
};

// Signals the parent to stop this process here; returns after SIGCONT.
void stop_for_parent(const Pipes &pipes, Window window)
{
	char c = 'p';

	if (write(pipes.to_parent[1], &c, 1) != 1)
		_exit(1);
	if (window == SPINNING) {
		struct pollfd ready = { pipes.to_child[0], POLLIN, 0 };

		while (poll(&ready, 1, 0) == 0)
			;
	}
	if (read(pipes.to_child[0], &c, 1) != 1)
		_exit(1);
}

// Retries until an order passes the check of the lease, since the lease may
// expire on a busy host.
bool send_checked_order(Actor *actor, in_port_t port, Window window,
			const std::function<void()> &between)
{
	int64_t limit_ns = system_now_ns() + WAIT_S * NS_PER_S;
	bool checked = false;
	bool sent = false;

	while (!checked && system_now_ns() < limit_ns)
		sent = actor->order(port, window, [&] {
			checked = true;
			between();
		});
	return sent;
}

// Main function of the holder's process.
void run_holder(LogPipe *log, const Pipes &pipes, in_port_t port, Window window,
		bool guard_off)
{
	{
		Actor actor("holder", 1, log->port());
		char c;

		actor.guard_off = guard_off;
		actor.want();
		if (!actor.wait_held())
			_exit(2);
		for (int i = 0; i < 3; i++)
			send_checked_order(&actor, port, window, [] {});
		c = send_checked_order(&actor, port, window,
				       [&] { stop_for_parent(pipes, window); })
			    ? 's'
			    : 'f';
		if (write(pipes.to_parent[1], &c, 1) != 1)
			_exit(4);
	}
	_exit(0);
}

char read_char(int fd)
{
	struct pollfd ready = { fd, POLLIN, 0 };
	char c = 0;

	if (poll(&ready, 1, WAIT_S * 1000) != 1 || read(fd, &c, 1) != 1)
		return 0;
	return c;
}

struct Outcome {
	bool completed = false; // every step of the scenario succeeded
	char send = 0; // 's': the stopped send succeeded
	uint32_t late = 0; // old holder's orders after the rival's first one
	int64_t takeover_ns = 0; // from the stop to the rival's first order
};

Outcome run_scenario(Window window, bool guard_off)
{
	FakeLog log;
	Receiver receiver;
	LogPipe holder_log(&log);
	Outcome out;
	Pipes pipes;
	int status = 0;

	if (pipe(pipes.to_parent) || pipe(pipes.to_child))
		return out;
	pid_t child = fork();
	if (!child) {
		holder_log.become_client();
		run_holder(&holder_log, pipes, receiver.port, window,
			   guard_off);
	}
	close(pipes.to_parent[1]);
	holder_log.serve();
	receiver.start();
	{
		FakeLogPort rival_port(&log);
		Actor rival("rival", 2, rival_port.port());

		out.completed = read_char(pipes.to_parent[0]) == 'p';
		rival.want();
		int64_t stopped_ns = system_now_ns();
		kill(child, SIGSTOP);
		out.completed &= waitpid(child, &status, WUNTRACED) == child &&
				 WIFSTOPPED(status);
		out.completed &= write(pipes.to_child[1], "g", 1) == 1;
		out.completed &= rival.wait_held();
		out.completed &= rival.order(receiver.port, CONNECTED, [] {});
		out.completed &= receiver.wait_for("rival");
		out.takeover_ns = system_now_ns() - stopped_ns;
		kill(child, SIGCONT);
		out.send = read_char(pipes.to_parent[0]);
		waitpid(child, &status, 0);
		out.completed &= WIFEXITED(status) && !WEXITSTATUS(status);
	}
	receiver.stop();
	bool rival_seen = false;
	for (const Received &order : receiver.received) {
		rival_seen |= order.from == "rival";
		out.late += rival_seen && order.from != "rival";
	}
	out.completed &= receiver.received.size() >= 4;
	for (int fd :
	     { pipes.to_parent[0], pipes.to_child[0], pipes.to_child[1] })
		close(fd);
	return out;
}

} // namespace

TEST(ProofLease, AProcessStoppedBetweenCheckAndSendSendsNothingLate)
{
	const struct {
		const char *what;
		Window window;
	} cases[] = {
		{ "stopped in a call, connected", CONNECTED },
		{ "stopped while it computes", SPINNING },
		{ "stopped before it connects", UNCONNECTED },
	};

	for (const auto &c : cases)
		for (int round = 0; round < 3; round++) {
			SCOPED_TRACE(c.what);
			Outcome out = run_scenario(c.window, false);

			EXPECT_TRUE(out.completed);
			EXPECT_EQ('f', out.send);
			EXPECT_EQ(0u, out.late);
			printf("%s: takeover in %ld ms, lease %ld ms\n", c.what,
			       out.takeover_ns / NS_PER_MS,
			       LEASE_NS / NS_PER_MS);
			// The rival read the last renewal before the stop.
			EXPECT_GE(out.takeover_ns, LEASE_NS / 2);
		}
}

TEST(ProofLease, WithoutTheGuardTheReceiverSeesTwoInCharge)
{
	for (Window window : { CONNECTED, SPINNING, UNCONNECTED }) {
		Outcome out = run_scenario(window, true);

		EXPECT_TRUE(out.completed);
		EXPECT_EQ('s', out.send);
		EXPECT_EQ(1u, out.late);
	}
}
