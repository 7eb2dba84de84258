// The daemon of an entry host as a process, with its store and one backend
// server on the test's reactor. For test programs that link the store of the
// soak.
#ifndef T_LIB_ENTRY_PROCESS_H
#define T_LIB_ENTRY_PROCESS_H

#include <unistd.h>

#include <fstream>
#include <string>

#include "soak/store_standin.h"
#include "t/lib-fake-engine.h"
#include "t/lib-process.h"

// Requests to /s/ get a stream of 8 s, those to /w/ no answer.
inline ServerReply serve_slow_streams(const ServerSaw &saw)
{
	if (saw.target[1] == 's')
		return stream_reply(80, 100);
	return saw.target[1] == 'w' ? hang_reply() : ServerReply();
}

static const char SLOW_STREAMS_CONFIG[] = R"({"version":1,"routes":[
 {"name":"i","host":"h","path_prefix":"/i/","type":"idempotent",
  "timeout_ms":500,"goal_ms":100,"max_attempts":2,"service":"p"},
 {"name":"w","host":"h","path_prefix":"/w/","type":"non_idempotent",
  "timeout_ms":60000,"goal_ms":60000,"max_attempts":2,"service":"p"},
 {"name":"s","host":"h","path_prefix":"/s/","type":"stream",
  "timeout_ms":60000,"goal_ms":60000,"max_attempts":2,"service":"p"},
 {"name":"b","host":"h","path_prefix":"/b/","type":"rollout",
  "timeout_ms":60000,"goal_ms":300,"max_attempts":9,"due_ms":20000,
  "retention_s":60,"sticky":true,"resumable":true,"service":"e"}],
 "services":[{"name":"p"},{"name":"e"}],
 "limits":{"max_header_bytes":8000,"max_body_bytes":100000,
  "header_timeout_ms":60000,"idle_timeout_ms":60000}})";

struct EntryProcessOptions {
	std::string config = SLOW_STREAMS_CONFIG;
	ServerReply (*serve)(const ServerSaw &saw) = serve_slow_streams;
	int memory_mb = 280;
	int max_fds = 4000;
};

class EntryProcess
{
      public:
	static const int START_LIMIT_MS = 20000;
	static const uint16_t ADDRESSES = 8404, CALLERS = 8405, READY = 8406,
			      METRICS = 8407;

	explicit EntryProcess(
		const EntryProcessOptions &options = EntryProcessOptions())
	    : options_(options), history_(&loop.reactor),
	      store(&loop, &history_), server(&loop, "p0", options.serve),
	      ip("127." + std::to_string(1 + getpid() / 250 % 250) + "." +
		 std::to_string(1 + getpid() % 250) + ".1")
	{
		store.topics.put("keyed.op", "config", options.config);
		store.topics.put("keyed.servers", "p0",
				 R"({"service":"p","addr":")" +
					 server.address() +
					 R"(","zone":"z","version":"v1",
 "slots":1000,"state":"ready","cold_left_ms":0,"models":[],"seq":1,"born":1})");
	}

	// Writes the settings and starts the daemon.
	bool start()
	{
		write_settings(options_.max_fds);
		return process.start({ built_program("currant-entryd"),
				       dir_.file("settings.json") },
				     dir_.file("out"));
	}

	bool start_and_wait()
	{
		return start() && wait_for("event=ready");
	}

	void write_settings(int max_fds) const
	{
		const std::string listen = "\"" + ip + ":84";

		std::ofstream(dir_.file("settings.json"))
			<< R"({"node":"d1","zone":"z","region":"r",
 "first_start":true,"heartbeat_ms":1200,"listen":{"front":)"
			<< listen << R"(05","ready":)" << listen
			<< R"(06","control":)" << listen
			<< R"(07","directory":)" << listen
			<< R"(04"},"limits":{"cpu_share":1,"cores":1,
 "memory_mb":)" << options_.memory_mb
			<< R"(,"max_fds":)" << max_fds << R"(},
 "bounds":{"grace_s":3,"lease_ms":1500,"ttl_max_s":5,
 "report_window_s":2,"usage_late_s":4,"status_s":120,"settle_ms":1000,
 "cancel_ms":3000,"ack_ms":4000},"platform":{"addr":")"
			<< store.address() << R"(","form":"log",
 "writes_per_s":800,"reads_per_s":2000,"parts":12,"record_bytes":262144,
 "call_bytes":2097152,"retention_s":300}})";
	}

	std::string output() const
	{
		return read_file(dir_.file("out"));
	}

	std::string last_lines() const
	{
		std::string all = output();

		return all.size() > 2000 ? all.substr(all.size() - 2000) : all;
	}

	bool has_logged(const std::string &text) const
	{
		return output().find(text) != std::string::npos;
	}

	bool wait_for(const std::string &logged)
	{
		return loop.run_until([&] { return has_logged(logged); },
				      START_LIMIT_MS);
	}

	TestReactor loop;

      private:
	EntryProcessOptions options_;
	History history_;
	TempDir dir_;

      public:
	StoreStandin store;
	FakeServer server;
	const std::string ip;
	Process process;
};

#endif
