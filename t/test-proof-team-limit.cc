// A team's limit holds over all daemons: three real ones, callers that come
// back when they are told to, and the engine's own count of what it runs.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "t/lib-rig.h"

static const int daemons = 3;
static const uint64_t limit = 12;
static const int many_daemons = 12;
static const uint64_t many_limit = 36;
static const int callers = 14; // at each daemon, more than the limit
static const int settle_ms = 12000; // four rounds
static const int watch_ms = 6000; // two rounds
static const int cut_ms = 35000; // 20 s that a silent part is held, 4 rounds
static const int at_once_ms = 1000;

// With 128 tokens, one takes about a second when twelve run.
static std::string completion(int tokens)
{
	return "{\"model\":\"rollout\",\"prompt\":\"a b c\",\"max_tokens\":" +
	       std::to_string(tokens) + "}";
}

// Callers of one team at one daemon, each with one request at a time.
class Callers
{
      public:
	~Callers()
	{
		stop();
	}

	void start(const std::string &address, const std::string &key,
		   int count, int tokens = 128)
	{
		address_ = address;
		key_ = key;
		body_ = completion(tokens);
		stopping_ = false;
		for (int i = 0; i < count; i++)
			threads_.emplace_back([this] { run(); });
	}

	void stop()
	{
		{
			std::lock_guard<std::mutex> held(lock_);
			stopping_ = true;
		}
		changed_.notify_all();
		for (auto &thread : threads_)
			thread.join();
		threads_.clear();
	}

	std::atomic<int> answered{ 0 }, refused{ 0 }, wrong{ 0 }, slow{ 0 };

      private:
	void count(const Reply &reply)
	{
		if (reply.status == 200) {
			answered++;
		} else if (reply.status == 429) {
			refused++;
			wrong += reply.type() != "team_limit" ||
				 reply.ran() != "not_run" ||
				 !reply.has_retry_after();
			slow += reply.took_ms > at_once_ms;
		} else {
			wrong += reply.status != 0; // 0: the daemon was killed
		}
	}

	void run()
	{
		std::unique_lock<std::mutex> held(lock_);

		while (!stopping_) {
			Ask call;

			held.unlock();
			call.method = "POST";
			call.address = address_;
			call.path = "/v1/completions";
			call.body = body_;
			call.headers = { "Authorization: Bearer " + key_ };
			Reply reply = ask(call);
			count(reply);
			held.lock();
			if (reply.status != 200)
				changed_.wait_for(held, std::chrono::seconds(1),
						  [&] { return stopping_; });
		}
	}

	std::string address_, key_, body_;
	std::vector<std::thread> threads_;
	std::mutex lock_;
	std::condition_variable changed_;
	bool stopping_ = false;
};

// What an engine says that it holds, asked again and again.
class Watch
{
      public:
	explicit Watch(const Standin &engine) : engine_(engine)
	{
		thread_ = std::thread([this] {
			while (!ending_)
				look();
		});
	}

	~Watch()
	{
		ending_ = true;
		thread_.join();
	}

	void restart()
	{
		std::lock_guard<std::mutex> held(lock_);

		most_ = sum_ = count_ = 0;
	}

	uint64_t most()
	{
		std::lock_guard<std::mutex> held(lock_);

		return most_;
	}

	double mean()
	{
		std::lock_guard<std::mutex> held(lock_);

		return count_ ? (double)sum_ / count_ : 0;
	}

      private:
	void look()
	{
		std::string load = http_get(engine_.address(), "/v1/load").body;
		uint64_t now = json_number_field(load, "running") +
			       json_number_field(load, "waiting");
		std::lock_guard<std::mutex> held(lock_);

		most_ = std::max(most_, now);
		sum_ += now;
		count_++;
	}

	const Standin &engine_;
	std::thread thread_;
	std::mutex lock_;
	std::atomic<bool> ending_{ false };
	uint64_t most_ = 0, sum_ = 0, count_ = 0;
};

class ProofTeamLimit : public ::testing::Test
{
      protected:
	explicit ProofTeamLimit(int count = daemons,
				uint64_t team_limit = limit)
	    : rig({ count, "" }),
	      engine("engine", { "--name", "engine-1", "--capacity", "128",
				 "--token-us", "5000" }),
	      team(count), max_in_flight(team_limit)
	{
	}

