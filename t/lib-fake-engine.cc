#include "lib-fake-engine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

extern "C" {
#include "base/alloc.h"
}

struct FakeServer::Run {
	struct net_request_owner owner;
	FakeServer *self;
	struct net_request *request;
	ServerSaw saw;
	ServerReply reply;
	struct timer timer;
	int event;
	bool begun;
};

ServerReply stream_reply(int events, int interval_ms, uint64_t version)
{
	ServerReply r;

	r.stream = true;
	r.events = events;
	r.interval_ms = interval_ms;
	r.version = version;
	return r;
}

ServerReply cut_reply()
{
	ServerReply reply;

	reply.cut = true;
	return reply;
}

ServerReply hang_reply()
{
	ServerReply reply;

	reply.hang = true;
	return reply;
}

ServerReply status_reply(int code, bool not_run)
{
	ServerReply r;

	r.status = code;
	r.not_run = not_run;
	return r;
}

FakeServer::FakeServer(TestReactor *loop, const std::string &id,
		       const Behaviour &behave)
    : behaviour(behave), loop_(loop), id_(id)
{
	static const struct net_handler_vtable vtable = { on_request, nullptr };
	struct net_limits limits = test_limits();
	struct error err = ERROR_INIT;

	limits.idle_timeout_ns = 30 * NS_PER_S;
	limits.head_timeout_ns = 30 * NS_PER_S;
	limits.max_body_bytes = 40000000;
	limits.max_held_bytes = 5 * limits.max_body_bytes;
	limits.max_connections = 500;
	handler_.base.vt = &vtable;
	handler_.self = this;
	if (net_server_init(&server_, &loop->reactor, "127.0.0.1:0", &limits,
			    &handler_.base, &err))
		ADD_FAILURE() << err.text;
}

FakeServer::~FakeServer()
{
	net_server_finish(&server_);
}

std::string FakeServer::address() const
{
	return "127.0.0.1:" + std::to_string(net_server_port(&server_));
}

// The fleet takes the entry's memory.
void put_server(struct fleet *fleet, uint64_t offset, const std::string &id,
		const std::string &address, const std::string &service,
		const std::string &model, uint64_t version, bool leaving,
		uint32_t slots)
{
	struct server_entry entry;

	server_entry_init(&entry);
	copy_text(entry.id, sizeof(entry.id), id.c_str());
	copy_text(entry.service, sizeof(entry.service), service.c_str());
	copy_text(entry.address, sizeof(entry.address), address.c_str());
	copy_text(entry.data_centre, sizeof(entry.data_centre), "dc");
	entry.slots = slots;
	entry.leaving = leaving;
	if (!model.empty()) {
		entry.models = (struct server_model *)xcalloc(
			1, sizeof(*entry.models));
		copy_text(entry.models[0].name, sizeof(entry.models[0].name),
			  model.c_str());
		entry.models[0].version = version;
		entry.model_count = 1;
	}
	fleet_put(fleet, &entry, offset);
}

void FakeServer::join(struct fleet *fleet, const std::string &service,
		      const std::string &model, uint64_t version, bool leaving,
		      uint32_t slots)
{
	put_server(fleet, ++offset_, id_, address(), service, model, version,
		   leaving, slots);
}

void put_absent_servers(struct fleet *fleet, int count,
			const std::string &service, const std::string &model,
			bool leaving)
{
	for (int i = 0; i < count; i++)
		put_server(fleet, 1, "absent" + std::to_string(i),
			   "127.0.0.1:1", service, model, 1, leaving, 4);
}

static std::string field(const struct http_head *head, const char *name)
{
	const char *value = http_head_find(head, name);

	return value ? value : "";
}

void FakeServer::on_request(struct net_handler *handler,
			    struct net_request *request)
{
	((HandlerBase *)handler)->self->start(request);
}

