#include "soak/store_standin.h"

#include <gtest/gtest.h>
#include <jansson.h>

#include <algorithm>
#include <cstring>

extern "C" {
#include "base/alloc.h"
#include "platform/base64.h"
}

static const int64_t TIMEOUT_NS = 1500 * NS_PER_MS;
static const int64_t LEASE_MS = 1500; // as the daemons have it

struct StoreStandin::Call {
	struct net_request_owner owner;
	StoreStandin *self;
	struct net_request *request;
	std::string records; // of an append
	struct topic_append append = {};
	struct topic_read read = {};
	struct topic_newest newest = {};
	std::string items; // of a page
	void *running = nullptr;
};

static struct net_limits limits()
{
	struct net_limits out = test_limits();

	out.max_body_bytes = 4000000;
	out.max_held_bytes = 40000000;
	out.max_connections = 1000;
	out.head_timeout_ns = out.idle_timeout_ns = 60 * NS_PER_S;
	return out;
}

StoreStandin::StoreStandin(TestReactor *loop, History *history)
    : topics(&loop->reactor.timers), loop_(loop), history_(history)
{
	static const struct net_handler_vtable vtable = { on_request, nullptr };
	struct net_limits limit = limits();
	struct error err = ERROR_INIT;

	handler_.base.vt = &vtable;
	handler_.self = this;
	topics.delay_ms = 2;
	topics.log()->max_record_bytes = 262144;
	topics.log()->max_append_bytes = 2097152;
	if (net_server_init(&server_, &loop->reactor, "127.0.0.1:0", &limit,
			    &handler_.base, &err))
		ADD_FAILURE() << err.text;
}

StoreStandin::~StoreStandin()
{
	net_server_finish(&server_);
}

std::string StoreStandin::address() const
{
	return "127.0.0.1:" + std::to_string(net_server_port(&server_));
}

std::set<uint64_t> StoreStandin::reported() const
{
	std::set<uint64_t> out;

	for (const auto &window : windows_)
		out.insert(window.first);
	return out;
}

// Value of a query's field; escapes are those that daemons send.
static std::string field(const std::string &query, const std::string &name,
			 const std::string &otherwise = "")
{
	size_t at = ("&" + query).find("&" + name + "=");
	std::string out;

	if (at == std::string::npos)
		return otherwise;
	for (at += name.size() + 1; at < query.size() && query[at] != '&';
	     at++) {
		if (query[at] != '%') {
			out += query[at];
			continue;
		}
		out += (char)std::stoi(query.substr(at + 1, 2), nullptr, 16);
		at += 2;
	}
	return out;
}

static uint64_t number(const std::string &query, const std::string &name)
{
	return std::stoull(field(query, name, "0"));
}

static void plain_answer(struct net_request *request, int status,
			 const std::string &body)
{
	struct net_answer out = {};

	out.status = (uint16_t)status;
	out.body = body.data();
	out.body_len = body.size();
	net_request_answer(request, &out);
}

void StoreStandin::on_request(struct net_handler *handler,
			      struct net_request *request)
{
	StoreStandin *self = ((Handler *)handler)->self;
	std::string target = http_head_target(request->head);
	std::string path = target.substr(0, target.find('?'));
	std::string query =
		target.substr(std::min(path.size() + 1, target.size()));

	if (path == "/v1/log-append")
		self->append(request, query);
	else if (path == "/v1/log-read")
		self->read(request, query);
	else if (path == "/v1/log-newest")
		self->newest(request, query);
	else if (path == "/usage")
		self->usage(request);
	else
		plain_answer(request, 404, "{}");
}

StoreStandin::Call *StoreStandin::new_call(struct net_request *request)
{
	static const struct net_request_owner_vtable vtable = { on_gone,
								nullptr };
	Call *call = new Call();

	call->owner.vt = &vtable;
	call->self = this;
	call->request = request;
	request->owner = &call->owner;
	return call;
}

