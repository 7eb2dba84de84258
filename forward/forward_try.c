#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "forward/forward_private.h"
#include "platform/messages.h"

/* Answers up to this size are kept until they are whole. */
#define KEPT_BODY_BYTES (256 * 1024)
/* A request that may run once goes out on a connection used this lately. */
#define ONCE_MAX_IDLE_NS (500 * NS_PER_MS)

static struct forward_try *try_of(struct net_call *net)
{
	return (struct forward_try *)net;
}

void forward_try_free(struct forward_try *try)
{
	struct forward_try **at = &try->forward->tries;

	while (*at != try)
		at = &(*at)->next;
	*at = try->next;
	try->forward->running--;
	try->server->running--;
	fleet_server_release(try->server);
	strbuf_finish(&try->head);
	strbuf_finish(&try->fields);
	strbuf_finish(&try->body);
	event_splitter_finish(&try->events);
	free(try);
}

static enum net_head_verdict on_head(struct net_call *net)
{
	struct forward_try *try = try_of(net);
	struct server_answer *answer = &try->answer;

	platform_read_answer(net->answer, try->forward->caller.id, answer);
	fleet_server_heard(try->server, answer,
			   reactor_now_ns(try->forward->forwarder->reactor));
	if (answer->other_request)
		return NET_HEAD_SKIP;
	if (answer->status < 300 && !answer->has_receipt)
		return NET_HEAD_REFUSE;
	platform_write_answer_fields(&try->fields, net->answer);
	try->body_bytes = net_call_body_bytes(net);
	if (answer->status < 300 && forward_is_stream(try->forward))
		forward_begin_stream(try);
	return NET_HEAD_TAKE;
}

static int on_body(struct net_call *net, const char *data, size_t len)
{
	struct forward_try *try = try_of(net);

	if (try->streaming)
		return forward_stream(try, data, len);
	strbuf_add(&try->body, data, len);
	if (try->body.len <= KEPT_BODY_BYTES)
		return 0;
	/* Of a refusal only the head is used, and others' answers go first. */
	if (try->answer.not_run || try->forward->begun)
		return -1;
	forward_begin_stream(try);
	return 0;
}

static enum attempt_outcome judge(const struct forward_try *try,
				  enum net_outcome outcome)
{
	const struct net_call *net = &try->net;

	switch (outcome) {
	case NET_ANSWERED:
		if (try->answer.not_run)
			return ATTEMPT_NOT_RUN;
		return try->answer.status >= 500 ? ATTEMPT_FAILED
						 : ATTEMPT_ANSWERED;
	case NET_NOT_SENT:
		return ATTEMPT_NOT_SENT;
	case NET_CUT:
		if (net->reused && !net->received_bytes)
			return ATTEMPT_STALE;
		break;
	case NET_GARBLED:
		break;
	}
	return ATTEMPT_LOST;
}

static void learn_health(struct forward_try *try, enum attempt_outcome outcome)
{
	struct forwarder *forwarder = try->forward->forwarder;
	struct circuit *circuit = &try->server->circuit;

	switch (outcome) {
	case ATTEMPT_ANSWERED:
	case ATTEMPT_FAILED:
	case ATTEMPT_NOT_RUN:
		circuit_succeeded(circuit);
		break;
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_LOST:
		circuit_failed(circuit, &forwarder->rng,
			       reactor_now_ns(forwarder->reactor));
		break;
	case ATTEMPT_STALE:
		break;
	}
}

/* A run that broke off may have taken its server down. */
static void learn_crash(const struct forward_try *try,
			enum attempt_outcome outcome, enum net_outcome net)
{
	const struct forward *forward = try->forward;
	struct crash_watch *watch = forward->forwarder->crashes;

	if (!watch)
		return;
	if (outcome == ATTEMPT_LOST && net == NET_CUT)
		crash_watch_cut(watch, forward_hash(forward),
				forward->caller.id, try->server->entry.id);
	else if (outcome == ATTEMPT_ANSWERED && !crash_watch_is_idle(watch))
		crash_watch_answered(watch, forward_hash(forward),
				     forward->caller.id, try->server->entry.id);
}

static void report_end(const struct forward_try *try,
		       enum attempt_outcome outcome, enum net_outcome net)
{
	const struct forward *forward = try->forward;
	struct forwarder *forwarder = forward->forwarder;
	struct record record;

	record_begin(&record, forwarder->log, "forward", "try_ended");
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "server", try->server->entry.id);
	record_text(&record, "outcome", attempt_outcome_name(outcome));
	record_text(&record, "connection", net_outcome_name(net));
	record_int(&record, "reused", try->net.reused);
	record_int(&record, "status", try->answer.status);
	record_ms(&record, "took_ms",
		  reactor_now_ns(forwarder->reactor) - try->began_ns);
	record_end(&record);
}

