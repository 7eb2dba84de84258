#include "forward/forward.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "entry/answers.h"
#include "forward/forward_private.h"

/*
 * A second try of what may be repeated starts when this part of the route's
 * goal has passed: late enough that few sound tries still run, early enough
 * that the second one can meet the goal.
 */
#define SECOND_TRY_NUMERATOR 1
#define SECOND_TRY_DENOMINATOR 2
/* When a caller may come back that found no server. */
#define NO_SERVER_RETRY_NS (200 * NS_PER_MS)
#define FULL_RETRY_NS (50 * NS_PER_MS)

static void free_forward(struct forward *forward)
{
	struct timer_service *timers = &forward->forwarder->reactor->timers;

	timer_unsubscribe(timers, &forward->timer);
	timer_unsubscribe(timers, &forward->second);
	while (forward->tries)
		forward_try_cancel(forward->tries);
	*forward->at = forward->next;
	if (forward->next)
		forward->next->at = forward->at;
	forward->forwarder->running--;
	entry_config_release(forward->config);
	free(forward);
}

static int64_t now_ns(const struct forward *forward)
{
	return reactor_now_ns(forward->forwarder->reactor);
}

static void report_answer(const struct forward *forward, const char *event,
			  uint16_t status, const char *reason)
{
	struct forwarder *forwarder = forward->forwarder;
	int64_t took_ns = now_ns(forward) - forward->request->began_ns;
	struct record record;

	histogram_add(&forwarder->duration, took_ns);
	record_begin(&record, forwarder->log, "forward", event);
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "route", forward->route->name);
	record_int(&record, "status", status);
	record_text(&record, "reason", reason);
	record_int(&record, "tries", forward->sent);
	record_int(&record, "may_have_run", forward->may_have_run);
	record_ms(&record, "took_ms", took_ns);
	record_end(&record);
}

/* The caller gets no more than this; the forward is freed. */
static void refuse(struct forward *forward, const struct refusal *refusal)
{
	struct net_request *request = forward->request;
	struct forwarder *forwarder = forward->forwarder;

	report_answer(forward, "given_up", refusal->status, refusal->type);
	counter_add(refusal->ran == RAN_NOT ? forwarder->refused
					    : forwarder->unknown,
		    1);
	if (forward->begun) {
		free_forward(forward);
		net_request_abort(request);
		return;
	}
	free_forward(forward);
	answer_refusal(request, refusal);
}

static void refuse_not_run(struct forward *forward, const char *type,
			   const char *detail, int64_t retry_after_ns)
{
	struct refusal refusal = {
		.status = 503,
		.type = type,
		.detail = detail,
		.ran = RAN_NOT,
		.retry_after_ns = retry_after_ns,
	};

	refuse(forward, &refusal);
}

static void refuse_unknown(struct forward *forward, uint16_t status,
			   const char *type, const char *detail)
{
	struct refusal refusal = {
		.status = status,
		.type = type,
		.detail = detail,
		.ran = RAN_UNKNOWN,
		.retry_after_ns = -1,
	};

	refuse(forward, &refusal);
}

uint64_t forward_hash(const struct forward *forward)
{
	const struct net_request *request = forward->request;
	uint64_t hash = hash_text(forward->team ? forward->team->name : "", 0);

	hash = hash_text(http_head_target(request->head), hash);
	return hash_bytes(request->body.buf, request->body.len, hash);
}

/* How long the request is refused because it crashes servers; 0: it isn't. */
static int64_t crash_refusal_ns(const struct forward *forward)
{
	const struct crash_watch *watch = forward->forwarder->crashes;

	if (!watch || crash_watch_is_idle(watch))
		return 0;
	return crash_watch_refuses_ns(watch, forward_hash(forward),
				      forward->caller.id);
}

static int may_repeat(const struct forward *forward)
{
	return forward->route->kind == REQUEST_IDEMPOTENT ||
	       forward->route->kind == REQUEST_RESUMABLE;
}

