// Guarantee: a request that has crashed three servers reaches servers in at
// most three more attempts, whichever host receives it. The daemons are
// processes; a server that crashes closes all its connections, as a process
// does.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "soak/daemon_process.h"
#include "soak/ending_server.h"

extern "C" {
#include "net/net_client.h"
}

namespace
{

const int64_t PROPAGATION_MS = 3000; // the platform's bound
const size_t LATE_ATTEMPTS_MAX = 3; // the platform's bound
const int64_t DOWN_MS = 1000; // until a crashed server restarts
const int64_t CRASHING_PERIOD_MS = 300;
const int64_t HARMLESS_PERIOD_MS = 15;
const int64_t SEND_FOR_MS = 4000; // after the bound
const int64_t LIMIT_MS = 20000; // for three servers to crash

struct ScenarioCase {
	const char *name;
	char kind; // of the request: i idempotent, o non-idempotent, r stream
	int max_attempts;
	int daemons;
	bool store_down; // for a while, from the first crash on
	bool daemons_killed; // all of them, after three crashes
	int long_requests; // harmless requests in flight at each crash
	bool partly_failing; // some answers are 500 to requests not run
};

class Scenario
{
      public:
	explicit Scenario(const ScenarioCase &c);
	~Scenario();

	bool start();
	// Sends the request until SEND_FOR_MS after the bound.
	void run();
	std::set<std::string> late_attempts() const;
	// The hosts' log lines about crashes, except rejections, which repeat.
	std::string crash_lines() const;
	size_t crashes() const
	{
		return crashes_ms_.size();
	}
	// Share of the harmless requests sent after the bound that got 200.
	double harmless_share() const;

      private:
	struct Call;
	struct CallHooks;

	void configure();
	ServerReply serve(EndingServer *server, const ServerSaw &saw);
	void send(const std::string &path, const std::string &id, int daemon);
	void finish(Call *call, int status);
	void step();
	void inject_faults();
	int64_t bound_ms() const;
	void run_until_ms(int64_t at_ms);
	int64_t now_ms() const
	{
		return history_.now_ms();
	}

	const ScenarioCase &case_;
	TempDir dir_;
	TestReactor loop_;
	History history_;
	StoreStandin store_;
	struct net_pool pool_;
	std::vector<std::unique_ptr<DaemonProcess>> daemons_;
	std::vector<std::unique_ptr<EndingServer>> servers_;
	std::set<Call *> calls_;
	std::vector<int64_t> crashes_ms_;
	std::map<std::string, int64_t> arrivals_ms_; // the last, by attempt id
	int64_t reconnected_ms_ = 0; // end of the injected fault
	int64_t next_crashing_ms_ = 0, next_harmless_ms_ = 0;
	int next_ = 0;
	int long_running_ = 0;
	struct rng rng_;
	uint32_t harmless_ok_ = 0, harmless_failed_ = 0;
};

struct Scenario::Call {
	struct net_call net = {};
	Scenario *scenario;
	std::string address, head;
	bool is_harmless, is_long;
	int status = 0;
	int64_t sent_ms;
};

struct Scenario::CallHooks {
	static enum net_head_verdict on_head(struct net_call *net)
	{
		((Call *)net)->status = net->answer->status;
		return NET_HEAD_ACCEPT;
	}

	static int on_body(struct net_call *, const char *, size_t)
	{
		return 0;
	}

