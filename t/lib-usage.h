// Daemons that meter, close and report usage over one log; a test runs their
// steps.
#ifndef T_LIB_USAGE_H
#define T_LIB_USAGE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "t/lib-daemon.h"

extern "C" {
#include "usage/usage_flush.h"
#include "usage/usage_reporter.h"
}

// The platform's records of reported windows, with checks of each report.
struct Receiver {
	struct Held {
		std::string figures;
		uint64_t requests;
		uint64_t late;
	};
	std::map<std::string, Held> held; // by "partition/start"
	uint32_t reports = 0;
	uint32_t conflicts = 0; // reports that changed a window's figures
	uint32_t epoch_regressions = 0; // older epoch than before
	uint64_t requests() const;
	uint64_t late() const;
	int take(const struct usage_window *window, uint64_t epoch);

      private:
	std::map<std::string, uint64_t> epochs;
};

class UsageWorld;

// One daemon and its adapter to the receiver.
struct UsageDaemon {
	UsageDaemon(UsageWorld *world, FakeLog *log, const std::string &name,
		    uint64_t incarnation, const std::string &data_centre);
	~UsageDaemon();
	void step();
	bool holds();
	void add(uint64_t requests);
	// Requests that were metered but not yet read back from the log.
	uint64_t unflushed();

	struct {
		struct usage_port port;
		UsageDaemon *self;
	} adapter;
	UsageWorld *world;
	Daemon daemon;
	std::string lease;
	struct timer_service timers;
	struct lease_keeper keeper;
	struct usage_meter meter;
	struct usage_flush flush;
	struct usage_reporter reporter;
	bool dead = false;
	bool paused = false;
	int lose_answers = 0; // responses to lose after a report is received
	bool receiver_down = false;
	bool guard_off = false; // injected fault: no send guard
	std::function<void()> before_send;
	std::function<void()> after_send;
};

class UsageWorld
{
      public:
	explicit UsageWorld(uint32_t daemons);
	// Advances time in steps of half a second; each running daemon meters
	// `load` requests in each step.
	void run(int64_t seconds, uint64_t load);
	// Like run(), until `done` returns true; false after `limit_s`.
	bool run_until(const std::function<bool()> &done, uint64_t load,
		       int64_t limit_s = 200);
	UsageDaemon *holder();

	FakeLog log;
	Receiver receiver;
	uint64_t wall_s = 1000;
	uint64_t added = 0;
	std::vector<std::unique_ptr<UsageDaemon>> daemons;

      private:
	void step(uint64_t load);
	uint32_t halves = 0;
};

#endif