// The daemon waits no longer; what is carried out late is so all the same.
void StoreStandin::on_gone(struct net_request_owner *owner)
{
	Call *call = (Call *)owner;
	struct topic_log *log = call->self->topics.log();
	void *running = call->append.call ? call->append.call
			: call->read.call ? call->read.call
					  : call->newest.call;

	log->vt->cancel(log, running);
	strbuf_finish(&call->read.records);
	strbuf_finish(&call->newest.after);
	delete call;
}

// Status 0: the connection ends without an answer.
void StoreStandin::answer(Call *call, int status, const std::string &body)
{
	if (status)
		plain_answer(call->request, status, body);
	else
		net_request_abort(call->request);
	strbuf_finish(&call->read.records);
	strbuf_finish(&call->newest.after);
	delete call;
}

static int common_status(enum topic_outcome outcome)
{
	return outcome == TOPIC_REFUSED ? 503 : 0;
}

void StoreStandin::append(struct net_request *request, const std::string &query)
{
	Call *call = new_call(request);
	struct topic_append *append = &call->append;
	std::string topic = field(query, "topic");

	call->records.assign(request->body.buf, request->body.len);
	copy_text(append->topic, sizeof(append->topic), topic.c_str());
	append->partition = (uint32_t)number(query, "part");
	append->records = call->records.data();
	append->records_len = call->records.size();
	append->expected_end = std::stoll(field(query, "at", "-1"));
	copy_text(append->writer, sizeof(append->writer),
		  field(query, "producer").c_str());
	append->epoch = number(query, "epoch");
	append->sequence = number(query, "seq");
	append->timeout_ns = TIMEOUT_NS;
	append->done = answer_append;
	append->arg = call;
	if (!forget_append.empty() && topic == forget_append) {
		forget_append.clear();
		answer(call, 200, "{\"offset\":0,\"end\":1}");
		return;
	}
	topics.log()->vt->append(topics.log(), append);
}

void StoreStandin::answer_append(struct topic_append *append)
{
	Call *call = (Call *)append->arg;

	switch (append->outcome) {
	case TOPIC_OK:
		answer(call, 200,
		       "{\"offset\":" + std::to_string(append->offset) +
			       ",\"end\":" + std::to_string(append->end) + "}");
		break;
	case TOPIC_CONFLICT:
		answer(call, 412,
		       "{\"end\":" + std::to_string(append->end) + "}");
		break;
	case TOPIC_FENCED:
		answer(call, 409, "{\"why\":\"epoch\"}");
		break;
	case TOPIC_BAD_SEQUENCE:
		answer(call, 409,
		       "{\"why\":\"seq\",\"seq\":" +
			       std::to_string(append->next_sequence) + "}");
		break;
	default:
		answer(call, common_status(append->outcome), "");
	}
}

void StoreStandin::read(struct net_request *request, const std::string &query)
{
	Call *call = new_call(request);
	struct topic_read *read = &call->read;

	copy_text(read->topic, sizeof(read->topic),
		  field(query, "topic").c_str());
	read->partition = (uint32_t)number(query, "part");
	read->from = number(query, "from");
	read->max_bytes = (uint32_t)number(query, "max_kb") * 1024;
	read->wait_ns = (int64_t)number(query, "wait_ms") * NS_PER_MS;
	read->timeout_ns = TIMEOUT_NS;
	read->done = answer_read;
	read->arg = call;
	strbuf_init(&read->records);
	topics.log()->vt->read(topics.log(), read);
}

static std::string big_endian(uint64_t value)
{
	std::string out;

	for (int shift = 56; shift >= 0; shift -= 8)
		out += (char)(value >> shift);
	return out;
}

void StoreStandin::answer_read(struct topic_read *read)
{
	Call *call = (Call *)read->arg;

	if (read->outcome == TOPIC_OK)
		answer(call, 200,
		       big_endian(read->end) + big_endian(read->first) +
			       std::string(read->records.buf,
					   read->records.len));
	else if (read->outcome == TOPIC_FORGOTTEN)
		answer(call, 410,
		       "{\"first\":" + std::to_string(read->first) + "}");
	else
		answer(call, common_status(read->outcome), "");
}

