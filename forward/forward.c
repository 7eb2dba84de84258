#include "forward/forward.h"

#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "entry/answers.h"
#include "forward/forward_private.h"

/*
 * A hedged attempt of an idempotent request starts when this fraction of the
 * route's latency goal has passed: late enough that few healthy attempts are
 * still in flight, early enough that the hedged one can meet the goal.
 */
#define HEDGE_DELAY_NUMERATOR 1
#define HEDGE_DELAY_DENOMINATOR 2
/* Retry-After if no server is reachable, or if all of them are full. */
#define NO_SERVER_RETRY_AFTER_NS (200 * NS_PER_MS)
#define OVERLOADED_RETRY_AFTER_NS (50 * NS_PER_MS)

uint64_t forward_hash(const struct forward *forward)
{
	const struct net_request *request = forward->request;
	uint64_t hash = hash_text(forward->team ? forward->team->name : "", 0);

	hash = hash_text(http_head_target(request->head), hash);
	return hash_bytes(request->body.buf, request->body.len, hash);
}

/*
 * Remaining time for which the request is rejected for crashes; 0: none. Called
 * before each attempt is started.
 */
static int64_t crash_refusal_ns(struct forward *forward)
{
	const struct crash_watch *watch = forward->forwarder->crashes;

	forward->is_suspect = 0;
	if (!watch || crash_watch_is_idle(watch))
		return 0;
	return crash_watch_refuses_ns(watch, forward_hash(forward),
				      forward->caller.id, &forward->is_suspect);
}

static int may_repeat(const struct forward *forward)
{
	return forward->route->kind == REQUEST_IDEMPOTENT ||
	       forward->route->kind == REQUEST_RESUMABLE;
}

/* Whether the caller's API key may still be accepted as valid. */
static int is_key_trusted(const struct forward *forward)
{
	const struct config_holder *config = forward->forwarder->config;

	return forward->route->is_public || !forward->team ||
	       key_trust_holds(&config->trust, forward_now_ns(forward));
}

/* Starts an attempt at a server not tried yet; returns 0 if there is none. */
static int start_next_attempt(struct forward *forward)
{
	struct fleet_server *server;

	if (!is_key_trusted(forward) ||
	    net_pool_is_full(forward->forwarder->pool))
		return 0;
	server = forward_choose(forward);
	if (!server)
		return 0;
	forward_note_tried(forward, server->entry.id);
	if (forward->is_suspect)
		crash_watch_note_sent(forward->forwarder->crashes,
				      forward_hash(forward), forward->caller.id,
				      server->entry.id);
	forward->sent++;
	forward_attempt_start(forward, server, 0);
	return 1;
}

/* No server is left: the answer says whether any may have run the request. */
static void give_up(struct forward *forward, enum attempt_outcome outcome)
{
	if (forward->may_have_run)
		forward_refuse_unknown(forward, 502, "outcome_unknown",
				       "no server gave a whole answer");
	else if (!is_key_trusted(forward))
		forward_refuse_not_run(forward, KEYS_UNCONFIRMED,
				       KEYS_UNCONFIRMED_DETAIL,
				       KEYS_UNCONFIRMED_RETRY_NS);
	else if (outcome == ATTEMPT_NOT_RUN)
		forward_refuse_not_run(forward, "overloaded",
				       "all servers of the route are full",
				       OVERLOADED_RETRY_AFTER_NS);
	else if (net_pool_is_full(forward->forwarder->pool))
		forward_refuse_not_run(
			forward, "no_descriptor",
			"all connections of this host are in use",
			OVERLOADED_RETRY_AFTER_NS);
	else
		forward_refuse_not_run(forward, "no_server",
				       "no server of the route can be reached",
				       NO_SERVER_RETRY_AFTER_NS);
}

static void count_run(struct forward_attempt *attempt,
		      enum attempt_outcome outcome)
{
	struct forward *forward = attempt->forward;
	struct attempt_counter *runs = forward->forwarder->team_attempts;

	if (outcome == ATTEMPT_NOT_RUN || outcome == ATTEMPT_NOT_SENT)
		return;
	forward->may_have_run = 1;
	if (runs && forward->team && outcome != ATTEMPT_STALE)
		runs->add(runs, forward->team->name, attempt->started_wall_ms);
}

/* The servers may have crashed without closing their connections. */
static void note_unanswered(const struct forward *forward)
{
	struct crash_watch *watch = forward->forwarder->crashes;

	if (!watch)
		return;
	for (const struct forward_attempt *a = forward->attempts; a;
	     a = a->next)
		crash_watch_note_unanswered(watch, forward_hash(forward),
					    forward->caller.id,
					    a->server->entry.id);
}