void FakeServer::start(struct net_request *request)
{
	static const struct net_request_owner_vtable vtable = { on_gone,
								nullptr };
	Run *run = new Run();
	const struct http_head *head = request->head;

	run->owner.vt = &vtable;
	run->self = this;
	run->request = request;
	run->event = 1;
	run->saw.method = head->method;
	run->saw.target = http_head_target(head);
	run->saw.id = field(head, "X-Attempt-Id");
	run->saw.team = field(head, "X-Tenant");
	run->saw.instance = field(head, "X-Expect-Instance");
	run->saw.last_event = field(head, "Last-Event-Id");
	run->saw.deadline = field(head, "X-Deadline-Ms");
	run->saw.key = field(head, "Api-Key");
	run->saw.at_ns = reactor_now_ns(&loop_->reactor);
	run->saw.body.assign(request->body.buf, request->body.len);
	seen.push_back(run->saw);
	run->reply = behaviour(run->saw);
	if (!run->saw.last_event.empty() && !run->reply.starts_over)
		run->event = atoi(run->saw.last_event.c_str()) + 1;
	request->owner = &run->owner;
	runs_.push_back(run);
	running++;
	most_running = std::max(most_running, running);
	timer_subscribe_once(&loop_->reactor.timers, &run->timer,
			     run->reply.delay_ms * NS_PER_MS, on_timer, run);
}

void FakeServer::end(Run *run)
{
	timer_unsubscribe(&loop_->reactor.timers, &run->timer);
	runs_.erase(std::find(runs_.begin(), runs_.end(), run));
	running--;
	delete run;
}

void FakeServer::on_gone(struct net_request_owner *owner)
{
	Run *run = (Run *)owner;

	run->self->abandoned++;
	run->self->end(run);
}

void FakeServer::on_timer(void *arg, int64_t)
{
	Run *run = (Run *)arg;

	if (run->reply.hang)
		return;
	if (run->begun)
		run->self->next_event(run);
	else
		run->self->answer(run);
}

void FakeServer::answer(Run *run)
{
	const ServerReply &reply = run->reply;
	struct net_answer out = {};
	std::string fields = "X-Instance-Id: " + id_ + "\r\n";
	struct net_request *request = run->request;

	if (reply.cut || reply.garbled) {
		end(run);
		net_request_abort(request);
		return;
	}
	fields += "X-Attempt-Id: " +
		  (reply.wrong_id.empty() ? run->saw.id : reply.wrong_id) +
		  "\r\n";
	if (!reply.no_receipt && !reply.not_run)
		fields += "X-Response-Stamp: " +
			  (reply.receipt.empty() ? id_ : reply.receipt) +
			  "\r\n";
	if (reply.leaving)
		fields += "Server-Leaving: 1\r\n";
	if (reply.not_run)
		fields += "X-Not-Run: 1\r\n";
	fields += "X-Server-Load: " + std::to_string(running) + ",0,4\r\n";
	if (reply.stream && reply.status == 200) {
		fields += "Content-Type: text/event-stream\r\n"
			  "X-Weight-Versions: " +
			  std::to_string(reply.version) + "\r\n";
		run->begun = true;
		net_request_begin(request, 200, fields.c_str(), -1);
		next_event(run);
		return;
	}
	out.status = (uint16_t)reply.status;
	out.fields = fields.c_str();
	out.body = run->reply.body.data();
	out.body_len = run->reply.body.size();
	net_request_answer(request, &out);
	end(run);
}

void FakeServer::next_event(Run *run)
{
	const ServerReply &reply = run->reply;
	struct net_request *request = run->request;
	std::string text;

	if (reply.silent_after >= 0 && run->event > reply.silent_after)
		return;
	if (run->event > reply.events) {
		end(run);
		net_request_end(request);
		return;
	}
	if (reply.cut_after >= 0 && run->event > reply.cut_after) {
		end(run);
		net_request_abort(request);
		return;
	}
	if (run->event == reply.new_version_at)
		text = "x-weight-versions: " +
		       std::to_string(reply.version + 1) + "\n";
	text += "id: " + std::to_string(run->event) + "\ndata: " +
		(run->event == reply.spoiled_at ? reply.spoiled : "") +
		(reply.no_data
			 ? ""
			 : run->saw.id + "." + std::to_string(run->event)) +
		std::string(reply.event_bytes, '"') + "\n\n";
	if (reply.torn_after >= 0 && run->event > reply.torn_after) {
		net_request_write(request, text.data(), text.size() / 2);
		end(run);
		net_request_abort(request);
		return;
	}
	if (run->event != reply.skip)
		net_request_write(request, text.data(), text.size());
	run->event++;
	timer_subscribe_once(&loop_->reactor.timers, &run->timer,
			     reply.interval_ms * NS_PER_MS, on_timer, run);
}

struct cold_sender *sole_sender(const char *host)
{
	struct cold_sender *sender =
		(struct cold_sender *)xcalloc(1, sizeof(*sender));

	copy_text(sender->name, sizeof(sender->name), host);
	return sender;
}