void StoreStandin::newest(struct net_request *request, const std::string &query)
{
	Call *call = new_call(request);
	struct topic_newest *newest = &call->newest;

	copy_text(newest->topic, sizeof(newest->topic),
		  field(query, "topic").c_str());
	newest->partition = (uint32_t)number(query, "part");
	strbuf_init(&newest->after);
	strbuf_addstr(&newest->after, field(query, "after").c_str());
	newest->timeout_ns = TIMEOUT_NS;
	newest->each = add_item;
	newest->done = answer_newest;
	newest->arg = call;
	topics.log()->vt->newest(topics.log(), newest);
}

void StoreStandin::add_item(struct topic_newest *newest, const char *key,
			    const void *value, size_t len, uint64_t offset)
{
	Call *call = (Call *)newest->arg;
	struct strbuf text;

	strbuf_init(&text);
	encode_base64(value, len, &text);
	call->items += std::string(call->items.empty() ? "" : ",") +
		       "{\"key\":\"" + key + "\",\"value\":\"" + text.buf +
		       "\",\"offset\":" + std::to_string(offset) + "}";
	strbuf_finish(&text);
}

void StoreStandin::answer_newest(struct topic_newest *newest)
{
	Call *call = (Call *)newest->arg;

	if (newest->outcome == TOPIC_OK)
		answer(call, 200,
		       "{\"items\":[" + call->items + "],\"has_more\":" +
			       (newest->has_more ? "true" : "false") +
			       ",\"end\":" + std::to_string(newest->end) + "}");
	else
		answer(call, common_status(newest->outcome), "");
}

void StoreStandin::check_turn(const std::string &holder, uint64_t fence)
{
	int64_t now_ms = history_->now_ms();

	if (fence < highest_fence_)
		history_->violation("ONE: " + holder + " calls with fence " +
				    std::to_string(fence) + " after " +
				    std::to_string(highest_fence_));
	if (!turns_.empty() && turns_.back().holder == holder) {
		turns_.back().last_ms = now_ms;
		return;
	}
	for (const Turn &turn : turns_)
		if (turn.holder == holder && now_ms < turn.last_ms + LEASE_MS)
			history_->violation("ONE: " + holder + " and " +
					    turns_.back().holder +
					    " take turns within the lease");
	turns_.push_back({ holder, now_ms });
}

// One figure a window, and one holder a fence.
void StoreStandin::usage(struct net_request *request)
{
	std::string holder = http_head_find(request->head, "X-Holder");
	uint64_t fence =
		std::stoull(http_head_find(request->head, "X-Fence-Token"));
	json_t *body =
		json_loadb(request->body.buf, request->body.len, 0, nullptr);
	uint64_t window = (uint64_t)json_integer_value(
		json_object_get(body, "window_id"));
	char *counts = json_dumps(json_object_get(body, "counts"),
				  JSON_COMPACT | JSON_SORT_KEYS);
	std::string figures = counts;

	free(counts);
	json_decref(body);
	history_->note("usage window=" + std::to_string(window) +
		       " by=" + holder + " fence=" + std::to_string(fence) +
		       " " + figures);
	if (fences_.count(fence) && fences_[fence] != holder)
		history_->violation("ONE: fence " + std::to_string(fence) +
				    " is used by " + holder + " and " +
				    fences_[fence]);
	fences_[fence] = holder;
	if (!fencing && !(is_excused && is_excused(holder)))
		check_turn(holder, fence);
	if (plant_turns) {
		check_turn("another", fence);
		check_turn(holder, fence);
	}
	if (fencing && fence < highest_fence_) {
		plain_answer(request, 409,
			     "{\"fence\":" + std::to_string(highest_fence_) +
				     "}");
		return;
	}
	highest_fence_ = std::max(highest_fence_, fence);
	if (windows_.count(window) && windows_[window] != figures)
		history_->violation("ONE: window " + std::to_string(window) +
				    " is reported as " + windows_[window] +
				    " and as " + figures);
	windows_[window] = figures;
	plain_answer(request, 200, "{}");
}
