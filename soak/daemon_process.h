// A daemon of an entry host as a process, with a link of its own to the store.
#ifndef SOAK_DAEMON_PROCESS_H
#define SOAK_DAEMON_PROCESS_H

#include <memory>
#include <string>

#include "soak/proxy.h"
#include "t/lib-process.h"

class DaemonProcess
{
      public:
	// Listens at a loopback address that this test program alone uses.
	DaemonProcess(TestReactor *loop, const TempDir &dir, int number,
		      const std::string &store);

	// `first`: all daemons start together for the first time.
	void start(bool first);
	bool is_ready() const; // since its first start
	std::string callers() const; // the port for callers, "ip:port"
	// Lines of one of its starts, counted from 1.
	std::string output(int start) const;

	int number;
	std::string name;
	std::unique_ptr<Proxy> link; // to the store
	std::unique_ptr<Process> process;
	int starts = 0;

      private:
	std::string ip_, settings_, output_;
};

#endif
