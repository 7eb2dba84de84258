#include "soak/proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "t/lib-listener.h"

static const int64_t SLOW_STEP_NS = 150 * NS_PER_MS;
static const int BACKLOG = 256; // connections

struct Proxy::Pair {
	Proxy *self;
	struct bufferevent *in; // towards whoever connected
	struct bufferevent *out; // towards the target
};

const char *link_fault_name(LinkFault fault)
{
	switch (fault) {
	case LinkFault::NONE:
		break;
	case LinkFault::SILENT:
		return "silent";
	case LinkFault::ONE_WAY:
		return "one_way";
	case LinkFault::SLOW:
		return "slow";
	case LinkFault::RESET:
		return "reset";
	case LinkFault::DOWN:
		return "down";
	}
	return "none";
}

static struct sockaddr_in parse(const std::string &address)
{
	struct sockaddr_in out = {};
	size_t colon = address.find(':');

	out.sin_family = AF_INET;
	out.sin_port = htons((uint16_t)std::stoi(address.substr(colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
	return out;
}

Proxy::Proxy(TestReactor *loop, const std::string &target)
    : loop_(loop), target_(target)
{
	held_ = hold_on_loopback(&port_);
	EXPECT_GE(held_, 0);
	listen();
}

void Proxy::listen()
{
	int fd = hold_on_loopback(&port_);

	EXPECT_GE(fd, 0);
	evutil_make_socket_nonblocking(fd);
	listener_ = evconnlistener_new(loop_->reactor.events, on_accept, this,
				       LEV_OPT_CLOSE_ON_FREE, BACKLOG, fd);
	EXPECT_TRUE(listener_);
}

Proxy::~Proxy()
{
	timer_unsubscribe(&loop_->reactor.timers, &timer_);
	while (!pairs_.empty())
		end(pairs_.front(), false);
	if (listener_)
		evconnlistener_free(listener_);
	close(held_);
}

std::string Proxy::address() const
{
	return "127.0.0.1:" + std::to_string(port_);
}

static struct bufferevent *wrap(TestReactor *loop, int fd)
{
	return bufferevent_socket_new(loop->reactor.events, fd,
				      BEV_OPT_CLOSE_ON_FREE);
}

void Proxy::on_accept(struct evconnlistener *, int fd, struct sockaddr *, int,
		      void *arg)
{
	Proxy *self = (Proxy *)arg;
	struct sockaddr_in to = parse(self->target_);
	Pair *pair = new Pair();

	pair->self = self;
	evutil_make_socket_nonblocking(fd);
	pair->in = wrap(self->loop_, fd);
	pair->out = wrap(self->loop_, -1);
	self->pairs_.push_back(pair);
	if (self->fault_ == LinkFault::RESET) {
		self->end(pair, true);
		return;
	}
	bufferevent_setcb(pair->in, on_read, nullptr, on_event, pair);
	bufferevent_setcb(pair->out, on_read, nullptr, on_event, pair);
	if (bufferevent_socket_connect(pair->out, (struct sockaddr *)&to,
				       sizeof(to)))
		return; // on_event() has been called
	self->apply(pair);
}

static void close_with_reset(struct bufferevent *bev)
{
	struct linger linger = { 1, 0 };
	int fd = bufferevent_getfd(bev);

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

void Proxy::end(Pair *pair, bool reset)
{
	if (reset) {
		close_with_reset(pair->in);
		close_with_reset(pair->out);
	}
	bufferevent_free(pair->in);
	bufferevent_free(pair->out);
	pairs_.remove(pair);
	delete pair;
}

void Proxy::apply(Pair *pair)
{
	bool from_in = fault_ != LinkFault::SILENT;
	bool from_out = fault_ == LinkFault::NONE;

	(from_in ? bufferevent_enable : bufferevent_disable)(pair->in, EV_READ);
	(from_out ? bufferevent_enable : bufferevent_disable)(pair->out,
							      EV_READ);
	bufferevent_enable(pair->in, EV_WRITE);
	bufferevent_enable(pair->out, EV_WRITE);
}

void Proxy::set_fault(LinkFault fault)
{
	std::list<Pair *> pairs = pairs_;
	bool resets = fault == LinkFault::RESET || fault == LinkFault::DOWN;

	if (fault == LinkFault::DOWN && listener_) {
		evconnlistener_free(listener_);
		listener_ = nullptr;
	} else if (fault != LinkFault::DOWN && !listener_) {
		listen();
	}
	fault_ = fault;
	timer_unsubscribe(&loop_->reactor.timers, &timer_);
	if (fault == LinkFault::SLOW)
		timer_subscribe(&loop_->reactor.timers, &timer_, SLOW_STEP_NS,
				on_timer, this);
	for (Pair *pair : pairs) {
		if (resets)
			end(pair, true);
		else
			apply(pair);
	}
}

// Answers get through now and then.
void Proxy::on_timer(void *arg, int64_t)
{
	Proxy *self = (Proxy *)arg;

	for (Pair *pair : self->pairs_)
		bufferevent_enable(pair->out, EV_READ);
}

void Proxy::pass(struct bufferevent *from, struct bufferevent *to)
{
	bufferevent_write_buffer(to, bufferevent_get_input(from));
}

void Proxy::on_read(struct bufferevent *from, void *arg)
{
	Pair *pair = (Pair *)arg;

	pair->self->pass(from, from == pair->in ? pair->out : pair->in);
	if (from == pair->out && pair->self->fault_ == LinkFault::SLOW)
		bufferevent_disable(from, EV_READ);
}

// What one side ends ends for the other, once all has passed.
void Proxy::on_event(struct bufferevent *of, short what, void *arg)
{
	Pair *pair = (Pair *)arg;
	struct bufferevent *other = of == pair->in ? pair->out : pair->in;

	if (what & BEV_EVENT_CONNECTED)
		return;
	if (what & BEV_EVENT_EOF && of == pair->out) {
		int fd = bufferevent_getfd(other);

		pair->self->pass(of, other);
		// A short answer fits into the socket's buffer.
		evbuffer_write(bufferevent_get_output(other), fd);
	}
	pair->self->end(pair, (what & BEV_EVENT_ERROR) != 0);
}