/* Counts cancelled attempts as run, since most of them have begun to run. */
static void cancel_attempts(struct forward *forward,
			    const struct forward_attempt *except)
{
	struct forward_attempt *attempt = forward->attempts;

	while (attempt) {
		struct forward_attempt *next = attempt->next;

		if (attempt != except) {
			count_run(attempt, ATTEMPT_LOST);
			forward_attempt_cancel(attempt);
		}
		attempt = next;
	}
}

/* Completes the response and frees the attempt and the forward. */
static void deliver(struct forward *forward, struct forward_attempt *attempt)
{
	struct net_request *request = forward->request;
	int is_complete = !forward->response_started ||
			  (attempt->streaming &&
			   event_splitter_at_boundary(&attempt->events));

	cancel_attempts(forward, attempt);
	forward_log_answer(forward, is_complete ? "answered" : "cut",
			   attempt->answer.status, NULL);
	counter_add(forward->forwarder->answered, 1);
	if (!forward->response_started)
		forward_deliver(forward, attempt);
	else if (is_complete)
		net_request_end(request);
	else
		net_request_abort(request);
	forward_attempt_free(attempt);
	forward_free(forward);
}

static enum attempt_action plan(const struct forward *forward,
				const struct fleet_server *server,
				enum attempt_outcome outcome)
{
	int can_resume = !forward->response_started ||
			 forward->response_has_events;
	struct attempt_state state = {
		.may_repeat = may_repeat(forward) && can_resume,
		.may_have_run = forward->may_have_run,
		.sent = forward->sent,
		.max_attempts = forward->route->max_attempts,
		.running = forward->attempts_in_flight - 1,
		.stale_retries = forward->stale_retries,
		.out_of_time = forward_now_ns(forward) >= forward->deadline_ns,
		.server_closed = !fleet_server_is_open(server) ||
				 !fleet_server_cold_allows(
					 server, forward_now_ns(forward)),
	};

	return attempt_plan(&state, outcome);
}

static void retry_same_server(struct forward *forward,
			      struct forward_attempt *attempt)
{
	struct fleet_server *server = fleet_server_ref(attempt->server);

	forward->stale_retries++;
	forward_attempt_free(attempt);
	forward_attempt_start(forward, server, 1);
	fleet_server_unref(server);
}

/*
 * A server that exits closes its kept connections, and so does a running server
 * that closes idle ones. A retry on a new connection distinguishes the two.
 */
static void note_server_exit(const struct forward_attempt *attempt,
			     enum attempt_outcome outcome,
			     enum attempt_action action)
{
	const struct forward *forward = attempt->forward;
	struct crash_watch *watch = forward->forwarder->crashes;
	int reconnect_failed = outcome == ATTEMPT_NOT_SENT &&
			       attempt->net.no_reuse;

	if (!watch || (outcome != ATTEMPT_STALE && !reconnect_failed))
		return;
	if (action == ATTEMPT_RETRY_SAME)
		crash_watch_log_uncounted(
			watch, forward_hash(forward), forward->caller.id,
			attempt->server->entry.id, "kept_connection");
	else
		crash_watch_note_crash(watch, forward_hash(forward),
				       forward->caller.id,
				       attempt->server->entry.id);
}

void forward_on_attempt_end(struct forward_attempt *attempt,
			    enum attempt_outcome outcome)
{
	struct forward *forward = attempt->forward;
	enum attempt_action action;

	count_run(attempt, outcome);
	action = plan(forward, attempt->server, outcome);
	note_server_exit(attempt, outcome, action);
	if (action == ATTEMPT_RETRY_OTHER &&
	    (crash_refusal_ns(forward) || !start_next_attempt(forward))) {
		if (forward->attempts_in_flight > 1)
			action = ATTEMPT_WAIT;
		else if (outcome == ATTEMPT_FAILED)
			action = ATTEMPT_DELIVER;
		else
			action = ATTEMPT_REFUSE;
	}
	switch (action) {
	case ATTEMPT_DELIVER:
		deliver(forward, attempt);
		return;
	case ATTEMPT_RETRY_SAME:
		retry_same_server(forward, attempt);
		return;
	case ATTEMPT_RETRY_OTHER:
	case ATTEMPT_WAIT:
		forward_attempt_free(attempt);
		return;
	case ATTEMPT_REFUSE:
	case ATTEMPT_UNKNOWN:
		break;
	}
	forward_attempt_free(attempt);
	give_up(forward, outcome);
}