	void SetUp() override
	{
		ASSERT_TRUE(rig.start()) << rig.daemon_log(0);
		const std::vector<std::string> changes = {
			"create team red max_in_flight " +
				std::to_string(max_in_flight),
			"create team blue",
			"create route rollout pool scenario-lm deadline_ms "
			"60000",
		};
		ASSERT_TRUE(rig.apply(changes));
		red = rig.grant("k1", "red");
		blue = rig.grant("k2", "blue");
		ASSERT_NE("", red);
		ASSERT_NE("", blue);
		ASSERT_TRUE(rig.wait_shown("show keys", "k2"));
		ASSERT_TRUE(rig.wait_shown("show routes", "rollout"));
		rig.put_backend("engine-1", "engine", "scenario-lm",
				engine.address());
		ASSERT_TRUE(rig.wait_server("engine-1"));
		for (size_t i = 0; i < team.size(); i++)
			ASSERT_TRUE(wait_until(settle_ms, [&] {
				return part((int)i) > 0;
			})) << i;
	}

	// The part of the limit that a daemon says it has; 0: none.
	uint64_t part(int index)
	{
		const std::string name = "\nteam_in_flight_max{team=\"red\"} ";
		std::string all =
			http_get(rig.daemons[index]->operators, "/metrics")
				.body;
		size_t at = all.find(name);

		return at == std::string::npos
			       ? 0
			       : strtoull(all.c_str() + at + name.size(),
					  nullptr, 10);
	}

	bool wait_part(int index, uint64_t wanted, int limit_ms)
	{
		return wait_until(limit_ms,
				  [&] { return part(index) == wanted; });
	}

	void push(int index, int count = callers, int tokens = 128)
	{
		team[index].start(rig.daemons[index]->batch, red, count,
				  tokens);
	}

	// Lets real time pass: two rounds in which nothing may go wrong.
	void watch_on(Watch *watch, int for_ms = watch_ms)
	{
		int64_t end_ms = steady_now_ms() + for_ms;

		watch->restart();
		wait_until(2 * for_ms,
			   [&] { return steady_now_ms() >= end_ms; });
	}

	int answered()
	{
		int sum = 0;

		for (const Callers &one : team)
			sum += one.answered;
		return sum;
	}

	void expect_true_refusals()
	{
		for (const Callers &one : team) {
			EXPECT_EQ(0, one.wrong);
			EXPECT_EQ(0, one.slow);
		}
	}

	// Moves the list's address of a daemon, so that no peer reaches it and
	// its own messages come from where it isn't listed; or back.
	void put_peer(int index, const std::string &address)
	{
		std::string own = rig.daemons[index]->peer;

		rig.daemons[index]->peer = address;
		rig.put_entry(index);
		rig.daemons[index]->peer = own;
	}

	Rig rig;
	Standin engine;
	std::string red, blue;
	std::vector<Callers> team;
	Callers other;
	uint64_t max_in_flight;
};

TEST_F(ProofTeamLimit, HoldsOverThreeDaemonsAndFollowsDemand)
{
	Watch watch(engine);

	for (int i = 0; i < daemons; i++)
		push(i);
	ASSERT_TRUE(wait_until(settle_ms, [&] { return watch.most() > 8; }));
	watch_on(&watch);
	EXPECT_LE(watch.most(), limit);
	EXPECT_GE(watch.mean(), 0.8 * limit);
	printf("[ figures  ] all push: most %d, mean %.1f of %d\n",
	       (int)watch.most(), watch.mean(), (int)limit);
	for (int i = 0; i < daemons; i++)
		EXPECT_GT(team[i].answered, 0) << i;
	// The demand moves to one daemon, which is lent what the others leave.
	team[0].stop();
	team[1].stop();
	watch.restart();
	EXPECT_TRUE(wait_part(2, limit, settle_ms));
	EXPECT_LE(watch.most(), limit);
	watch_on(&watch);
	EXPECT_LE(watch.most(), limit);
	EXPECT_GE(watch.mean(), 0.8 * limit);
	printf("[ figures  ] one pushes: most %d, mean %.1f of %d\n",
	       (int)watch.most(), watch.mean(), (int)limit);
	// And gets it back.
	push(0);
	push(1);
	watch.restart();
	for (int i = 0; i < daemons; i++)
		EXPECT_TRUE(wait_part(i, limit / daemons, settle_ms)) << i;
	watch_on(&watch);
	EXPECT_LE(watch.most(), limit);
	expect_true_refusals();
}

