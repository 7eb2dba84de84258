#include "soak/callers.h"

#include <jansson.h>

#include <algorithm>

extern "C" {
#include "net/net_client.h"
}

/* Beyond these a host counts as in touch again, and settled. */
static const int64_t CONTACT_MS = 3000;
static const int64_t SETTLE_MS = 1000;
static const int64_t CANCEL_MS = 3000;
static const int64_t SINGLE_PERIOD_NS = 15 * NS_PER_MS;
static const int64_t TRAINER_PERIOD_NS = 60 * NS_PER_MS;
static const int64_t CALL_TIMEOUT_NS = 4 * NS_PER_S;
static const int64_t SUBMIT_FOR_MS = 8000;
static const uint32_t OPEN_BATCHES = 12;
static const int64_t KEPT_MS = 3000; // some batches are read again for long
static const int EVENTS = 3; // of a single request's stream

const std::vector<std::string> planted_faults = {
	"swapped_body", "false_not_run", "moved_position",
	"lost_batch",	"cut_stream",
};

bool Weather::is_calm(int daemon, int64_t now_ms) const
{
	return now_ms > disturbed_until_ms[(size_t)daemon] + CONTACT_MS &&
	       now_ms > store_disturbed_until_ms + CONTACT_MS;
}

struct Callers::Call {
	struct net_call net;
	Callers *self;
	std::string what; // single, submit, read, end
	std::string id;
	int daemon;
	std::string address, head, body, answer;
	int status = 0;
	bool stamped = false; // by an engine
	size_t from = 0; // of a read
	int64_t sent_ms;
	struct timer timer = {};
};

struct CallHooks {
	static Callers::Call *of(struct net_call *net)
	{
		return (Callers::Call *)net;
	}

	static enum net_head_verdict on_head(struct net_call *net)
	{
		of(net)->status = net->answer->status;
		of(net)->stamped =
			http_head_find(net->answer, "X-Response-Stamp") !=
			nullptr;
		return NET_HEAD_TAKE;
	}

	static int on_body(struct net_call *net, const char *data, size_t len)
	{
		of(net)->answer.append(data, len);
		return 0;
	}

	static void on_done(struct net_call *net, enum net_outcome outcome)
	{
		Callers::Call *call = of(net);
		int status = outcome == NET_ANSWERED ? call->status : 0;

		if (outcome == NET_GARBLED)
			call->self->history_->violation("MIXED: " + call->id +
							" got no HTTP");
		if (outcome == NET_CUT && !net->reused)
			call->self->check_whole(*call, call->status);
		end(call, status);
	}

	static void on_timeout(void *arg, int64_t)
	{
		Callers::Call *call = (Callers::Call *)arg;

		net_call_cancel(&call->net);
		end(call, 0);
	}

	static void end(Callers::Call *call, int status)
	{
		Callers *self = call->self;

		if (call->what == "single")
			self->on_single(call, status);
		else if (call->what == "submit")
			self->on_submit(call, status);
		else if (call->what == "read")
			self->on_read(call, status);
		else
			self->on_end(call, status);
		self->finish(call);
	}
};

static const struct net_call_vtable call_vtable = { CallHooks::on_head,
						    CallHooks::on_body,
						    CallHooks::on_done };

Callers::Callers(TestReactor *loop, History *history, Weather *weather,
		 const std::vector<std::string> &daemons, uint64_t seed)
    : loop_(loop), history_(history), weather_(weather), daemons_(daemons)
{
	struct net_pool_settings settings = test_pool_settings();

	net_pool_init(&pool_, &loop->reactor, &settings);
	rng_init(&rng_, seed);
}

Callers::~Callers()
{
	struct timer_service *timers = &loop_->reactor.timers;

	timer_unsubscribe(timers, &send_timer_);
	timer_unsubscribe(timers, &trainer_timer_);
	while (!calls_.empty()) {
		Call *call = *calls_.begin();

		net_call_cancel(&call->net);
		finish(call);
	}
	net_pool_finish(&pool_);
}

void Callers::start()
{
	struct timer_service *timers = &loop_->reactor.timers;

	sending_ = true;
	timer_subscribe(timers, &send_timer_, SINGLE_PERIOD_NS, on_send, this);
	timer_subscribe(timers, &trainer_timer_, TRAINER_PERIOD_NS, on_trainer,
			this);
}

void Callers::stop_sending()
{
	sending_ = false;
}

void Callers::clear_counts()
{
	answered = failed = 0;
}

void Callers::on_send(void *arg, int64_t)
{
	Callers *self = (Callers *)arg;

	if (self->sending_)
		self->send_single();
}

void Callers::finish(Call *call)
{
	timer_unsubscribe(&loop_->reactor.timers, &call->timer);
	calls_.erase(call);
	delete call;
}

