#ifndef T_LIB_FAKE_DAEMON_H
#define T_LIB_FAKE_DAEMON_H

// An operators' port in this process that gives scripted answers.
#include <mutex>
#include <string>
#include <vector>

extern "C" {
#include "base/counter.h"
#include "http/server.h"
}

class FakeDaemon
{
      public:
	FakeDaemon();
	~FakeDaemon();
	FakeDaemon(const FakeDaemon &) = delete;
	FakeDaemon &operator=(const FakeDaemon &) = delete;

	std::string address() const;

	// What every call gets from now on; status 0 cuts the connection
	// after the call was read.
	void answer(int status, const std::string &body);

	// "METHOD PATH?QUERY AUTHORIZATION BODY" of the calls so far.
	std::vector<std::string> take_calls();

      private:
	static void handle(void *arg, struct http_exchange *exchange);

	struct counter_set counters_;
	struct http_server server_;
	std::mutex lock_;
	int status_ = 200;
	std::string body_;
	std::vector<std::string> calls_;
};

#endif
