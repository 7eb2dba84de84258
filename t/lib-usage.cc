#include "t/lib-usage.h"

#include <cstring>

static const uint32_t WINDOW_S = 10;
static const uint32_t GRACE_S = 5;
static const int64_t FLUSH_NS = 2 * NS_PER_S;
static const int64_t LEASE_NS = 3 * NS_PER_S;

int Receiver::take(const struct usage_window *window, uint64_t epoch)
{
	std::string partition = window->partition;
	std::string key = partition + "/" + std::to_string(window->start_s);
	Held report = { "", 0, 0 };

	for (uint32_t i = 0; i < window->figure_count; i++) {
		const struct usage_figure *figure = &window->figures[i];

		report.figures += std::string(figure->team) + ":" +
				  std::to_string(figure->requests) + ":" +
				  std::to_string(figure->completion_tokens) +
				  ":" + std::to_string(figure->late_requests) +
				  ";";
		report.requests += figure->requests;
		report.late += figure->late_requests;
	}
	reports++;
	epoch_regressions += epoch < epochs[partition];
	epochs[partition] = epoch;
	if (held.count(key) && held[key].figures != report.figures) {
		conflicts++;
		return -1;
	}
	held[key] = report;
	return 0;
}

uint64_t Receiver::requests() const
{
	uint64_t sum = 0;

	for (const auto &window : held)
		sum += window.second.requests;
	return sum;
}

uint64_t Receiver::late() const
{
	uint64_t sum = 0;

	for (const auto &window : held)
		sum += window.second.late;
	return sum;
}

static int fake_report(struct usage_port *port,
		       const struct usage_window *window, uint64_t epoch,
		       int64_t deadline_ns, struct error *err)
{
	struct with_self {
		struct usage_port port;
		UsageDaemon *self;
	};
	UsageDaemon *self = reinterpret_cast<struct with_self *>(port)->self;

	if (self->before_send)
		self->before_send();
	// Mimics client/send_guard.c.
	if (!self->guard_off && self->daemon.clock.now_ns >= deadline_ns)
		return error_set(err, ERROR_UNAVAILABLE, "lease has ended");
	if (self->dead || self->receiver_down)
		return error_set(err, ERROR_UNAVAILABLE, "cannot connect");
	int ret = self->world->receiver.take(window, epoch);
	if (self->after_send)
		self->after_send();
	if (self->dead || self->lose_answers-- > 0)
		return error_set(err, ERROR_UNKNOWN_OUTCOME, "no answer");
	if (ret)
		return error_set(err, ERROR_CONFLICT, "other figures");
	return 0;
}

static const struct usage_port_vtable fake_vtable = { fake_report, nullptr };

UsageDaemon::UsageDaemon(UsageWorld *world, FakeLog *log,
			 const std::string &name, uint64_t incarnation,
			 const std::string &data_centre)
    : world(world), daemon(log, name, incarnation),
      lease("usage/" + data_centre)
{
	struct log_part part = { nullptr, "usage" };
	struct usage_schedule schedule = { WINDOW_S, GRACE_S };
	struct lease_timing timing;

	lease_timing_init(&timing, LEASE_NS);
	timing.longest_order_ns = NS_PER_S;
	adapter.port.vt = &fake_vtable;
	adapter.self = this;
	timer_service_init(&timers, &daemon.clock.base);
	lease_keeper_init(&keeper, &daemon.client, &daemon.clock.base, &timers,
			  &timing, &part);
	usage_meter_init(&meter, WINDOW_S, nullptr);
	usage_flush_init(&flush, &daemon.client, &meter, data_centre.c_str(),
			 FLUSH_NS, nullptr);
	usage_reporter_init(&reporter, &daemon.client, &keeper, &adapter.port,
			    &daemon.clock.base, data_centre.c_str(), &schedule,
			    nullptr, &part);
}

UsageDaemon::~UsageDaemon()
{
	usage_reporter_finish(&reporter);
	usage_flush_finish(&flush);
	usage_meter_finish(&meter);
	lease_keeper_finish(&keeper);
	timer_service_finish(&timers);
}

void UsageDaemon::step()
{
	daemon.read();
	timer_service_run_due(&timers);
	usage_flush_step(&flush, daemon.clock.now_ns);
	usage_reporter_step(&reporter, world->wall_s);
	if (dead)
		return;
	daemon.append();
	daemon.read();
}

bool UsageDaemon::holds()
{
	struct lease_hold hold;

	return lease_keeper_held(&keeper, lease.c_str(), daemon.clock.now_ns,
				 &hold);
}

void UsageDaemon::add(uint64_t requests)
{
	struct usage_figure figure = {};

	strcpy(figure.team, "red");
	figure.requests = requests;
	figure.completion_tokens = 7 * requests;
	usage_meter_add(&meter, world->wall_s, &figure);
	world->added += requests;
}

uint64_t UsageDaemon::unflushed()
{
	uint64_t requests = usage_meter_requests(&meter);

	if (!flush.in_flight || flush.waiter.seen)
		return requests;
	for (uint32_t i = 0; i < flush.entry_count; i++)
		requests += flush.entries[i].figure.requests;
	return requests;
}

UsageWorld::UsageWorld(uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		daemons.emplace_back(new UsageDaemon(
			this, &log, std::string(1, static_cast<char>('a' + i)),
			i + 1, "p"));
}

void UsageWorld::step(uint64_t load)
{
	wall_s += halves++ % 2;
	for (auto &daemon : daemons) {
		fake_clock_advance(&daemon->daemon.clock, NS_PER_S / 2);
		if (daemon->dead || daemon->paused)
			continue;
		if (load)
			daemon->add(load);
		daemon->step();
	}
}

void UsageWorld::run(int64_t seconds, uint64_t load)
{
	for (int64_t i = 0; i < 2 * seconds; i++)
		step(load);
}

bool UsageWorld::run_until(const std::function<bool()> &done, uint64_t load,
			   int64_t limit_s)
{
	for (int64_t i = 0; i < 2 * limit_s && !done(); i++)
		step(load);
	return done();
}

UsageDaemon *UsageWorld::holder()
{
	for (auto &daemon : daemons)
		if (!daemon->dead && !daemon->paused && daemon->holds())
			return daemon.get();
	return nullptr;
}
