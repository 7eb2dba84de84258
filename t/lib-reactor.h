#ifndef T_LIB_REACTOR_H
#define T_LIB_REACTOR_H

#include <functional>
#include <string>

extern "C" {
#include "net/net_client.h"
#include "net/net_server.h"
#include "net/reactor.h"
}

// A reactor on the test's thread.
class TestReactor
{
      public:
	TestReactor();
	~TestReactor();

	// Runs the loop until the condition holds; false after `limit_ms`.
	bool run_until(const std::function<bool()> &condition,
		       int64_t limit_ms = 5000);
	// Runs what is due, and what comes within a moment.
	void run_for(int64_t ms);

	struct reactor reactor;
};

// A plain socket of a caller, which sends any bytes.
class RawCaller
{
      public:
	explicit RawCaller(uint16_t port);
	~RawCaller();

	void send(const std::string &bytes);
	void close();
	void shutdown_sending();
	// What has come so far, without waiting.
	const std::string &received();
	bool is_closed(); // by the other side
	bool was_reset();

      private:
	void read_all();

	int fd_;
	bool closed_;
	bool reset_;
	std::string received_;
};

// Whether the text is a whole answer with a length or in chunks.
bool http_is_whole(const std::string &text);
// Status of an answer; 0 if there is none.
int http_status(const std::string &answer);
// The whole answer to a request; what came, if the connection ended.
std::string http_ask(TestReactor *loop, uint16_t port,
		     const std::string &bytes);

struct net_limits test_limits();
struct net_pool_settings test_pool_settings();

#endif