void forwarder_answer_unstarted(struct forwarder *forwarder)
{
	struct forward *forward = forwarder->first;

	while (forward) {
		struct forward *next = forward->next;

		if (!forward->response_started) {
			note_unanswered(forward);
			cancel_attempts(forward, NULL);
			if (forward->may_have_run)
				forward_refuse_unknown(forward, 504,
						       HOST_LEAVING,
						       HOST_LEAVING_DETAIL);
			else
				forward_refuse_not_run(forward, HOST_LEAVING,
						       HOST_LEAVING_DETAIL,
						       HOST_LEAVING_RETRY_NS);
		}
		forward = next;
	}
}

/* The caller's deadline or the route's timeout has passed. */
static void on_deadline_expired(void *arg, int64_t at_ns)
{
	struct forward *forward = arg;

	(void)at_ns;
	for (struct forward_attempt *a = forward->attempts; a; a = a->next)
		circuit_failed(&a->server->circuit, &forward->forwarder->rng,
			       forward_now_ns(forward));
	note_unanswered(forward);
	cancel_attempts(forward, NULL);
	if (forward->may_have_run)
		forward_refuse_unknown(forward, 504, "timeout",
				       "no whole answer came in time");
	else
		forward_refuse_not_run(forward, "timeout",
				       "no server took the request in time",
				       NO_SERVER_RETRY_AFTER_NS);
}

static void on_hedge_due(void *arg, int64_t at_ns)
{
	struct forward *forward = arg;

	(void)at_ns;
	if (forward->response_started ||
	    forward->sent >= forward->route->max_attempts)
		return;
	if (!crash_refusal_ns(forward) && start_next_attempt(forward))
		counter_add(forward->forwarder->hedged_attempts, 1);
}

static void on_disconnect(struct net_request_owner *owner)
{
	struct forward *forward = (struct forward *)owner;

	forward_log_answer(forward, "abandoned", 0, "caller_gone");
	counter_add(forward->forwarder->abandoned, 1);
	note_unanswered(forward);
	cancel_attempts(forward, NULL);
	forward_free(forward);
}

static void on_drained(struct net_request_owner *owner)
{
	struct forward *forward = (struct forward *)owner;

	for (struct forward_attempt *a = forward->attempts; a; a = a->next) {
		if (!a->paused)
			continue;
		a->paused = 0;
		net_call_resume(&a->net);
	}
}

static const struct net_request_owner_vtable owner_vtable = { on_disconnect,
							      on_drained };

static int64_t compute_deadline_ns(const struct forward *forward)
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
	int64_t now = forward_now_ns(forward);

	timer_subscribe_once(timers, &forward->deadline_timer,
			     forward->deadline_ns - now, on_deadline_expired,
			     forward);
	if (forward->route->kind == REQUEST_IDEMPOTENT)
		timer_subscribe_once(timers, &forward->hedge_timer,
				     goal_ns * HEDGE_DELAY_NUMERATOR /
					     HEDGE_DELAY_DENOMINATOR,
				     on_hedge_due, forward);
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
	forward->config = entry_config_ref(forwarder->config->current);
	forward->route = route;
	forward->team = team;
	forward->service =
		entry_route_service(route, rng_unit(&forwarder->rng));
	forward->last_event_id = caller->last_event_id;
	forward->deadline_ns = compute_deadline_ns(forward);
	forward->next = forwarder->first;
	forward->link = &forwarder->first;
	if (forward->next)
		forward->next->link = &forward->next;
	forwarder->first = forward;
	forwarder->running++;
	request->owner = &forward->owner;
	set_timers(forward);
	refused_ns = crash_refusal_ns(forward);
	if (!stop_admits(&forwarder->stop, request->received_ns,
			 forward->deadline_ns))
		forward_refuse_not_run(forward, HOST_LEAVING,
				       HOST_LEAVING_DETAIL,
				       HOST_LEAVING_RETRY_NS);
	else if (refused_ns)
		forward_refuse_not_run(
			forward, "crashes_servers",
			"servers that ran this request were lost", refused_ns);
	else if (!forward_find_room(forward))
		forward_refuse_not_run(
			forward, "route_full",
			"the route has its share of all connections",
			OVERLOADED_RETRY_AFTER_NS);
	else if (!start_next_attempt(forward))
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
	forwarder->attempts = counter_get(counters, "tries_total");
	load_counters_init(&forwarder->load_counters, counters);
	forwarder->hedged_attempts =
		counter_get(counters, "second_tries_total");
	histogram_init(&forwarder->duration, counters,
		       "request_duration_seconds", "");
}

void forwarder_finish(struct forwarder *forwarder)
{
	struct forward *forward = forwarder->first;

	while (forward) {
		struct net_request *request = forward->request;
		struct forward *next = forward->next;

		forward_free(forward);
		net_request_abort(request);
		forward = next;
	}
}
