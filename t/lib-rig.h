#ifndef T_LIB_RIG_H
#define T_LIB_RIG_H

#include <gtest/gtest.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "t/lib-clock.h"
#include "t/lib-process.h"

const int RIG_LIMIT_MS = 20000;

// One call of a caller, with its headers.
struct Ask {
	std::string method = "GET";
	std::string address; // "ip:port"
	std::string path;
	std::string body;
	std::vector<std::string> headers;
	long timeout_ms = RIG_LIMIT_MS;
	std::atomic<size_t> *received = nullptr; // body bytes, as they come
};

struct Reply {
	int status = 0; // 0: no answer
	bool whole = false; // the answer came to its end
	std::string head;
	std::string body;
	int64_t took_ms = 0;

	std::string type() const; // of a problem, or ""
	std::string ran() const;
	bool has_retry_after() const;
};

Reply ask(const Ask &call);

// A field of a JSON object as text, "" if it is missing.
std::string json_text_field(const std::string &json, const std::string &name);
uint64_t json_number_field(const std::string &json, const std::string &name);

// One daemon with its settings and the addresses that it bound.
struct RigDaemon {
	std::string name;
	Process process;
	std::string batch;
	std::string latency;
	std::string operators;
	std::string peer;
};

struct RigOptions {
	int daemons = 1;
	std::string settings; // further fields, each with a comma before it
	bool apart = false; // each daemon in a data centre of its own
};

// Log, host list, weight store and some daemons, as real processes.
class Rig
{
      public:
	explicit Rig(const RigOptions &options);

	bool start(); // daemons are ready when it returns true
	bool start_daemon(int index);
	bool wait_ready(int index);
	void put_entry(int index);
	void put_backend(const std::string &name, const std::string &role,
			 const std::string &pool, const std::string &address,
			 const std::string &state = "live");
	void remove_host(const std::string &name);

	// Name of the data centre of a daemon.
	std::string data_centre(int index) const;

	// Runs changes at the first daemon until one is not accepted.
	::testing::AssertionResult
	apply(const std::vector<std::string> &changes);
	// One statement at the first daemon; returns the answer's body.
	Reply state(const std::string &statement, int index = 0);
	std::string grant(const std::string &id, const std::string &team);
	// Waits until every daemon answers a show with this text.
	bool wait_shown(const std::string &show, const std::string &text);
	// Waits until every daemon has a live backend server of this name.
	bool wait_server(const std::string &name);
	// The ticket of a daemon as callers get it.
	std::string ticket(int index);
	std::string daemon_log(int index);
	// What each daemon that runs has on its time line, to explain a
	// failure.
	std::string timelines();

	TempDir dir;
	Standin log;
	Standin hosts;
	Standin weights;
	std::vector<std::unique_ptr<RigDaemon>> daemons;

      private:
	RigOptions options_;
};

#endif
