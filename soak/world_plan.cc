// The faults that a seed plans, and how each of them is done and undone.
#include <signal.h>

#include <algorithm>

#include "soak/call.h"
#include "soak/world_host.h"

static const int64_t FAULTS_FROM_MS = 1000;
static const int64_t FAULTS_TO_MS = 7000;
static const int64_t ENTRY_TTL_MS = 1200;
static const int MAIN_LIMIT_MS = 50; // from a program's start to main()

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
