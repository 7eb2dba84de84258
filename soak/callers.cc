#include "soak/call.h"

static const int64_t SINGLE_PERIOD_NS = 15 * NS_PER_MS;
static const int64_t TRAINER_PERIOD_NS = 60 * NS_PER_MS;
static const int64_t CALL_TIMEOUT_NS = 4 * NS_PER_S;
static const int EVENTS = 3; // of a single request's stream
static const int64_t BAD_PERIOD_MS = 400;
// Beyond these ends and attempts the request must not reach servers.
static const size_t ENDS_ALLOWED = 3;
static const size_t LATE_ATTEMPTS_ALLOWED = 3;

const std::vector<std::string> planted_faults = {
	"swapped_body",	   "false_not_run",    "moved_position", "lost_batch",
	"cut_stream",	   "changing_request", "other_score",	 "early_score",
	"unheard_leaving", "duty_turns",
};

bool Weather::is_calm(int daemon, int64_t now_ms) const
{
	return now_ms > disturbed_until_ms[(size_t)daemon] + CONTACT_MS &&
	       now_ms > store_disturbed_until_ms + CONTACT_MS;
}

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
		return NET_HEAD_ACCEPT;
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
		else if (call->what == "bad")
			self->history_->note("bad " + call->id + " status " +
					     std::to_string(status));
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

	if (!self->sending_)
		return;
	self->send_single();
	if (self->history_->now_ms() < self->next_bad_ms_)
		return;
	self->next_bad_ms_ = self->history_->now_ms() + BAD_PERIOD_MS;
	self->send_bad();
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

// Half of the callers keep their connection to one daemon, others change.
void Callers::send_single()
{
	static const char *const kinds[] = { "i", "o", "r" };
	std::string id = "s" + std::to_string(next_++);
	SingleRequest *single = &singles_[id];

	single->kind = kinds[rng_below(&rng_, 3)];
	single->daemon = (int)rng_below(&rng_, daemons_.size());
	single->sent_ms = history_->now_ms();
	call("single", single->daemon,
	     "POST /" + single->kind + "/" + id +
		     " HTTP/1.1\r\nX-Attempt-Id: " + id +
		     "\r\nX-Deadline-Ms: 1500\r\n",
	     "body of " + id)
		->id = id;
}

// One request that ends each server that runs it comes again and again.
void Callers::send_bad()
{
	std::string id = "x" + std::to_string(next_++);
	int daemon = (int)rng_below(&rng_, daemons_.size());

	bad_[id] = daemon;
	call("bad", daemon,
	     "POST /i/bad HTTP/1.1\r\nX-Attempt-Id: " + id +
		     "\r\nX-Deadline-Ms: 1500\r\n",
	     // Nobody can know a planted one again.
	     plant == "changing_request" ? "body of " + id
					 : "the same each time")
		->id = id;
}

void Callers::on_bad_run(const std::string &id)
{
	if (weather_->is_calm(bad_[id], history_->now_ms()))
		bad_runs_.emplace_back(id, history_->now_ms());
	history_->note("run " + id + " of daemon " + std::to_string(bad_[id]));
}

void Callers::on_server_end()
{
	server_ends_ms_.push_back(history_->now_ms());
	history_->note("a server ends, number " +
		       std::to_string(server_ends_ms_.size()));
}

void Callers::check_bad()
{
	std::set<std::string> late;

	if (server_ends_ms_.size() < ENDS_ALLOWED)
		return;
	for (const auto &run : bad_runs_)
		if (run.second > server_ends_ms_[ENDS_ALLOWED - 1] + CONTACT_MS)
			late.insert(run.first);
	if (late.size() > LATE_ATTEMPTS_ALLOWED)
		history_->violation("BUDGET: " + std::to_string(late.size()) +
				    " late attempts reach servers, " +
				    std::to_string(server_ends_ms_.size()) +
				    " end");
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
		check_unasked(*item->second, id);
		item->second->runs[id].push_back(history_->now_ms());
		return item->second->events;
	}
	if (single == singles_.end()) {
		history_->violation("UNASKED: nobody sent " + id);
		return 1;
	}
	if (target != "/" + single->second.kind + "/" + id ||
	    body != "body of " + id)
		history_->violation("UNASKED: " + id + " runs changed");
	check_leaving(single->second, id, engine);
	single->second.server_leaves = false;
	single->second.runs.push_back(engine);
	single->second.run_ms.push_back(history_->now_ms());
	history_->note("run " + id + " at " + engine);
	return EVENTS;
}

void Callers::on_leaving_answer(const std::string &id)
{
	auto single = singles_.find(id);

	if (single != singles_.end())
		single->second.server_leaves = true;
}

void Callers::note_leaving(const Call &call, const SingleRequest &single)
{
	const std::string &engine = single.runs.back();

	if (single.server_leaves || plant == "unheard_leaving") {
		leaving_ms_[engine].emplace(call.daemon, history_->now_ms());
		history_->note(engine + " is leaving, told through " +
			       std::to_string(call.daemon));
	}
}

void Callers::check_leaving(const SingleRequest &single, const std::string &id,
			    const std::string &engine)
{
	const std::map<int, int64_t> &told = leaving_ms_[engine];
	auto at = told.find(single.daemon);

	if (at != told.end() && single.sent_ms > at->second + DRAIN_MS)
		history_->violation("DRAIN: " + id + " reaches " + engine +
				    " from " + std::to_string(single.daemon) +
				    ", which knows that it is leaving");
}

void Callers::forget_leaving(int daemon)
{
	for (auto &told : leaving_ms_)
		told.second.erase(daemon);
}

void Callers::forget_leaving(const std::string &engine)
{
	leaving_ms_.erase(engine);
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
	if (status == 200 && !single->runs.empty())
		note_leaving(*call, *single);
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
	check_bad();
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
