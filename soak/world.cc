#include "soak/world.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "soak/call.h"
#include "soak/world_host.h"

static const int64_t RECOVERY_MS = 5000;
static const int64_t RECOVERED_FOR_MS = 1500;
static const int64_t SETTLE_LIMIT_MS = 15000;
static const int64_t THAW_MS = 300; // as the platform's pages have it

ServerReply World::run_bad(EndingServer *engine, const ServerSaw &saw)
{
	callers_->on_bad_run(saw.id);
	engine->end();
	return hang_reply();
}

void World::on_server_end(const std::string &id)
{
	callers_->on_server_end();
	callers_->forget_leaving(id);
	weather_.engines_disturbed_until_ms =
		std::max(weather_.engines_disturbed_until_ms,
			 history_.now_ms() + SERVER_DOWN_MS);
}

World::World(uint64_t seed)
    : seed_(seed), history_(&loop_.reactor), store_(&loop_, &history_)
{
	std::vector<std::string> addresses;

	rng_init(&rng_, seed);
	for (int i = 0; i < DAEMONS; i++) {
		hosts_.emplace_back(
			new Host(&loop_, dir_, i, store_.address()));
		addresses.push_back(hosts_.back()->daemon.callers());
		weather_.disturbed_until_ms.push_back(-10000);
		weather_.stopping_since_ms.push_back(-1);
	}
	weather_.store_disturbed_until_ms = -10000;
	weather_.engines_disturbed_until_ms = -10000;
	callers_.reset(
		new Callers(&loop_, &history_, &weather_, addresses, seed));
	for (int i = 0; i < PLAIN_SERVERS + ENGINES; i++)
		add_engine(i, i < PLAIN_SERVERS ? "p" : "e");
	configure();
	store_.fencing = seed % 2 == 0;
	store_.is_excused = [this](const std::string &holder) {
		return is_excused(holder);
	};
}

// Whether a call may come late because of what became of its sender.
bool World::is_excused(const std::string &holder)
{
	int64_t now_ms = history_.now_ms();

	if (now_ms < weather_.store_disturbed_until_ms + SETTLE_MS)
		return true;
	for (auto &host : hosts_)
		if (host->daemon.name == holder)
			return now_ms < host->healed_ms + THAW_MS;
	return false;
}

World::~World()
{
	callers_.reset();
	for (auto &host : hosts_)
		host->daemon.process.reset();
}

