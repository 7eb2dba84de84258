#ifndef T_LIB_DUTY_HOST_H
#define T_LIB_DUTY_HOST_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib-fake-topics.h"

extern "C" {
#include "duty/server_duty.h"
#include "duty/usage_counter.h"
#include "duty/usage_duty.h"
#include "duty/version_duty.h"
}

// A call to the platform or to an engine.
struct DutyCall {
	std::string kind; // "usage", "servers", "weights" or "ask"
	std::string host; // sender
	std::string holder;
	uint64_t fence;
	int64_t at_ns;
	uint64_t window; // usage
	std::map<std::string, uint64_t> counts;
	std::string service, data_centre; // servers
	uint32_t count;
	std::string engine, model; // weights, ask
	uint64_t version;
};

enum class DutyFault { NONE, REFUSED, CONFLICT, LOST, SILENT, LATE };

// Fake of the platform and of the model engines: records calls, rejects lower
// fencing numbers, and loads weights.
class FakePlatform
{
      public:
	explicit FakePlatform(FakeTime *time);
	~FakePlatform();

	// The port that one host uses; owned by this object.
	struct duty_port *port(const std::string &host);
	// Executes the calls with DutyFault::LATE, the oldest first.
	void carry_out_late();

	struct Engine {
		std::map<std::string, uint64_t> versions;
		uint64_t orders = 0;
		uint64_t fence = 0;
		int64_t busy_until_ns = 0;
		std::string loading_model;
		uint64_t target_version = 0;
	};

	std::function<DutyFault(const DutyCall &)> faults;
	std::vector<DutyCall> calls;
	std::map<std::string, Engine> engines;
	int64_t load_ms = 900;
	bool takes_usage_reports = true;
	// Accepted counts by window; differing counts fail the test.
	std::map<uint64_t, std::map<std::string, uint64_t>> reported;
	std::map<std::string, uint32_t> ordered; // by data centre

      private:
	struct Port;
	struct Pending;
	struct Vtable;
	friend struct Vtable;

	void start(Port *port, struct duty_call *call, const DutyCall &details);
	enum duty_outcome carry_out(const DutyCall &details,
				    struct duty_call *call);
	enum duty_outcome load(const DutyCall &details, int64_t expected);
	void finish_due_load(Engine *engine);
	static void on_timer(void *arg, int64_t now_ns);

	FakeTime *time_;
	std::vector<std::unique_ptr<Port>> ports_;
	std::vector<Pending *> pending_;
	std::vector<std::function<void()>> late_;
	// The highest fencing number by call kind, or by service and data
	// centre.
	std::map<std::string, uint64_t> fences_;
};

// The parts of one daemon that perform the duties.
class DutyHost
{
      public:
	DutyHost(FakeTime *time, FakeTopics *topics, FakePlatform *platform,
		 const std::string &name, uint64_t incarnation,
		 int64_t extra_wait_ms);
	~DutyHost();

	void set_eligible(bool eligible);
	bool holds();
	// Of the engines that are added and the needs that are published.
	std::string service = "s";
	// Adds an engine to this host's fleet.
	void add_engine(const std::string &id, uint64_t version,
			const std::string &data_centre = "dc",
			bool cheap = false, bool leaving = false);
	void add_engine(const std::string &id,
			const std::map<std::string, uint64_t> &versions);
	// "" if it has none.
	std::string assigned_model(const std::string &id);
	void name_version(const std::string &model, uint64_t version);
	void publish_need(const std::string &model, uint64_t min_version,
			  uint32_t items = 10);
	void count_request(const std::string &team);

	std::string name;
	struct duty_lease lease;
	struct usage_counter counter;
	struct usage_duty usage;
	struct weight_board board;
	struct version_duty versions;
	struct server_duty servers;
	struct fleet fleet;

      private:
	void put_engine(struct server_entry *entry, const std::string &id,
			const std::map<std::string, uint64_t> &versions);

	FakeTime *time_;
	struct counter_set counters_;
	struct config_holder config_;
	struct named_versions named_;
	int64_t extra_wait_ns_;
	uint64_t offset_ = 0;
};

#endif
