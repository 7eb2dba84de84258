// A loopback proxy that does to connections what networks do.
#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <list>
#include <string>

#include "t/lib-reactor.h"

struct bufferevent;
struct evconnlistener;

// What happens to the connections through a proxy.
enum class LinkFault {
	NONE,
	SILENT, // open, and nothing passes either way
	ONE_WAY, // requests pass, answers don't
	SLOW, // each piece of an answer comes late
	RESET, // what is open is reset, what is new too
	DOWN, // what is open is reset, and nobody listens
};

const char *link_fault_name(LinkFault fault);

// A TCP proxy on loopback that does to connections what networks do.
class Proxy
{
      public:
	Proxy(TestReactor *loop, const std::string &target);
	~Proxy();

	std::string address() const;
	void set_fault(LinkFault fault);
	LinkFault fault() const
	{
		return fault_;
	}

      private:
	struct Pair;

	static void on_accept(struct evconnlistener *listener, int fd,
			      struct sockaddr *from, int len, void *arg);
	static void on_read(struct bufferevent *from, void *arg);
	static void on_event(struct bufferevent *of, short what, void *arg);
	static void on_timer(void *arg, int64_t now_ns);
	void end(Pair *pair, bool reset);
	void listen();
	void apply(Pair *pair);
	void pass(struct bufferevent *from, struct bufferevent *to);

	TestReactor *loop_;
	std::string target_;
	struct evconnlistener *listener_;
	int port_ = 0;
	int held_; // so that the port stays this one's while it is down
	LinkFault fault_ = LinkFault::NONE;
	std::list<Pair *> pairs_;
	struct timer timer_ = {};
};

#endif