	static void on_done(struct net_call *net, enum net_outcome outcome)
	{
		Call *call = (Call *)net;

		call->scenario->finish(
			call, outcome == NET_ANSWERED ? call->status : 0);
	}
};

Scenario::Scenario(const ScenarioCase &c)
    : case_(c), history_(&loop_.reactor), store_(&loop_, &history_)
{
	struct net_pool_settings settings = test_pool_settings();

	net_pool_init(&pool_, &loop_.reactor, &settings);
	rng_init(&rng_, 19);
	for (int i = 0; i < c.daemons; i++)
		daemons_.emplace_back(
			new DaemonProcess(&loop_, dir_, i, store_.address()));
	for (int i = 0; i < 6; i++) {
		EndingServer *server = new EndingServer(&loop_, &store_,
							"s" + std::to_string(i),
							"p", 64, "", DOWN_MS);

		servers_.emplace_back(server);
		server->on_end = [this] { crashes_ms_.push_back(now_ms()); };
		server->server.behaviour = [this,
					    server](const ServerSaw &saw) {
			return serve(server, saw);
		};
	}
	configure();
}

Scenario::~Scenario()
{
	while (!calls_.empty()) {
		Call *call = *calls_.begin();

		net_call_cancel(&call->net);
		calls_.erase(call);
		delete call;
	}
	net_pool_finish(&pool_);
	daemons_.clear();
}

void Scenario::configure()
{
	std::string attempts = std::to_string(case_.max_attempts);
	auto route = [&](const char *path, const char *type) {
		return std::string("{\"name\":\"") + path +
		       "\",\"host\":\"h\",\"path_prefix\":\"/" + path +
		       "/\",\"type\":\"" + type +
		       "\",\"resumable\":true,\"timeout_ms\":3000,"
		       "\"goal_ms\":300,\"max_attempts\":" +
		       attempts + ",\"service\":\"p\"}";
	};

	store_.topics.put(
		"keyed.op", "config",
		"{\"version\":1,\"routes\":[" + route("i", "idempotent") + "," +
			route("o", "non_idempotent") + "," +
			route("r", "stream") +
			"],\"services\":[{\"name\":\"p\"}],\"limits\":{"
			"\"max_header_bytes\":4000,\"max_body_bytes\":1000000,"
			"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
			"\"tenants\":[{\"name\":\"red\",\"api_keys\":[\"k1\"]}"
			"]}");
}

ServerReply Scenario::serve(EndingServer *server, const ServerSaw &saw)
{
	ServerReply reply;

	reply.delay_ms = 5;
	if (saw.target.find("/bad") == std::string::npos) {
		if (saw.target.find("/long") != std::string::npos)
			reply.delay_ms = 2500;
		return reply;
	}
	arrivals_ms_[saw.id] = now_ms();
	if (case_.partly_failing && rng_unit(&rng_) < 0.4) {
		reply.status = 500;
		return reply;
	}
	reply.hang = true;
	server->end();
	return reply;
}

void Scenario::send(const std::string &path, const std::string &id, int daemon)
{
	static const struct net_call_vtable vtable = { CallHooks::on_head,
						       CallHooks::on_body,
						       CallHooks::on_done };
	Call *call = new Call();

	call->scenario = this;
	call->is_harmless = path.find("/bad") == std::string::npos;
	call->is_long = path.find("/long") != std::string::npos;
	call->sent_ms = now_ms();
	call->address = daemons_[(size_t)daemon]->callers();
	call->head = "POST " + path +
		     " HTTP/1.1\r\nHost: h\r\nApi-Key: k1\r\n"
		     "X-Attempt-Id: " +
		     id +
		     "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\n";
	call->net.vt = &vtable;
	call->net.address = call->address.c_str();
	call->net.head = call->head.data();
	call->net.head_len = call->head.size();
	call->net.body = "body";
	call->net.body_len = 4;
	calls_.insert(call);
	long_running_ += call->is_long;
	net_call_start(&pool_, &call->net);
}

void Scenario::finish(Call *call, int status)
{
	if (call->is_harmless && !call->is_long && call->sent_ms >= bound_ms())
		(status == 200 ? harmless_ok_ : harmless_failed_)++;
	long_running_ -= call->is_long;
	calls_.erase(call);
	delete call;
}

int64_t Scenario::bound_ms() const
{
	int64_t third_ms = crashes_ms_.size() < 3 ? INT64_MAX / 2
						  : crashes_ms_[2];

	// Restarted hosts read back the crashes published before the kill.
	if (case_.daemons_killed)
		return reconnected_ms_ ? reconnected_ms_ : INT64_MAX / 2;
	return std::max(third_ms, reconnected_ms_) + PROPAGATION_MS;
}

bool Scenario::start()
{
	for (auto &daemon : daemons_)
		daemon->start(true);
	return loop_.run_until(
		[this] {
			for (auto &daemon : daemons_)
				if (!daemon->is_ready())
					return false;
			return true;
		},
		20000);
}

// Callers use any host; their connections stay open.
void Scenario::step()
{
	int daemon = (int)rng_below(&rng_, daemons_.size());
	std::string id = std::to_string(next_++);

	loop_.run_for(5);
	if (now_ms() >= next_harmless_ms_) {
		next_harmless_ms_ = now_ms() + HARMLESS_PERIOD_MS;
		send("/i/ok" + id, "ok" + id, daemon);
	}
	if (long_running_ < case_.long_requests)
		send("/i/long" + id, "long" + id, daemon);
	if (now_ms() >= next_crashing_ms_) {
		next_crashing_ms_ = now_ms() + CRASHING_PERIOD_MS;
		send(std::string("/") + case_.kind + "/bad", "bad" + id,
		     daemon);
	}
}

void Scenario::run_until_ms(int64_t at_ms)
{
	while (now_ms() < at_ms)
		step();
}

void Scenario::inject_faults()
{
	if (case_.store_down)
		for (auto &daemon : daemons_)
			daemon->link->set_fault(LinkFault::SILENT);
	if (case_.daemons_killed)
		for (auto &daemon : daemons_)
			daemon->process->kill();
	run_until_ms(now_ms() + 1500);
	for (auto &daemon : daemons_) {
		daemon->link->set_fault(LinkFault::NONE);
		if (case_.daemons_killed)
			daemon->start(false);
	}
	reconnected_ms_ = now_ms();
}

void Scenario::run()
{
	size_t crashes_before = case_.store_down ? 1 : 3;
	int64_t limit_ms;

	// By then, the daemons keep open connections to the servers.
	next_crashing_ms_ = now_ms() + 300;
	limit_ms = now_ms() + LIMIT_MS;
	while (crashes_ms_.size() < crashes_before && now_ms() < limit_ms)
		step();
	// By then, the last crash is published.
	run_until_ms(now_ms() + (case_.daemons_killed ? 700 : 0));
	if (case_.store_down || case_.daemons_killed)
		inject_faults();
	while (crashes_ms_.size() < 3 && now_ms() < limit_ms)
		step();
	run_until_ms(bound_ms() + SEND_FOR_MS);
}

std::set<std::string> Scenario::late_attempts() const
{
	std::set<std::string> late;

	for (const auto &arrival : arrivals_ms_)
		if (arrival.second > bound_ms())
			late.insert(arrival.first);
	return late;
}

std::string Scenario::crash_lines() const
{
	std::string lines;

	for (const auto &daemon : daemons_)
		for (int i = 1; i <= daemon->starts; i++) {
			std::istringstream in(daemon->output(i));
			std::string line;

			while (std::getline(in, line))
				if (line.find(" part=crashes ") !=
					    std::string::npos &&
				    line.find("event=refused") ==
					    std::string::npos)
					lines += line + "\n";
		}
	return lines;
}

double Scenario::harmless_share() const
{
	return (double)harmless_ok_ /
	       std::max(1u, harmless_ok_ + harmless_failed_);
}

class ProofCrashingRequest : public ::testing::TestWithParam<ScenarioCase>
{
};

const ScenarioCase scenarios[] = {
	{ "OneHost", 'i', 1, 1, false, false, 0, false },
	{ "ManyHosts", 'i', 1, 4, false, false, 0, false },
	{ "SeveralServersInOneAttempt", 'i', 3, 3, false, false, 0, false },
	{ "RunsOnce", 'o', 1, 3, false, false, 0, false },
	{ "AsAStream", 'r', 2, 3, false, false, 0, false },
	{ "StoreAway", 'i', 2, 3, true, false, 0, false },
	{ "HostsKilled", 'i', 2, 3, false, true, 0, false },
	{ "ManyRunsCutAtOnce", 'i', 1, 3, false, false, 120, false },
	{ "ServersHalfSound", 'i', 1, 3, false, false, 0, true },
};

} // namespace

TEST_P(ProofCrashingRequest, IsHeldBackAfterThreeEnds)
{
	Scenario scenario(GetParam());

	ASSERT_TRUE(scenario.start());
	scenario.run();
	EXPECT_GE(scenario.crashes(), 3u) << "the request reaches no server";
	EXPECT_LE(scenario.late_attempts().size(), LATE_ATTEMPTS_MAX);
	EXPECT_GE(scenario.harmless_share(), 0.95);
	std::cout << GetParam().name << ": " << scenario.crashes() << " ends, "
		  << scenario.late_attempts().size() << " late attempts, sound "
		  << scenario.harmless_share() << "\n";
	if (HasFailure())
		std::cout << scenario.crash_lines();
}

INSTANTIATE_TEST_SUITE_P(
	Scenes, ProofCrashingRequest, ::testing::ValuesIn(scenarios),
	[](const ::testing::TestParamInfo<ScenarioCase> &info) {
		return std::string(info.param.name);
	});