Callers::Call *Callers::call(const std::string &what, int daemon,
			     const std::string &head, const std::string &body)
{
	Call *call = new Call();

	call->self = this;
	call->what = what;
	call->daemon = daemon;
	call->address = daemons_[(size_t)daemon];
	call->head = head + "Host: h\r\nApi-Key: k1\r\n" +
		     (body.empty()
			      ? ""
			      : "Content-Length: " +
					std::to_string(body.size()) + "\r\n") +
		     "\r\n";
	call->body = body;
	call->sent_ms = history_->now_ms();
	call->net = {};
	call->net.vt = &call_vtable;
	call->net.address = call->address.c_str();
	call->net.head = call->head.data();
	call->net.head_len = call->head.size();
	call->net.body = call->body.data();
	call->net.body_len = call->body.size();
	calls_.insert(call);
	timer_subscribe_once(&loop_->reactor.timers, &call->timer,
			     CALL_TIMEOUT_NS, CallHooks::on_timeout, call);
	net_call_start(&pool_, &call->net);
	return call;
}

static uint32_t pick(struct rng *rng, uint32_t count)
{
	return (uint32_t)(rng_unit(rng) * count) % count;
}

// Half of the callers keep their connection to one daemon, others change.
void Callers::send_single()
{
	static const char *const kinds[] = { "i", "o", "r" };
	std::string id = "s" + std::to_string(next_++);
	SingleRequest *single = &singles_[id];

	single->kind = kinds[pick(&rng_, 3)];
	single->daemon = (int)pick(&rng_, (uint32_t)daemons_.size());
	single->sent_ms = history_->now_ms();
	call("single", single->daemon,
	     "POST /" + single->kind + "/" + id +
		     " HTTP/1.1\r\nX-Attempt-Id: " + id +
		     "\r\nX-Deadline-Ms: 1500\r\n",
	     "body of " + id)
		->id = id;
}

int Callers::on_run(const std::string &id, const std::string &engine,
		    const std::string &target, const std::string &team,
		    const std::string &key, const std::string &body)
{
	auto single = singles_.find(id);
	auto item = by_item_.find(id);

	if (team != "red" || !key.empty())
		history_->violation("UNASKED: " + id + " runs for team '" +
				    team + "' with key '" + key + "'");
	if (item != by_item_.end()) {
		TrainerBatch *batch = item->second;
		int64_t now_ms = history_->now_ms();

		if (batch->ended_ms >= 0 &&
		    now_ms > batch->ended_ms + CANCEL_MS + SETTLE_MS)
			history_->violation("UNASKED: " + id +
					    " runs after the end of " +
					    batch->id);
		batch->runs[id].push_back(now_ms);
		return batch->events;
	}
	if (single == singles_.end()) {
		history_->violation("UNASKED: nobody sent " + id);
		return 1;
	}
	if (target != "/" + single->second.kind + "/" + id ||
	    body != "body of " + id)
		history_->violation("UNASKED: " + id + " runs changed");
	single->second.runs.push_back(engine);
	single->second.run_ms.push_back(history_->now_ms());
	history_->note("run " + id + " at " + engine);
	return EVENTS;
}

bool Callers::takes_plant(const std::string &name)
{
	if (plant != name)
		return false;
	history_->note("planted " + name);
	plant.clear();
	return true;
}

// A daemon that is stopped as planned answers what it has read.
void Callers::check_whole(const Call &call, int status)
{
	int64_t now_ms = history_->now_ms();
	int64_t since_ms = weather_->stopping_since_ms[(size_t)call.daemon];
	auto single = singles_.find(call.id);

	if (since_ms < 0 || call.sent_ms + CALL_TIMEOUT_NS / NS_PER_MS < now_ms)
		return;
	if (!weather_->is_calm(call.daemon, since_ms) ||
	    now_ms <= weather_->engines_disturbed_until_ms + CONTACT_MS)
		return;
	if (single == singles_.end() || single->second.runs.empty())
		return;
	history_->violation("LOST: " + call.id + " was cut by a planned stop" +
			    " after status " + std::to_string(status));
}

void Callers::check_single(const Call &call, SingleRequest *single, int status)
{
	std::string expected;

	if (status == 200 && !call.stamped)
		history_->violation("MIXED: " + call.id +
				    " succeeds without an engine's stamp");
	if (single->kind == "r") {
		for (int i = 1; i <= EVENTS; i++)
			expected += "id: " + std::to_string(i) +
				    "\ndata: " + call.id + "." +
				    std::to_string(i) + "\n\n";
	} else {
		expected = "done " + call.id;
	}
	if (status == 200 && call.answer != expected)
		history_->violation(
			(single->kind == "r" ? "ORDER: " : "MIXED: ") +
			call.id + " got '" + call.answer + "'");
	if (status >= 400 && status < 500 && status != 408 && status != 421 &&
	    status != 429)
		history_->violation("DENIED: " + call.id + " got " +
				    std::to_string(status));
}