/* Whether the caller's key may still be taken for valid. */
static int key_counts(const struct forward *forward)
{
	const struct config_holder *config = forward->forwarder->config;

	return forward->route->is_public || !forward->team ||
	       key_trust_holds(&config->trust, now_ns(forward));
}

/* Tries a server that was not tried yet; returns 0 if there is none. */
static int try_another(struct forward *forward)
{
	struct fleet_server *server =
		key_counts(forward) ? forward_choose(forward) : NULL;

	if (!server)
		return 0;
	forward_note_tried(forward, server->entry.id);
	forward->sent++;
	forward_try_start(forward, server, 0);
	return 1;
}

/* No server is left: says whether any may have run the request. */
static void give_up(struct forward *forward, enum attempt_outcome outcome)
{
	if (forward->may_have_run)
		refuse_unknown(forward, 502, "outcome_unknown",
			       "no server gave a whole answer");
	else if (!key_counts(forward))
		refuse_not_run(forward, KEYS_UNCONFIRMED,
			       KEYS_UNCONFIRMED_DETAIL,
			       KEYS_UNCONFIRMED_RETRY_NS);
	else if (outcome == ATTEMPT_NOT_RUN)
		refuse_not_run(forward, "overloaded",
			       "all servers of the route are full",
			       FULL_RETRY_NS);
	else
		refuse_not_run(forward, "no_server",
			       "no server of the route can be reached",
			       NO_SERVER_RETRY_NS);
}

static void count_run(struct forward_try *try, enum attempt_outcome outcome)
{
	struct forward *forward = try->forward;
	struct run_counter *runs = forward->forwarder->runs;

	if (outcome == ATTEMPT_NOT_RUN || outcome == ATTEMPT_NOT_SENT)
		return;
	forward->may_have_run = 1;
	if (runs && forward->team && outcome != ATTEMPT_STALE)
		runs->add(runs, forward->team->name, try->began_wall_ms);
}

/* Their servers may have ended without a word. */
static void note_unanswered(const struct forward *forward)
{
	struct crash_watch *watch = forward->forwarder->crashes;

	if (!watch)
		return;
	for (const struct forward_try *t = forward->tries; t; t = t->next)
		crash_watch_unanswered(watch, forward_hash(forward),
				       forward->caller.id, t->server->entry.id);
}

/* A try that is cancelled has mostly begun to run. */
static void cancel_tries(struct forward *forward,
			 const struct forward_try *except)
{
	struct forward_try *try = forward->tries;

	while (try) {
		struct forward_try *next = try->next;

		if (try != except) {
			count_run(try, ATTEMPT_LOST);
			forward_try_cancel(try);
		}
		try = next;
	}
}

/* Frees the try and the forward. */
static void deliver(struct forward *forward, struct forward_try *try)
{
	struct net_request *request = forward->request;
	int is_whole =
		!forward->begun ||
		(try->streaming && event_splitter_is_between(&try->events));

	cancel_tries(forward, try);
	report_answer(forward, is_whole ? "answered" : "cut",
		      try->answer.status, NULL);
	counter_add(forward->forwarder->answered, 1);
	if (!forward->begun)
		forward_deliver(forward, try);
	else if (is_whole)
		net_request_end(request);
	else
		net_request_abort(request);
	forward_try_free(try);
	free_forward(forward);
}

static enum attempt_action plan(const struct forward *forward,
				enum attempt_outcome outcome)
{
	int can_go_on = !forward->begun || forward_is_stream(forward);
	struct attempt_state state = {
		.may_repeat = may_repeat(forward) && can_go_on,
		.may_have_run = forward->may_have_run,
		.sent = forward->sent,
		.max_attempts = forward->route->max_attempts,
		.running = forward->running - 1,
		.stale_retries = forward->stale_retries,
		.out_of_time = now_ns(forward) >= forward->answer_by_ns,
	};

