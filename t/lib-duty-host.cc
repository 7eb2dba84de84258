#include "lib-duty-host.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

extern "C" {
#include "base/alloc.h"
#include "duty/version_duty_private.h"
#include "platform/config_decode.h"
}

static const int64_t ANSWER_NS = 5 * NS_PER_MS;

struct FakePlatform::Port {
	struct duty_port port;
	FakePlatform *self;
	std::string host;
};

// A call in flight.
struct FakePlatform::Pending {
	FakePlatform *self;
	struct duty_call *call;
	DutyCall details;
	DutyFault fault;
	struct timer timer;
};

struct FakePlatform::Vtable {
	static DutyCall describe(struct duty_port *port, const char *kind,
				 const struct duty_call *call)
	{
		DutyCall out = {};

		out.kind = kind;
		out.host = ((Port *)port)->host;
		out.holder = call->holder ? call->holder : "";
		out.fence = call->fence;
		return out;
	}

	static void report_usage(struct duty_port *port,
				 struct usage_report *report)
	{
		DutyCall call = describe(port, "usage", &report->call);

		call.window = report->window;
		for (uint32_t i = 0; i < report->count; i++)
			call.counts[report->counts[i].team] =
				report->counts[i].requests;
		((Port *)port)->self->start((Port *)port, &report->call, call);
	}

	static void order_servers(struct duty_port *port,
				  struct server_number *order)
	{
		DutyCall call = describe(port, "servers", &order->call);

		call.service = order->service;
		call.data_centre = order->data_centre;
		call.count = order->count;
		((Port *)port)->self->start((Port *)port, &order->call, call);
	}

	static void order_weights(struct duty_port *port,
				  struct weight_order *order)
	{
		DutyCall call = describe(port, "weights", &order->call);

		call.engine = order->server_id;
		call.model = order->model;
		call.version = order->version;
		((Port *)port)->self->start((Port *)port, &order->call, call);
	}

	static void ask_engine(struct duty_port *port,
			       struct engine_report *report)
	{
		DutyCall call = describe(port, "ask", &report->call);

		call.engine = report->server_id;
		call.model = report->model;
		((Port *)port)->self->start((Port *)port, &report->call, call);
	}

	static void cancel(struct duty_port *port, struct duty_call *call)
	{
		FakePlatform *self = ((Port *)port)->self;
		Pending *pending = (Pending *)call->running;

		timer_unsubscribe(&self->time_->timers, &pending->timer);
		self->pending_.erase(std::find(self->pending_.begin(),
					       self->pending_.end(), pending));
		delete pending;
	}
};

static const struct duty_port_vtable *vtable(struct duty_port_vtable *table)
{
	return table;
}

FakePlatform::FakePlatform(FakeTime *time) : time_(time)
{
}

FakePlatform::~FakePlatform()
{
	for (Pending *pending : pending_) {
		timer_unsubscribe(&time_->timers, &pending->timer);
		delete pending;
	}
}

struct duty_port *FakePlatform::port(const std::string &host)
{
	static struct duty_port_vtable table = {
		Vtable::report_usage, Vtable::order_servers,
		Vtable::order_weights, Vtable::ask_engine, Vtable::cancel
	};

	ports_.emplace_back(new Port());
	ports_.back()->port.vt = vtable(&table);
	ports_.back()->self = this;
	ports_.back()->host = host;
	return &ports_.back()->port;
}

void FakePlatform::start(Port *, struct duty_call *call,
			 const DutyCall &details)
{
	Pending *pending = new Pending();
	int64_t delay_ns = ANSWER_NS;

	pending->self = this;
	pending->call = call;
	pending->details = details;
	pending->details.at_ns = time_->now_ns();
	pending->fault = faults ? faults(pending->details) : DutyFault::NONE;
	call->running = pending;
	calls.push_back(pending->details);
	pending_.push_back(pending);
	if (pending->fault == DutyFault::LOST)
		carry_out(details, call);
	if (pending->fault == DutyFault::LATE) {
		int64_t expected =
			details.kind == "weights"
				? ((struct weight_order *)call)->expected_orders
				: -1;
		DutyCall copy = details;

		late_.push_back([this, copy, expected] {
			if (copy.kind == "weights")
				load(copy, expected);
			else if (copy.kind != "ask")
				carry_out(copy, nullptr);
		});
	}
	if (pending->fault >= DutyFault::LOST)
		delay_ns = call->timeout_ns;
	timer_subscribe_once(&time_->timers, &pending->timer, delay_ns,
			     on_timer, pending);
}

