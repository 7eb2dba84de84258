// Callers and trainers around the daemons, and the checks of what they get.
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "soak/history.h"
#include "t/lib-reactor.h"

extern "C" {
#include "base/rng.h"
}

// What engines and callers know of one single request.
struct SingleRequest {
	std::string kind; // path's first part: i idempotent, o once, r stream
	int daemon = 0;
	int64_t sent_ms = 0;
	int64_t ended_ms = -1;
	int status = 0; // 0: no whole answer came
	std::vector<std::string> runs; // engines, in order
	bool server_leaves = false; // the last engine's answer says so
	std::vector<int64_t> run_ms;
};

// One submission of a trainer and what was read of it.
struct TrainerBatch {
	std::string id;
	int events = 0; // of each item
	std::vector<std::string> items;
	int64_t submitted_ms = 0;
	int64_t accepted_ms = -1;
	bool maybe_accepted = false; // an attempt ended without an answer
	bool refused = false; // given up, and every answer said "not run"
	bool end_early = false;
	int64_t kept_ms = 0; // read again until so long after the acceptance
	int64_t ended_ms = -1; // the end was acknowledged
	std::vector<std::string> listed; // item and text by position
	std::map<std::string, std::vector<int64_t>> runs; // of items
	bool scored = false; // each item has a reward call
	// By reward call: who answered it, and how many answers were 500.
	std::map<std::string, std::set<std::string>> scores;
	std::map<std::string, int> reward_failures;
	bool busy = false; // a call is running
	bool given_up = false;
};

// What the callers' daemons are going through, for the rules that hold only
// for hosts that nothing disturbs.
struct Weather {
	std::vector<int64_t> disturbed_until_ms; // by daemon
	std::vector<int64_t> stopping_since_ms; // planned stop; -1: none
	int64_t store_disturbed_until_ms = -1;
	int64_t engines_disturbed_until_ms = -1;

	bool is_calm(int daemon, int64_t now_ms) const;
};

// Callers and trainers: they send, keep connections, come again, and check
// each answer as it comes.
class Callers
{
      public:
	Callers(TestReactor *loop, History *history, Weather *weather,
		const std::vector<std::string> &daemons, uint64_t seed);
	~Callers();

	void start();
	void stop_sending(); // trainers go on reading
	bool is_settled() const; // all batches are read or given up
	// What can be told only at the end.
	void check_end();

	// Called by engines for each request that they begin to run. Returns
	// how many events an item's run has.
	int on_run(const std::string &id, const std::string &engine,
		   const std::string &target, const std::string &team,
		   const std::string &key, const std::string &body);

	// Likewise for reward calls; returns whether the call succeeds.
	bool on_reward(const std::string &id, const std::string &engine,
		       const std::string &body);

	// The answer to this run says that the engine is leaving.
	void on_leaving_answer(const std::string &id);
	// What a daemon knew of leaving engines is gone, or an engine is.
	void forget_leaving(int daemon);
	void forget_leaving(const std::string &engine);

	// Likewise for the request that ends servers; see send_bad().
	void on_bad_run(const std::string &id);
	void on_server_end();

	// A fault planted in what callers see, once: see planted_faults.
	std::string plant;
	uint32_t answered = 0;
	uint32_t failed = 0; // among those sent since the last clear
	void clear_counts();

      private:
	struct Call;

	static void on_send(void *arg, int64_t now_ns);
	static void on_trainer(void *arg, int64_t now_ns);
	void send_single();
	void send_bad();
	void check_bad();
	void submit_new();
	void submit(TrainerBatch *batch);
	void read(TrainerBatch *batch, bool from_start);
	void end(TrainerBatch *batch);
	void step(TrainerBatch *batch);
	Call *call(const std::string &what, int daemon, const std::string &head,
		   const std::string &body);
	void on_single(Call *call, int status);
	void on_submit(Call *call, int status);
	void on_read(Call *call, int status);
	void on_end(Call *call, int status);
	void check_single(const Call &call, SingleRequest *single, int status);
	void check_whole(const Call &call, int status);
	void take_results(TrainerBatch *batch, size_t from,
			  const std::string &body);
	void take_result(TrainerBatch *batch, size_t position,
			 const struct json_t *result);
	void check_score(const TrainerBatch &batch, const std::string &item,
			 const std::string &score);
	void check_unasked(const TrainerBatch &batch, const std::string &id);
	void check_leaving(const SingleRequest &single, const std::string &id,
			   const std::string &engine);
	void note_leaving(const Call &call, const SingleRequest &single);
	bool takes_plant(const std::string &name);
	void finish(Call *call);

	TestReactor *loop_;
	History *history_;
	Weather *weather_;
	std::vector<std::string> daemons_;
	struct net_pool pool_;
	struct rng rng_;
	struct timer send_timer_ = {};
	struct timer trainer_timer_ = {};
	uint32_t next_ = 0;
	bool sending_ = false;
	std::map<std::string, SingleRequest> singles_;
	std::map<std::string, int> bad_; // attempts by id, and their daemons
	std::vector<std::pair<std::string, int64_t>> bad_runs_; // by calm ones
	std::vector<int64_t> server_ends_ms_;
	int64_t next_bad_ms_ = 0;
	std::map<std::string, std::unique_ptr<TrainerBatch>> batches_;
	std::map<std::string, TrainerBatch *> by_item_;
	std::map<std::string, TrainerBatch *> by_reward_;
	// By engine: when a daemon passed on that it is leaving.
	std::map<std::string, std::map<int, int64_t>> leaving_ms_;
	std::set<Call *> calls_;
	friend struct CallHooks;
};

// Names of what can be planted, to prove that the checks find it.
extern const std::vector<std::string> planted_faults;

#endif