	return attempt_plan(&state, outcome);
}

static void try_same(struct forward *forward, struct forward_try *try)
{
	struct fleet_server *server = fleet_server_hold(try->server);

	forward->stale_retries++;
	forward_try_free(try);
	forward_try_start(forward, server, 1);
	fleet_server_release(server);
}

/*
 * A server that ends takes its kept connections along, as one does that closes
 * idle ones: a new connection tells the two apart.
 */
static void learn_server_end(const struct forward_try *try,
			     enum attempt_outcome outcome,
			     enum attempt_action action)
{
	const struct forward *forward = try->forward;
	struct crash_watch *watch = forward->forwarder->crashes;
	int is_refused_anew = outcome == ATTEMPT_NOT_SENT && try->net.fresh;

	if (!watch || (outcome != ATTEMPT_STALE && !is_refused_anew))
		return;
	if (action == ATTEMPT_SAME)
		crash_watch_not_counted(
			watch, forward_hash(forward), forward->caller.id,
			try->server->entry.id, "kept_connection");
	else
		crash_watch_cut(watch, forward_hash(forward),
				forward->caller.id, try->server->entry.id);
}

void forward_on_try_end(struct forward_try *try, enum attempt_outcome outcome)
{
	struct forward *forward = try->forward;
	enum attempt_action action;

	count_run(try, outcome);
	action = plan(forward, outcome);
	learn_server_end(try, outcome, action);
	if (action == ATTEMPT_AGAIN &&
	    (crash_refusal_ns(forward) || !try_another(forward))) {
		if (forward->running > 1)
			action = ATTEMPT_WAIT;
		else if (outcome == ATTEMPT_FAILED)
			action = ATTEMPT_DELIVER;
		else
			action = ATTEMPT_REFUSE;
	}
	switch (action) {
	case ATTEMPT_DELIVER:
		deliver(forward, try);
		return;
	case ATTEMPT_SAME:
		try_same(forward, try);
		return;
	case ATTEMPT_AGAIN:
	case ATTEMPT_WAIT:
		forward_try_free(try);
		return;
	case ATTEMPT_REFUSE:
	case ATTEMPT_UNKNOWN:
		break;
	}
	forward_try_free(try);
	give_up(forward, outcome);
}

/* The caller waits no longer, or the route allows no more time. */
static void on_time_over(void *arg, int64_t at_ns)
{
	struct forward *forward = arg;

	(void)at_ns;
	for (struct forward_try *try = forward->tries; try; try = try->next)
		circuit_failed(&try->server->circuit, &forward->forwarder->rng,
			       now_ns(forward));
	note_unanswered(forward);
	cancel_tries(forward, NULL);
	if (forward->may_have_run)
		refuse_unknown(forward, 504, "timeout",
			       "no whole answer came in time");
	else
		refuse_not_run(forward, "timeout",
			       "no server took the request in time",
			       NO_SERVER_RETRY_NS);
}

static void on_second_due(void *arg, int64_t at_ns)
{
	struct forward *forward = arg;

	(void)at_ns;
	if (forward->begun || forward->sent >= forward->route->max_attempts)
		return;
	if (!crash_refusal_ns(forward) && try_another(forward))
		counter_add(forward->forwarder->second_tries, 1);
}

static void on_gone(struct net_request_owner *owner)
{
	struct forward *forward = (struct forward *)owner;

	report_answer(forward, "abandoned", 0, "caller_gone");
	counter_add(forward->forwarder->abandoned, 1);
	note_unanswered(forward);
	cancel_tries(forward, NULL);
	free_forward(forward);
}

static void on_drained(struct net_request_owner *owner)
{
	struct forward *forward = (struct forward *)owner;

	for (struct forward_try *try = forward->tries; try; try = try->next) {
		if (!try->paused)
			continue;
		try->paused = 0;
		net_call_resume(&try->net);
	}
}