static void on_done(struct net_call *net, enum net_outcome net_outcome)
{
	struct forward_try *try = try_of(net);
	enum attempt_outcome outcome = judge(try, net_outcome);

	learn_health(try, outcome);
	learn_crash(try, outcome, net_outcome);
	report_end(try, outcome, net_outcome);
	forward_on_try_end(try, outcome);
}

static const struct net_call_vtable try_vtable = { on_head, on_body, on_done };

static void report_start(const struct forward_try *try)
{
	const struct forward *forward = try->forward;
	const struct fleet_server *server = try->server;
	int64_t now_ns = try->began_ns;
	struct record record;

	record_begin(&record, forward->forwarder->log, "forward", "sent");
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "route", forward->route->name);
	record_int(&record, "config", (int64_t)forward->config->version);
	record_text(&record, "team",
		    forward->team ? forward->team->name : NULL);
	record_text(&record, "server", server->entry.id);
	record_int(&record, "try", forward->sent);
	record_int(&record, "own_running", server->running);
	record_int(&record, "load",
		   server->load.running + server->load.waiting);
	record_ms(&record, "load_age_ms",
		  server->load.seen_ns ? now_ns - server->load.seen_ns : -1);
	record_ms(&record, "left_ms", forward->answer_by_ns - now_ns);
	record_end(&record);
}

static void write_head(struct forward_try *try)
{
	const struct forward *forward = try->forward;
	struct server_request out = {
		.server_id = try->server->entry.id,
		.team = forward->team ? forward->team->name : NULL,
		.priority = -1,
		.last_event_id = forward->last_event,
		.time_left_ms =
			(forward->answer_by_ns - try->began_ns) / NS_PER_MS,
	};

	if (out.time_left_ms < 1)
		out.time_left_ms = 1;
	if (forward->route->carries_tokens) {
		uint32_t priority = forward->route->priority;

		if (forward->team && forward->team->has_priority)
			priority = forward->team->priority;
		out.priority = priority > 9 ? 9 : (int32_t)priority;
	}
	platform_write_request(&try->head, forward->request->head, &out,
			       forward->request->body.len);
}

void forward_try_start(struct forward *forward, struct fleet_server *server,
		       int fresh)
{
	struct forwarder *forwarder = forward->forwarder;
	struct forward_try *try = xcalloc(1, sizeof(*try));

	try->forward = forward;
	try->server = fleet_server_hold(server);
	try->began_ns = reactor_now_ns(forwarder->reactor);
	try->began_wall_ms = clock_wall_ms(&forwarder->reactor->clock);
	try->body_bytes = -1;
	strbuf_init(&try->head);
	strbuf_init(&try->fields);
	strbuf_init(&try->body);
	event_splitter_init(&try->events);
	try->next = forward->tries;
	forward->tries = try;
	forward->running++;
	server->running++;
	circuit_begin_last_resort(&server->circuit, try->began_ns);
	write_head(try);
	try->net.vt = &try_vtable;
	try->net.address = server->entry.address;
	try->net.head = try->head.buf;
	try->net.head_len = try->head.len;
	try->net.body = forward->request->body.buf;
	try->net.body_len = forward->request->body.len;
	try->net.is_head_method =
		!strcmp(forward->request->head->method, "HEAD");
	try->net.fresh = fresh;
	if (forward->route->kind == REQUEST_ONCE ||
	    forward->route->kind == REQUEST_STREAM)
		try->net.max_idle_ns = ONCE_MAX_IDLE_NS;
	report_start(try);
	counter_add(forwarder->tries, 1);
	net_call_start(forwarder->pool, &try->net);
}

static void report_cancel(const struct forward_try *try)
{
	const struct forward *forward = try->forward;
	struct forwarder *forwarder = forward->forwarder;
	struct record record;

	record_begin(&record, forwarder->log, "forward", "try_cancelled");
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "server", try->server->entry.id);
	record_int(&record, "received", (int64_t)try->net.received_bytes);
	record_ms(&record, "took_ms",
		  reactor_now_ns(forwarder->reactor) - try->began_ns);
	record_end(&record);
}

void forward_try_cancel(struct forward_try *try)
{
	report_cancel(try);
	circuit_withdrawn(&try->server->circuit,
			  reactor_now_ns(try->forward->forwarder->reactor));
	net_call_cancel(&try->net);
	forward_try_free(try);
}
