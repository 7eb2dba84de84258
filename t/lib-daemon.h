// A log client over the log service in memory, by steps or with threads.
#ifndef T_LIB_DAEMON_H
#define T_LIB_DAEMON_H

#include <functional>
#include <string>

#include "t/lib-fake-log.h"
#include "t/lib-record.h"

extern "C" {
#include "state/log_client.h"
}

const int64_t DAEMON_LIMIT_NS = 20 * NS_PER_S;

// Short pauses and small bounds.
struct log_client_options quick_options();

enum Verdict { ABSENT, REJECTED, ACCEPTED };

struct Daemon {
	Daemon(FakeLog *log, const std::string &name, uint64_t incarnation,
	       const struct log_client_options &options = quick_options());
	~Daemon();

	bool start();
	int read(); // one read, without waiting
	int append(); // one append of what is queued
	void settle(); // reads and appends until nothing is left to do
	int submit(const Currant__Record *record);
	// Waits for the verdict on a new team; needs the threads.
	int create(const std::string &id, const std::string &team,
		   int64_t timeout_ns = DAEMON_LIMIT_NS);
	bool has_team(const char *team);
	uint64_t requests(const char *partition, uint64_t start_s);
	std::string pack(); // the whole state
	void with_state(const std::function<void(const struct state *)> &fn);

	FakeLogPort port;
	struct fake_clock clock;
	struct log_client client;
	std::string name;
	uint64_t incarnation;
	struct log_result result = {};
	struct error err = ERROR_INIT;
};

// What this daemon knows of a command.
Verdict verdict_on(Daemon *daemon, const std::string &id);

#endif
