// A backend server that can end as a process does, and is back as another.
#ifndef SOAK_ENDING_SERVER_H
#define SOAK_ENDING_SERVER_H

#include <functional>
#include <memory>
#include <string>

#include "soak/proxy.h"
#include "soak/store_standin.h"
#include "t/lib-fake-engine.h"

class EndingServer
{
      public:
	// Enters itself into the store. `models` is the JSON of its models.
	EndingServer(TestReactor *loop, StoreStandin *store,
		     const std::string &id, const std::string &service,
		     uint32_t slots, const std::string &models,
		     int64_t down_ms);
	~EndingServer();

	void enter();
	void leave();
	// Ends in a moment: all connections are reset, and nobody listens for
	// `down_ms`; then it enters itself as another process. A server that
	// is about to end or down stays so.
	void end();

	FakeServer server; // its behaviour is set by whoever made this
	Proxy link; // to the server
	std::string service;
	int64_t born_ms = 1;
	bool leaving = false; // its answers say so
	std::function<void()> on_end;

      private:
	static void on_down(void *arg, int64_t now_ns);
	static void on_back(void *arg, int64_t now_ns);

	TestReactor *loop_;
	StoreStandin *store_;
	uint32_t slots_;
	std::string models_;
	int64_t down_ms_;
	bool ending_ = false;
	struct timer timer_ = {};
};

#endif