static const struct net_request_owner_vtable owner_vtable = { on_gone,
							      on_drained };

static int64_t answer_by_ns(const struct forward *forward)
{
	int64_t wait_ms = forward->route->timeout_ms;
	int64_t left_ms = forward->caller.time_left_ms;

	if (left_ms >= 0 && left_ms < wait_ms)
		wait_ms = left_ms;
	return forward->request->began_ns + wait_ms * NS_PER_MS;
}

static void set_timers(struct forward *forward)
{
	struct timer_service *timers = &forward->forwarder->reactor->timers;
	int64_t goal_ns = forward->route->goal_ms * NS_PER_MS;
	int64_t now = now_ns(forward);

	timer_subscribe_once(timers, &forward->timer,
			     forward->answer_by_ns - now, on_time_over,
			     forward);
	if (forward->route->kind == REQUEST_IDEMPOTENT)
		timer_subscribe_once(timers, &forward->second,
				     goal_ns * SECOND_TRY_NUMERATOR /
					     SECOND_TRY_DENOMINATOR,
				     on_second_due, forward);
}

void forward_start(struct forwarder *forwarder, struct net_request *request,
		   const struct caller_request *caller,
		   const struct entry_route *route,
		   const struct entry_team *team)
{
	struct forward *forward = xcalloc(1, sizeof(*forward));
	int64_t refused_ns;

	forward->owner.vt = &owner_vtable;
	forward->forwarder = forwarder;
	forward->request = request;
	forward->caller = *caller;
	forward->config = entry_config_hold(forwarder->config->current);
	forward->route = route;
	forward->team = team;
	forward->service =
		entry_route_service(route, rng_unit(&forwarder->rng));
	forward->last_event = caller->last_event_id;
	forward->answer_by_ns = answer_by_ns(forward);
	forward->next = forwarder->first;
	forward->at = &forwarder->first;
	if (forward->next)
		forward->next->at = &forward->next;
	forwarder->first = forward;
	forwarder->running++;
	request->owner = &forward->owner;
	set_timers(forward);
	refused_ns = crash_refusal_ns(forward);
	if (refused_ns)
		refuse_not_run(forward, "crashes_servers",
			       "servers that ran this request were lost",
			       refused_ns);
	else if (!try_another(forward))
		give_up(forward, ATTEMPT_NOT_SENT);
}

void forwarder_init(struct forwarder *forwarder, struct reactor *reactor,
		    struct net_pool *pool, struct fleet *fleet,
		    struct config_holder *config, struct record_log *log,
		    struct counter_set *counters, const char *data_centre,
		    uint64_t seed)
{
	memset(forwarder, 0, sizeof(*forwarder));
	forwarder->reactor = reactor;
	forwarder->pool = pool;
	forwarder->fleet = fleet;
	forwarder->config = config;
	forwarder->log = log;
	forwarder->data_centre = data_centre;
	rng_init(&forwarder->rng, seed);
	forwarder->sample_seed = seed;
	forwarder->answered =
		counter_get(counters, "requests_total{outcome=\"answered\"}");
	forwarder->refused =
		counter_get(counters, "requests_total{outcome=\"refused\"}");
	forwarder->unknown =
		counter_get(counters, "requests_total{outcome=\"unknown\"}");
	forwarder->abandoned =
		counter_get(counters, "requests_total{outcome=\"abandoned\"}");
	forwarder->tries = counter_get(counters, "tries_total");
	forwarder->second_tries = counter_get(counters, "second_tries_total");
	histogram_init(&forwarder->duration, counters,
		       "request_duration_seconds", "");
}

void forwarder_finish(struct forwarder *forwarder)
{
	struct forward *forward = forwarder->first;

	while (forward) {
		struct net_request *request = forward->request;
		struct forward *next = forward->next;

		free_forward(forward);
		net_request_abort(request);
		forward = next;
	}
}