void FakePlatform::carry_out_late()
{
	std::vector<std::function<void()>> late;

	late.swap(late_);
	for (auto &call : late)
		call();
}

void FakePlatform::on_timer(void *arg, int64_t)
{
	Pending *pending = (Pending *)arg;
	FakePlatform *self = pending->self;
	struct duty_call *call = pending->call;

	self->pending_.erase(std::find(self->pending_.begin(),
				       self->pending_.end(), pending));
	if (pending->fault == DutyFault::NONE)
		call->outcome = self->carry_out(pending->details, call);
	else if (pending->fault == DutyFault::REFUSED)
		call->outcome = DUTY_REFUSED;
	else if (pending->fault == DutyFault::CONFLICT)
		call->outcome = DUTY_CONFLICT;
	else
		call->outcome = DUTY_UNKNOWN;
	delete pending;
	call->done(call);
}

void FakePlatform::finish_due_load(Engine *engine)
{
	if (!engine->target_version || time_->now_ns() < engine->busy_until_ns)
		return;
	engine->versions[engine->loading_model] = engine->target_version;
	engine->target_version = 0;
}

enum duty_outcome FakePlatform::load(const DutyCall &details, int64_t expected)
{
	Engine &engine = engines[details.engine];

	finish_due_load(&engine);
	if (details.fence < engine.fence)
		return DUTY_FENCED;
	engine.fence = details.fence;
	if (engine.versions[details.model] == details.version &&
	    !engine.target_version)
		return DUTY_HOLDS;
	if (engine.target_version ||
	    (expected >= 0 && (uint64_t)expected != engine.orders))
		return DUTY_CONFLICT;
	engine.orders++;
	engine.loading_model = details.model;
	engine.target_version = details.version;
	engine.busy_until_ns = time_->now_ns() + load_ms * NS_PER_MS;
	return DUTY_DONE;
}

enum duty_outcome FakePlatform::carry_out(const DutyCall &details,
					  struct duty_call *call)
{
	std::string subject = details.kind == "servers"
				      ? details.service + details.data_centre
				      : details.kind;

	if (details.kind == "weights")
		return load(details,
			    ((struct weight_order *)call)->expected_orders);
	if (details.kind == "ask") {
		struct engine_report *report = (struct engine_report *)call;
		Engine &engine = engines[details.engine];

		finish_due_load(&engine);
		report->is_busy = engine.target_version != 0;
		report->orders = engine.orders;
		report->version = engine.versions[details.model];
		return DUTY_DONE;
	}
	if (details.fence < fences_[subject])
		return DUTY_FENCED;
	fences_[subject] = details.fence;
	if (details.kind == "servers") {
		ordered[details.data_centre] = details.count;
		return DUTY_DONE;
	}
	if (reported.count(details.window)) {
		EXPECT_EQ(reported[details.window], details.counts)
			<< "window " << details.window;
	}
	reported[details.window] = details.counts;
	return DUTY_DONE;
}