void Callers::on_single(Call *call, int status)
{
	SingleRequest *single = &singles_[call->id];

	if (status == 200 && single->kind == "i" && takes_plant("swapped_body"))
		call->answer = "done another";
	if (status == 200 && single->kind == "r" && takes_plant("cut_stream"))
		call->answer.resize(call->answer.size() / 2);
	if (status == 200 && single->kind == "o" &&
	    takes_plant("false_not_run"))
		status = 503;
	single->status = status;
	single->ended_ms = history_->now_ms();
	(status == 200 ? answered : failed)++;
	history_->note("single " + call->id + " at " +
		       std::to_string(call->daemon) + " status " +
		       std::to_string(status) + " after " +
		       std::to_string(single->ended_ms - single->sent_ms));
	check_single(*call, single, status);
}

void Callers::on_trainer(void *arg, int64_t)
{
	Callers *self = (Callers *)arg;
	uint32_t open = 0;

	for (auto &entry : self->batches_) {
		TrainerBatch *batch = entry.second.get();

		open += batch->ended_ms < 0 && !batch->given_up;
		if (!batch->busy && pick(&self->rng_, 3) == 0)
			self->step(batch);
	}
	if (self->sending_ && open < OPEN_BATCHES && pick(&self->rng_, 4) == 0)
		self->submit_new();
}

void Callers::submit_new()
{
	std::string id = "b" + std::to_string(next_++);
	std::unique_ptr<TrainerBatch> batch(new TrainerBatch());

	batch->id = id;
	batch->events = 5 + (int)pick(&rng_, 40);
	batch->submitted_ms = history_->now_ms();
	batch->end_early = pick(&rng_, 6) == 0;
	batch->kept_ms = pick(&rng_, 3) == 0 ? KEPT_MS : 0;
	for (int i = 0; i < 6; i++) {
		batch->items.push_back(id + "-" + std::to_string(i));
		by_item_[batch->items.back()] = batch.get();
	}
	submit(batch.get());
	batches_[id] = std::move(batch);
}

static std::string submission(const TrainerBatch &batch)
{
	std::string out = "{\"step\":1,\"model\":\"m\",\"min_version\":1,"
			  "\"target_groups\":3,\"items\":[";

	for (size_t i = 0; i < batch.items.size(); i++)
		out += std::string(i ? "," : "") + "{\"id\":\"" +
		       batch.items[i] +
		       "\",\"path\":\"/b/x\",\"headers\":{\"X-Model\":\"m\","
		       "\"X-Token-Count\":\"10,100\",\"X-Prompt-Prefix\":"
		       "\"ab:10\"},\"body\":\"Ym9keQ==\",\"tokens\":50,"
		       "\"group\":\"" +
		       batch.id + "g" + std::to_string(i / 2) + "\"}";
	return out + "]}";
}

void Callers::submit(TrainerBatch *batch)
{
	batch->busy = true;
	call("submit", (int)pick(&rng_, (uint32_t)daemons_.size()),
	     "POST /b/ HTTP/1.1\r\nX-Attempt-Id: " + batch->id +
		     "\r\nX-Deadline-Ms: 1500\r\n",
	     submission(*batch))
		->id = batch->id;
}

void Callers::on_submit(Call *call, int status)
{
	TrainerBatch *batch = batches_[call->id].get();

	batch->busy = false;
	history_->note("submit " + call->id + " at " +
		       std::to_string(call->daemon) + " status " +
		       std::to_string(status));
	if (status == 202 && batch->accepted_ms < 0)
		batch->accepted_ms = history_->now_ms();
	else if (status != 202 && status != 429 && status != 503)
		batch->maybe_accepted = true;
	if (status >= 400 && status < 500 && status != 429)
		history_->violation("DENIED: batch " + call->id + " got " +
				    std::to_string(status));
}

// What a trainer does next about a batch.
void Callers::step(TrainerBatch *batch)
{
	int64_t now_ms = history_->now_ms();

	if (batch->ended_ms >= 0 || batch->given_up)
		return;
	if (batch->accepted_ms < 0) {
		if (now_ms < batch->submitted_ms + SUBMIT_FOR_MS) {
			submit(batch);
			return;
		}
		batch->given_up = true;
		batch->refused = !batch->maybe_accepted;
		return;
	}
	if (batch->end_early && !batch->listed.empty())
		end(batch);
	else if (batch->listed.size() < batch->items.size())
		read(batch, pick(&rng_, 8) == 0);
	else if (now_ms < batch->accepted_ms + batch->kept_ms)
		read(batch, true);
	else
		end(batch);
}

