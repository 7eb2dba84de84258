#ifndef T_LIB_SYSTEM_H
#define T_LIB_SYSTEM_H

#include <memory>
#include <string>
#include <vector>

#include "t/lib-process.h"

// Where the outside systems are, for the settings of a daemon.
struct SystemUrls {
	std::string log, hosts, weights, orders, usage; // "": none
};

// One currantd process with settings of its own.
class DaemonProcess : public Process
{
      public:
	DaemonProcess(const std::string &name, const SystemUrls &urls,
		      const std::string &more_settings = "");

	// Starts it and enters it in the list of hosts; also after kill().
	bool launch();
	bool ready();
	const std::string &name() const;
	std::string address(const std::string &port) const; // "batch", ...
	std::string output() const; // all that it logged

	// Runs a statement; returns the answer to POST /v1/statements.
	HttpAnswer statement(const std::string &text,
			     const std::string &id = "");
	double counter(const std::string &name); // 0 if there is none
	std::string timeline(); // its events, as JSON

      private:
	TempDir dir_;
	std::string name_;
	SystemUrls urls_;
	std::string more_;
};

struct SystemOptions {
	int daemons = 3;
	int engines = 3;
	std::vector<std::string> engine_flags;
	std::string daemon_settings; // more fields, as ", \"lease_ms\": 500"
	std::string orders_url = {}, usage_url = {}; // "": none
	// Of the first engines; the others stand in "bergen-a".
	std::vector<std::string> engine_centres = {};
};

// Stand-ins and daemons, with the route "rollout" and a key of team "red".
class System
{
      public:
	explicit System(const SystemOptions &options = {});

	bool up() const; // everything started and was configured
	DaemonProcess &daemon(int index);
	Standin &engine(int index);

	// Enters an engine in the list of hosts.
	void put_engine(int index);
	uint64_t published(); // newest version in the weight store
	bool publish(uint64_t version);
	uint64_t engine_field(int engine, const char *field); // of its load
	// Orders load_version, over the heads of the daemons.
	HttpAnswer order(int engine, uint64_t version);
	bool all_engines_have(uint64_t version);

	// Who holds a lease by the log: the daemon's index, or -1.
	int lease_holder(const std::string &lease, int asked = 0);

	// Starts a trainer's step; flags override what is set here.
	void start_step(Process &trainer, const std::string &report,
			const std::vector<std::string> &flags = {});

	Standin log, hosts, weights;
	std::string key;

      private:
	bool start(const SystemOptions &options);
	bool configure();

	std::vector<std::unique_ptr<Standin>> engines_;
	std::vector<std::string> engine_centres_;
	std::vector<std::unique_ptr<DaemonProcess>> daemons_;
	bool up_ = false;
};

#endif
