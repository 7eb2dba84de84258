#include "soak/world.h"

#include <signal.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "soak/call.h"

static const int64_t FAULTS_FROM_MS = 1000;
static const int64_t FAULTS_TO_MS = 7000;
static const int64_t RECOVERY_MS = 5000;
static const int64_t RECOVERED_FOR_MS = 1500;
static const int64_t SETTLE_LIMIT_MS = 15000;
static const int64_t ENTRY_TTL_MS = 1200;
static const int64_t SERVER_DOWN_MS = 700;
static const int64_t THAW_MS = 300; // as the platform's pages have it
static const int MAIN_LIMIT_MS = 50; // from a program's start to main()

struct World::Host {
	Host(TestReactor *loop, const TempDir &dir, int number,
	     const std::string &store)
	    : daemon(loop, dir, number, store)
	{
	}

	DaemonProcess daemon;
	bool expected = false; // to run
	bool stopping = false;
	int64_t healed_ms = -10000; // thawed, or its link works again
};

ServerReply World::run_bad(EndingServer *engine, const ServerSaw &saw)
{
	ServerReply reply;

	callers_->on_bad_run(saw.id);
	reply.hang = true;
	engine->end();
	return reply;
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
 "services":[{"name":"p"},{"name":"e","engine":{"slots":8,
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

void World::add(int64_t at_ms, const std::string &name,
		const std::function<void()> &act)
{
	faults_.push_back({ at_ms, name, act });
	faults_end_ms_ = std::max(faults_end_ms_, at_ms);
}

void World::disturb(int daemon, int64_t for_ms)
{
	int64_t &until = weather_.disturbed_until_ms[(size_t)daemon];

	until = std::max(until, history_.now_ms() + for_ms);
}

static int64_t between(struct rng *rng, int64_t from, int64_t to)
{
	return from + (int64_t)rng_below(rng, (uint64_t)(to - from));
}

void World::plan_daemon(int64_t at_ms, int number)
{
	Host *host = hosts_[(size_t)number].get();
	DaemonProcess *daemon = &host->daemon;
	int64_t for_ms = between(&rng_, 200, 2500);

	switch (between(&rng_, 0, 5)) {
	case 0:
		add(at_ms, "kill " + daemon->name, [=] {
			disturb(number, for_ms);
			host->expected = false;
			daemon->process->kill();
		});
		add(at_ms + for_ms, "restart " + daemon->name, [=] {
			if (!daemon->process->running())
				start_daemon(number, false);
		});
		return;
	case 1:
		add(at_ms, "pause " + daemon->name, [=] {
			disturb(number, for_ms);
			if (daemon->process->running())
				daemon->process->pause();
		});
		add(at_ms + for_ms, "resume " + daemon->name, [=] {
			callers_->forget_leaving(number);
			host->healed_ms = history_.now_ms();
			if (daemon->process->running())
				daemon->process->resume();
		});
		return;
	case 2:
		add(at_ms, "term " + daemon->name, [=] {
			weather_.stopping_since_ms[(size_t)number] =
				history_.now_ms();
			host->stopping = true;
			host->expected = false;
			if (daemon->process->running())
				daemon->process->signal(SIGTERM);
		});
		faults_end_ms_ = std::max(faults_end_ms_, at_ms + 3500);
		return;
	case 3:
		add(at_ms, "hup " + daemon->name, [=] {
			// Before main() it would end any program.
			if (daemon->process->wait_until(MAIN_LIMIT_MS, [=] {
				    return daemon->process->holds(SIGHUP);
			    }))
				daemon->process->signal(SIGHUP);
		});
		return;
	default:
		break;
	}
	LinkFault fault = (LinkFault)between(&rng_, 1, 5);

	add(at_ms,
	    "store link of " + daemon->name + " " + link_fault_name(fault),
	    [=] {
		    disturb(number, for_ms);
		    daemon->link->set_fault(fault);
	    });
	add(at_ms + for_ms, "store link of " + daemon->name + " heals", [=] {
		host->healed_ms = history_.now_ms();
		daemon->link->set_fault(LinkFault::NONE);
	});
}

void World::plan_store(int64_t at_ms)
{
	int64_t for_ms = between(&rng_, 300, 2500);
	int64_t kind = between(&rng_, 0, 6);
	static const ::Fault faults[] = { ::Fault::REFUSED, ::Fault::SILENT,
					  ::Fault::LOST, ::Fault::LATE };

	if (kind == 4) {
		add(at_ms, "store answers stale", [=] {
			weather_.store_disturbed_until_ms =
				history_.now_ms() + for_ms;
			store_.topics.stale_records = 2;
		});
		add(at_ms + for_ms, "store answers in time",
		    [=] { store_.topics.stale_records = 0; });
		return;
	}
	if (kind == 5) {
		add(at_ms, "store forgets history", [=] {
			for (const char *topic :
			     { "keyed.servers", "keyed.hosts", "keyed.op" })
				store_.topics.forget(
					topic, 0,
					store_.topics.partition(topic, 0)
						.records.size());
		});
		return;
	}
	double share = kind < 2 ? 1 : 0.3;
	::Fault fault = faults[kind];

	add(at_ms, "store fails, kind " + std::to_string(kind), [=] {
		weather_.store_disturbed_until_ms = history_.now_ms() + for_ms;
		store_.topics.faults = [=](const std::string &of,
					   const std::string &) {
			bool strikes = rng_unit(&rng_) < share &&
				       (kind < 2 || of == "append");

			return strikes ? fault : ::Fault::NONE;
		};
	});
	add(at_ms + for_ms, "store works",
	    [=] { store_.topics.faults = nullptr; });
	add(at_ms + for_ms + 1000, "store carries out what is late",
	    [=] { store_.topics.carry_out_late(); });
}

// The server says so in its answers, and the store doesn't; then it ends, and
// another process comes in its place.
void World::plan_leaving(int64_t at_ms, EndingServer *engine)
{
	int64_t for_ms = between(&rng_, 500, 2500);
	std::string id = engine->server.id();

	add(at_ms, "server " + id + " is leaving",
	    [=] { engine->leaving = true; });
	add(at_ms + for_ms, "server " + id + " has left", [=] {
		weather_.engines_disturbed_until_ms =
			std::max(weather_.engines_disturbed_until_ms,
				 history_.now_ms() + SERVER_DOWN_MS);
		engine->link.set_fault(LinkFault::RESET);
		engine->leave();
	});
	add(at_ms + for_ms + SERVER_DOWN_MS, "server " + id + " is back", [=] {
		engine->leaving = false;
		engine->link.set_fault(LinkFault::NONE);
		engine->born_ms++;
		callers_->forget_leaving(id);
		engine->enter();
	});
}

void World::plan_server(int64_t at_ms)
{
	int64_t for_ms = between(&rng_, 200, 2000);
	EndingServer *engine =
		engines_[(size_t)between(&rng_, 0, (int64_t)engines_.size())]
			.get();
	LinkFault fault = (LinkFault)between(&rng_, 1, 5);
	bool dies = rng_unit(&rng_) < 0.4;
	std::string id = engine->server.id();

	if (rng_unit(&rng_) < 0.3) {
		plan_leaving(at_ms, engine);
		return;
	}
	if (dies)
		fault = LinkFault::RESET;
	add(at_ms, "link of server " + id + " " + link_fault_name(fault), [=] {
		weather_.engines_disturbed_until_ms =
			std::max(weather_.engines_disturbed_until_ms,
				 history_.now_ms() + for_ms);
		engine->link.set_fault(fault);
	});
	if (dies) {
		for_ms += ENTRY_TTL_MS;
		add(at_ms + ENTRY_TTL_MS, "entry of " + id + " lapses",
		    [=] { engine->leave(); });
	}
	add(at_ms + for_ms, "server " + id + " is back", [=] {
		engine->link.set_fault(LinkFault::NONE);
		engine->born_ms++;
		callers_->forget_leaving(id);
		if (dies)
			engine->enter();
	});
}

void World::plan_power_loss(int64_t at_ms)
{
	add(at_ms, "all daemons lose power", [=] {
		for (auto &host : hosts_) {
			disturb(host->daemon.number, 400);
			host->expected = false;
			host->daemon.process->kill();
		}
	});
	add(at_ms + 400, "all daemons start", [=] {
		for (auto &host : hosts_)
			if (!host->daemon.process->running())
				start_daemon(host->daemon.number, false);
	});
}

// Series and overlaps: each fault begins whatever else goes on.
void World::plan()
{
	int64_t count = between(&rng_, 4, 16);

	for (int64_t i = 0; i < count; i++) {
		int64_t at_ms = between(&rng_, FAULTS_FROM_MS, FAULTS_TO_MS);
		double kind = rng_unit(&rng_);

		if (kind < 0.5)
			plan_daemon(at_ms, (int)between(&rng_, 0, DAEMONS));
		else if (kind < 0.7)
			plan_store(at_ms);
		else if (kind < 0.93)
			plan_server(at_ms);
		else
			plan_power_loss(at_ms);
	}
	std::stable_sort(faults_.begin(), faults_.end(),
			 [](const Fault &a, const Fault &b) {
				 return a.at_ms < b.at_ms;
			 });
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