void Callers::read(TrainerBatch *batch, bool from_start)
{
	size_t from = from_start ? 0 : batch->listed.size();
	Call *made;

	batch->busy = true;
	made = call("read", (int)pick(&rng_, (uint32_t)daemons_.size()),
		    "GET /v1/lots/" + batch->id +
			    "?after=" + std::to_string(from) +
			    " HTTP/1.1\r\nX-Wait-Ms: 500\r\n",
		    "");
	made->id = batch->id;
	made->from = from;
}

static std::string item_text(const std::string &item, int events)
{
	std::string out;

	for (int i = 1; i <= events; i++)
		out += (i > 1 ? "\n" : "") + item + "." + std::to_string(i);
	return out;
}

void Callers::take_results(TrainerBatch *batch, size_t from,
			   const std::string &body)
{
	json_t *root = json_loadb(body.data(), body.size(), 0, nullptr);
	json_t *results = json_object_get(root, "results");
	json_t *result;
	size_t at;

	if (json_integer_value(json_object_get(root, "total")) !=
	    (json_int_t)batch->items.size())
		history_->violation("MIXED: total of " + batch->id);
	json_array_foreach (results, at, result) {
		std::string item =
			json_string_value(json_object_get(result, "id"));
		std::string text =
			json_string_value(json_object_get(result, "text"));
		std::string state =
			json_string_value(json_object_get(result, "state"));
		std::string entry = item + " " + text;
		size_t position = from + at;

		if (position + 1 == batch->listed.size() &&
		    takes_plant("moved_position"))
			entry = batch->items[0] + " other";
		if (by_item_.count(item) == 0 || by_item_[item] != batch)
			history_->violation("MIXED: " + item + " in " +
					    batch->id);
		if (state != "complete")
			history_->violation("MIXED: " + item + " is " + state);
		if (text != item_text(item, batch->events))
			history_->violation("ORDER: " + item + " has '" + text +
					    "'");
		if (position < batch->listed.size()) {
			if (batch->listed[position] != entry)
				history_->violation("TWICE: position " +
						    std::to_string(position) +
						    " of " + batch->id +
						    " has changed");
			continue;
		}
		for (const std::string &known : batch->listed)
			if (known == entry)
				history_->violation("TWICE: " + item +
						    " is listed again");
		batch->listed.push_back(entry);
	}
	json_decref(root);
}

void Callers::on_read(Call *call, int status)
{
	TrainerBatch *batch = batches_[call->id].get();
	int64_t now_ms = history_->now_ms();

	batch->busy = false;
	history_->note("read " + call->id + " from " +
		       std::to_string(call->from) + " at " +
		       std::to_string(call->daemon) + " status " +
		       std::to_string(status));
	if (status == 200 && now_ms > batch->accepted_ms + SETTLE_MS &&
	    takes_plant("lost_batch"))
		status = 404;
	if (status == 200)
		take_results(batch, call->from, call->answer);
	else if ((status == 404 || status == 410) &&
		 now_ms > batch->accepted_ms + SETTLE_MS &&
		 weather_->is_calm(call->daemon, now_ms))
		history_->violation("LOST: batch " + call->id +
				    " is not known");
}

void Callers::end(TrainerBatch *batch)
{
	batch->busy = true;
	call("end", (int)pick(&rng_, (uint32_t)daemons_.size()),
	     "DELETE /v1/lots/" + batch->id + " HTTP/1.1\r\n", "")
		->id = batch->id;
}

void Callers::on_end(Call *call, int status)
{
	TrainerBatch *batch = batches_[call->id].get();

	batch->busy = false;
	history_->note("end " + call->id + " status " + std::to_string(status));
	if (status == 200 && batch->ended_ms < 0)
		batch->ended_ms = history_->now_ms();
}

bool Callers::is_settled() const
{
	for (const auto &entry : batches_)
		if (entry.second->ended_ms < 0 && !entry.second->given_up)
			return false;
	return calls_.empty();
}

void Callers::check_end()
{
	for (const auto &entry : singles_) {
		const SingleRequest &single = entry.second;
		bool says_not_run =
			single.status == 429 || single.status == 503 ||
			single.status == 408 || single.status == 421;

		if (single.kind == "o" && single.runs.size() > 1)
			history_->violation("TWICE: " + entry.first + " ran " +
					    std::to_string(single.runs.size()) +
					    " times");
		if (single.kind == "o" && says_not_run && !single.runs.empty())
			history_->violation("REFUSED: " + entry.first +
					    " ran and got " +
					    std::to_string(single.status));
	}
	for (const auto &entry : batches_) {
		const TrainerBatch &batch = *entry.second;

		if (batch.refused && !batch.runs.empty())
			history_->violation("REFUSED: batch " + batch.id +
					    " runs");
		if (batch.accepted_ms >= 0 && batch.ended_ms < 0)
			history_->violation(
				"LOST: batch " + batch.id + " has " +
				std::to_string(batch.listed.size()) +
				" results at the end");
	}
}