void World::configure()
{
	store_.topics.put("keyed.op", "config", R"({"version":1,"routes":[
 {"name":"batch","host":"h","path_prefix":"/b/","type":"rollout",
  "timeout_ms":9000,"goal_ms":300,"max_attempts":9,"due_ms":2000,
  "retention_s":60,"sticky":true,"resumable":true,"service":"e"},
 {"name":"score","host":"h","path_prefix":"/s/","type":"idempotent",
  "timeout_ms":1500,"goal_ms":300,"max_attempts":3,"service":"p"},
 {"name":"idem","host":"h","path_prefix":"/i/","type":"idempotent",
  "timeout_ms":1500,"goal_ms":300,"max_attempts":2,"service":"p"},
 {"name":"once","host":"h","path_prefix":"/o/","type":"non_idempotent",
  "timeout_ms":1500,"goal_ms":300,"max_attempts":2,"service":"p"},
 {"name":"resume","host":"h","path_prefix":"/r/","type":"stream",
  "resumable":true,"timeout_ms":1500,"goal_ms":300,"max_attempts":2,
  "service":"p"}],
 "services":[{"name":"p"},{"name":"c","cold_s":1,"cold_per_s":9},
  {"name":"e","engine":{"slots":8,
  "kv_capacity":100000,"stride":2,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":4000,"max_body_bytes":1000000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"red","api_keys":["k1"]}]})");
}

void World::add_engine(int number, const std::string &service)
{
	std::string id = service + std::to_string(number);
	EndingServer *engine = new EndingServer(
		&loop_, &store_, id, service, 8,
		service == "e" ? "{\"name\":\"m\",\"version\":1}" : "",
		SERVER_DOWN_MS);

	engines_.emplace_back(engine);
	engine->on_end = [this, id] { on_server_end(id); };
	engine->server.behaviour = [this, id, engine](const ServerSaw &saw) {
		ServerReply reply;

		if (saw.target == "/i/bad")
			return run_bad(engine, saw);
		reply.delay_ms = 5;
		reply.leaving = engine->leaving;
		if (saw.target == "/s/x") {
			if (!callers_->on_reward(saw.id, id, saw.body))
				reply.status = 500;
			return reply;
		}
		reply.events = callers_->on_run(saw.id, id, saw.target,
						saw.team, saw.key, saw.body);
		reply.stream = saw.target[1] == 'b' || saw.target[1] == 'r';
		reply.interval_ms = saw.target[1] == 'b' ? EVENT_MS : 3;
		reply.body = "done " + saw.id;
		if (reply.leaving)
			callers_->on_leaving_answer(saw.id);
		return reply;
	};
}

void World::start_daemon(int number, bool first)
{
	Host *host = hosts_[(size_t)number].get();

	host->daemon.start(first);
	callers_->forget_leaving(number);
	host->expected = true;
	host->stopping = false;
	weather_.stopping_since_ms[(size_t)number] = -1;
	history_.note("daemon " + host->daemon.name + " starts");
}

bool World::wait_ready()
{
	return loop_.run_until(
		[this] {
			for (auto &host : hosts_)
				if (!host->daemon.is_ready())
					return false;
			return true;
		},
		20000);
}

// A daemon that was stopped starts again; none ends by itself.
void World::look_after_daemons()
{
	for (auto &host : hosts_) {
		DaemonProcess *daemon = &host->daemon;

		if (daemon->process->running())
			continue;
		if (host->expected) {
			history_.violation("ENDED: " + daemon->name +
					   " ended by itself");
			disturb(daemon->number, 0);
		}
		if (host->expected || host->stopping)
			start_daemon(daemon->number, false);
	}
}

void World::play(int64_t until_ms)
{
	while (history_.now_ms() < began_ms_ + until_ms) {
		loop_.run_for(5);
		while (!faults_.empty() &&
		       history_.now_ms() >= began_ms_ + faults_[0].at_ms) {
			Fault fault = faults_[0];

			faults_.erase(faults_.begin());
			history_.note("fault: " + fault.name);
			fault.act();
		}
		look_after_daemons();
	}
}

// Once nothing is disturbed any more, nearly everything is served again.
void World::check_recovery()
{
	uint32_t asked = callers_->answered + callers_->failed;

	history_.note("after all faults " + std::to_string(callers_->answered) +
		      " of " + std::to_string(asked) + " are served");
	if (callers_->answered < asked * 95 / 100 || !asked)
		history_.violation(
			"RECOVER: " + std::to_string(callers_->answered) +
			" of " + std::to_string(asked) + " are served");
	if (store_.reported().empty())
		history_.violation("RECOVER: no usage was reported");
}

bool World::run(bool with_faults, const std::string &plant)
{
	int64_t end_ms;

	for (int i = 0; i < DAEMONS; i++)
		start_daemon(i, true);
	if (!wait_ready()) {
		history_.violation("RECOVER: the daemons don't get ready");
		return false;
	}
	began_ms_ = history_.now_ms();
	callers_->plant = plant;
	store_.plant_turns = plant == "duty_turns";
	store_.fencing = store_.fencing && !store_.plant_turns;
	callers_->start();
	if (with_faults)
		plan();
	else
		faults_end_ms_ = 1000;
	play(faults_end_ms_ + RECOVERY_MS);
	callers_->clear_counts();
	play(faults_end_ms_ + RECOVERY_MS + RECOVERED_FOR_MS);
	check_recovery();
	callers_->stop_sending();
	end_ms = history_.now_ms() - began_ms_ + SETTLE_LIMIT_MS;
	while (!callers_->is_settled() &&
	       history_.now_ms() - began_ms_ < end_ms)
		play(history_.now_ms() - began_ms_ + 50);
	callers_->check_end();
	return history_.violations.empty();
}

void World::keep(const std::string &folder) const
{
	std::filesystem::create_directories(folder);
	history_.write(folder + "/history");
	for (const auto &host : hosts_)
		for (int i = 1; i <= host->daemon.starts; i++)
			std::ofstream(folder + "/" + host->daemon.name + "." +
				      std::to_string(i))
				<< host->daemon.output(i);
}
