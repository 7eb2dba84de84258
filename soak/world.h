// One run of the soak: daemons as processes, all around them, and a plan.
#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/daemon_process.h"
#include "soak/ending_server.h"

// Daemons as processes of their own, and all that is outside of them.
class World
{
      public:
	static const int DAEMONS = 3;
	static const int PLAIN_SERVERS = 4;
	static const int ENGINES = 3;
	static const int64_t SERVER_DOWN_MS = 700;

	explicit World(uint64_t seed);
	~World();

	// Runs one seed's plan; false if a promise was broken.
	bool run(bool with_faults, const std::string &plant);
	// History and the daemons' lines, for whoever traces a failure.
	void keep(const std::string &folder) const;

	const std::vector<std::string> &violations() const
	{
		return history_.violations;
	}

      private:
	struct Host;
	struct Fault {
		int64_t at_ms;
		std::string name;
		std::function<void()> act;
	};

	void configure();
	void start_daemon(int number, bool first);
	bool is_excused(const std::string &holder);
	void on_server_end(const std::string &id);
	ServerReply run_bad(EndingServer *engine, const ServerSaw &saw);
	void add_engine(int number, const std::string &service);
	bool wait_ready();
	void plan();
	void add(int64_t at_ms, const std::string &name,
		 const std::function<void()> &act);
	void disturb(int daemon, int64_t for_ms);
	void plan_daemon(int64_t at_ms, int daemon);
	void plan_store(int64_t at_ms);
	void plan_server(int64_t at_ms);
	void plan_leaving(int64_t at_ms, EndingServer *engine);
	void plan_power_loss(int64_t at_ms);
	void play(int64_t until_ms);
	void look_after_daemons();
	void check_recovery();

	uint64_t seed_;
	struct rng rng_;
	TempDir dir_;
	TestReactor loop_;
	History history_;
	StoreStandin store_;
	Weather weather_;
	std::vector<std::unique_ptr<Host>> hosts_;
	std::vector<std::unique_ptr<EndingServer>> engines_;
	std::unique_ptr<Callers> callers_;
	std::vector<Fault> faults_;
	int64_t began_ms_ = 0;
	int64_t faults_end_ms_ = 0;
};

#endif