static const char config_text[] = R"({"version":1,"routes":[],
 "services":[{"name":"s","engine":{"slots":4,"kv_capacity":100000,"stride":2,
  "models":[{"name":"m"},{"name":"n"}]},
  "scaling":{"min":1,"max":4,"boot_s":4,"spot_price":0.2,
   "zone_prices":{"dc":1.0,"de":0.8}}}],
 "limits":{"max_header_bytes":4000,"max_body_bytes":100000,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

DutyHost::DutyHost(FakeTime *time, FakeTopics *topics, FakePlatform *platform,
		   const std::string &host, uint64_t incarnation,
		   int64_t extra_wait_ms)
    : name(host), time_(time), extra_wait_ns_(extra_wait_ms * NS_PER_MS)
{
	struct timer_service *timers = &time->timers;
	struct duty_port *port = platform->port(host);
	std::string writer = host + "-" + std::to_string(incarnation);
	struct error err = ERROR_INIT;
	struct entry_config *config =
		platform_config_decode(config_text, strlen(config_text), &err);

	EXPECT_NE(nullptr, config) << err.text;
	counter_set_init(&counters_);
	fleet_init(&fleet);
	config_holder_init(&config_, nullptr);
	config_holder_apply(&config_, config, 0);
	named_versions_init(&named_);
	duty_lease_init(&lease, topics->log(), timers, name.c_str(),
			incarnation, 3000, nullptr, &counters_);
	usage_counter_init(&counter, topics->log(), timers, name.c_str(),
			   incarnation, (writer + "c").c_str(), 5, &counters_);
	usage_duty_init(&usage, topics->log(), timers, &lease, port,
			name.c_str(), (writer + "u").c_str(), 5, 10,
			platform->takes_usage_reports, nullptr, &counters_);
	weight_board_init(&board, topics->log(), timers, (writer + "b").c_str(),
			  nullptr, &counters_);
	version_duty_init(&versions, timers, &lease, &board, port, &fleet,
			  &config_, &named_, name.c_str(), nullptr, &counters_);
	server_duty_init(&servers, timers, &lease, &board, port, &fleet,
			 &config_, name.c_str(), 1, nullptr, &counters_);
	duty_lease_start(&lease);
	weight_board_start(&board);
	set_eligible(true);
}

DutyHost::~DutyHost()
{
	server_duty_finish(&servers);
	version_duty_finish(&versions);
	weight_board_finish(&board);
	usage_duty_finish(&usage);
	usage_counter_finish(&counter);
	duty_lease_finish(&lease);
	named_versions_finish(&named_);
	fleet_finish(&fleet);
	config_holder_finish(&config_);
	counter_set_finish(&counters_);
}

void DutyHost::set_eligible(bool eligible)
{
	duty_lease_set_eligible(&lease, eligible, extra_wait_ns_);
}

bool DutyHost::holds()
{
	return duty_lease_holds(&lease) != 0;
}

void DutyHost::put_engine(struct server_entry *entry, const std::string &id,
			  const std::map<std::string, uint64_t> &versions)
{
	struct server_model *model;

	copy_text(entry->id, sizeof(entry->id), id.c_str());
	copy_text(entry->service, sizeof(entry->service), service.c_str());
	copy_text(entry->address, sizeof(entry->address), "10.0.0.1:1");
	entry->slots = 4;
	model = (struct server_model *)xcalloc(versions.size(), sizeof(*model));
	entry->models = model;
	for (const auto &version : versions) {
		copy_text(model->name, sizeof(model->name),
			  version.first.c_str());
		model->version = version.second;
		model++;
	}
	entry->model_count = (uint32_t)versions.size();
	fleet_put(&fleet, entry, ++offset_);
}

void DutyHost::add_engine(const std::string &id, uint64_t version,
			  const std::string &data_centre, bool cheap,
			  bool leaving)
{
	struct server_entry entry;

	server_entry_init(&entry);
	copy_text(entry.data_centre, sizeof(entry.data_centre),
		  data_centre.c_str());
	entry.cheap = cheap;
	entry.leaving = leaving;
	put_engine(&entry, id, { { "m", version }, { "n", version } });
}

void DutyHost::add_engine(const std::string &id,
			  const std::map<std::string, uint64_t> &versions)
{
	struct server_entry entry;

	server_entry_init(&entry);
	copy_text(entry.data_centre, sizeof(entry.data_centre), "dc");
	put_engine(&entry, id, versions);
}

std::string DutyHost::assigned_model(const std::string &id)
{
	const struct fleet_server *server = fleet_find(&fleet, id.c_str());

	if (!server || !server->weight_engine)
		return "";
	return ((const struct duty_engine *)server->weight_engine)
		->assigned_model;
}

void DutyHost::name_version(const std::string &model, uint64_t version)
{
	version_duty_name_version(&versions, model.c_str(), version,
				  "announced");
}

void DutyHost::publish_need(const std::string &model, uint64_t min_version,
			    uint32_t items)
{
	struct weight_need need = {};

	copy_text(need.model, sizeof(need.model), model.c_str());
	copy_text(need.service, sizeof(need.service), service.c_str());
	need.min_version = min_version;
	need.named_version = named_versions_get(&named_, model.c_str());
	need.tokens = 100 * items;
	need.items = items;
	weight_board_publish_need(&board, &need, name.c_str());
}

void DutyHost::count_request(const std::string &team)
{
	counter.base.add(&counter.base, team.c_str(),
			 clock_wall_ms(&time_->clock.base));
}