// Twelve of red's 42 callers and all eight of blue's have room at once. Their
// requests are long: the time between two of one caller, which a busy host
// draws out, is no part of what the engine holds.
TEST_F(ProofTeamLimit, LeavesAnotherTeamItsShare)
{
	const int blue_callers = 8;
	const int tokens = 4 * 128;
	Watch watch(engine);

	for (int i = 0; i < daemons; i++)
		push(i, callers, tokens);
	other.start(rig.daemons[0]->batch, blue, blue_callers, tokens);
	ASSERT_TRUE(wait_until(settle_ms, [&] { return watch.most() > 15; }));
	int blue_before = other.answered;
	int red_before = answered();
	watch_on(&watch, 4 * watch_ms);
	double blue_done = other.answered - blue_before;
	double red_done = answered() - red_before;
	EXPECT_LE(watch.most(), limit + blue_callers);
	EXPECT_GE(blue_done / (blue_done + red_done),
		  0.9 * blue_callers / (limit + blue_callers));
	EXPECT_GE(watch.mean() - limit, 0.9 * blue_callers);
	EXPECT_EQ(0, other.refused);
	printf("[ figures  ] blue: %.2f of its share of the answers\n",
	       blue_done / (blue_done + red_done) * (limit + blue_callers) /
		       blue_callers);
	expect_true_refusals();
}

TEST_F(ProofTeamLimit, PartOfAKilledDaemonIsTakenOver)
{
	Watch watch(engine);

	for (int i = 0; i < daemons; i++)
		push(i);
	ASSERT_TRUE(wait_until(settle_ms, [&] { return watch.most() > 8; }));
	watch_on(&watch);
	rig.daemons[2]->process.kill();
	team[2].stop();
	// Still listed, it may be cut off only: its equal part is left to it.
	watch_on(&watch);
	EXPECT_LE(watch.most(), limit);
	EXPECT_LE(part(0) + part(1), limit * 2 / 3);
	rig.remove_host("entry-3");
	int64_t begin_ms = steady_now_ms();
	watch.restart();
	EXPECT_TRUE(wait_part(0, limit / 2, settle_ms));
	EXPECT_TRUE(wait_part(1, limit / 2, settle_ms));
	printf("[ figures  ] taken over %d ms after the list dropped it\n",
	       (int)(steady_now_ms() - begin_ms));
	watch_on(&watch);
	EXPECT_LE(watch.most(), limit);
	EXPECT_GE(watch.mean(), 0.8 * limit);
	expect_true_refusals();
}

TEST_F(ProofTeamLimit, HoldsOnBothSidesOfACut)
{
	Watch watch(engine);

	// The daemon that is cut off has been lent the whole limit.
	push(2);
	ASSERT_TRUE(wait_part(2, limit, settle_ms));
	push(0, 0);
	put_peer(2, "127.0.0.2:1");
	watch.restart();
	ASSERT_TRUE(wait_part(2, limit / daemons, settle_ms));
	push(0);
	push(1);
	EXPECT_TRUE(wait_part(0, limit / daemons, cut_ms));
	EXPECT_TRUE(wait_part(1, limit / daemons, cut_ms));
	watch_on(&watch);
	EXPECT_LE(watch.most(), limit);
	EXPECT_GE(watch.mean(), 0.8 * limit);
	printf("[ figures  ] cut: most %d, mean %.1f of %d\n",
	       (int)watch.most(), watch.mean(), (int)limit);
	// After the cut they split by demand again.
	put_peer(2, rig.daemons[2]->peer);
	team[0].stop();
	team[1].stop();
	EXPECT_TRUE(wait_part(2, limit, cut_ms));
	EXPECT_LE(watch.most(), limit);
	expect_true_refusals();
}

class ProofTeamLimitMany : public ProofTeamLimit
{
      protected:
	ProofTeamLimitMany() : ProofTeamLimit(many_daemons, many_limit)
	{
	}
};

TEST_F(ProofTeamLimitMany, HoldsOverTwelveDaemons)
{
	Watch watch(engine);

	// All of the demand at a third of the daemons, then at another third.
	for (int i = 0; i < 4; i++)
		push(i);
	for (int i = 0; i < 4; i++)
		EXPECT_TRUE(wait_part(i, many_limit / 4, settle_ms)) << i;
	watch_on(&watch);
	EXPECT_LE(watch.most(), many_limit);
	EXPECT_GE(watch.mean(), 0.8 * many_limit);
	printf("[ figures  ] twelve: most %d, mean %.1f of %d\n",
	       (int)watch.most(), watch.mean(), (int)many_limit);
	watch.restart();
	for (int i = 0; i < 4; i++)
		push(i + 4);
	for (int i = 0; i < 4; i++)
		team[i].stop();
	for (int i = 4; i < 8; i++)
		EXPECT_TRUE(wait_part(i, many_limit / 4, 2 * settle_ms)) << i;
	EXPECT_LE(watch.most(), many_limit);
	printf("[ figures  ] twelve, demand moves: most %d of %d\n",
	       (int)watch.most(), (int)many_limit);
	expect_true_refusals();
}
