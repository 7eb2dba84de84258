#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "forward/forward_private.h"
#include "platform/messages.h"

/* Answers up to this size are buffered until they are complete. */
#define BUFFERED_BODY_MAX_BYTES (256 * 1024)
/* Likewise while callers' connections are short of memory. */
#define BUFFERED_BODY_SHORT_BYTES (16 * 1024)
/* Max idle time of a kept connection for requests that must not run twice. */
#define NON_IDEMPOTENT_MAX_IDLE_NS (500 * NS_PER_MS)

static struct forward_attempt *attempt_of(struct net_call *net)
{
	return (struct forward_attempt *)net;
}

void forward_attempt_free(struct forward_attempt *attempt)
{
	struct forward_attempt **at = &attempt->forward->attempts;

	while (*at != attempt)
		at = &(*at)->next;
	*at = attempt->next;
	attempt->forward->attempts_in_flight--;
	fleet_server_end(attempt->server);
	fleet_server_unref(attempt->server);
	strbuf_finish(&attempt->request_head);
	strbuf_finish(&attempt->response_fields);
	strbuf_finish(&attempt->response_body);
	event_splitter_finish(&attempt->events);
	free(attempt);
}

static enum net_head_verdict on_head(struct net_call *net)
{
	struct forward_attempt *attempt = attempt_of(net);
	struct server_answer *answer = &attempt->answer;

	platform_read_answer(net->answer, attempt->forward->caller.id, answer);
	fleet_server_apply_answer(
		attempt->server, answer,
		reactor_now_ns(attempt->forward->forwarder->reactor));
	if (answer->other_request)
		return NET_HEAD_SKIP;
	if (answer->status < 300 && !answer->has_receipt)
		return NET_HEAD_REJECT;
	platform_write_answer_fields(&attempt->response_fields, net->answer);
	attempt->response_body_bytes = net_call_body_bytes(net);
	attempt->has_events = answer->status < 300 &&
			      forward_is_stream(attempt->forward);
	if (attempt->has_events)
		forward_begin_stream(attempt);
	return NET_HEAD_ACCEPT;
}

static size_t buffered_max(const struct net_request *request)
{
	return net_request_is_short_of_memory(request)
		       ? BUFFERED_BODY_SHORT_BYTES
		       : BUFFERED_BODY_MAX_BYTES;
}

static int on_body(struct net_call *net, const char *data, size_t len)
{
	struct forward_attempt *attempt = attempt_of(net);
	struct net_request *request = attempt->forward->request;
	uint64_t buffered_bytes = 0;

	if (attempt->streaming)
		return forward_stream(attempt, data, len);
	strbuf_add(&attempt->response_body, data, len);
	for (const struct forward_attempt *a = attempt->forward->attempts; a;
	     a = a->next)
		buffered_bytes += a->response_body.len;
	net_request_set_owner_bytes(request, buffered_bytes);
	if (attempt->response_body.len <= buffered_max(request))
		return 0;
	/*
	 * Only the head of a not-run answer is used, and a response that
	 * another attempt has started takes precedence.
	 */
	if (attempt->answer.not_run || attempt->forward->response_started)
		return -1;
	forward_begin_stream(attempt);
	return 0;
}

static enum attempt_outcome
classify_outcome(const struct forward_attempt *attempt,
		 enum net_outcome outcome)
{
	const struct net_call *net = &attempt->net;

	switch (outcome) {
	case NET_ANSWERED:
		if (attempt->answer.not_run)
			return ATTEMPT_NOT_RUN;
		return attempt->answer.status >= 500 ? ATTEMPT_FAILED
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

static void update_circuit(struct forward_attempt *attempt,
			   enum attempt_outcome outcome)
{
	struct forwarder *forwarder = attempt->forward->forwarder;
	struct circuit *circuit = &attempt->server->circuit;

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
		circuit_cancelled(circuit, reactor_now_ns(forwarder->reactor));
		break;
	}
}

/* An attempt whose connection broke off may have crashed its server. */
static void note_crash_evidence(const struct forward_attempt *attempt,
				enum attempt_outcome outcome,
				enum net_outcome net)
{
	const struct forward *forward = attempt->forward;
	struct crash_watch *watch = forward->forwarder->crashes;

	if (!watch)
		return;
	if (outcome == ATTEMPT_LOST && net == NET_CUT)
		crash_watch_note_crash(watch, forward_hash(forward),
				       forward->caller.id,
				       attempt->server->entry.id);
	else if (outcome == ATTEMPT_ANSWERED && !crash_watch_is_idle(watch))
		crash_watch_note_answer(watch, forward_hash(forward),
					forward->caller.id,
					attempt->server->entry.id);
	else if ((outcome == ATTEMPT_NOT_RUN || outcome == ATTEMPT_NOT_SENT) &&
		 forward->is_suspect)
		crash_watch_note_not_run(watch, forward_hash(forward));
}

static void log_attempt_end(const struct forward_attempt *attempt,
			    enum attempt_outcome outcome, enum net_outcome net)
{
	const struct forward *forward = attempt->forward;
	struct forwarder *forwarder = forward->forwarder;
	struct record record;

	record_begin(&record, forwarder->log, "forward", "try_ended");
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "server", attempt->server->entry.id);
	record_text(&record, "outcome", attempt_outcome_name(outcome));
	record_text(&record, "connection", net_outcome_name(net));
	record_int(&record, "reused", attempt->net.reused);
	record_int(&record, "status", attempt->answer.status);
	record_ms(&record, "took_ms",
		  reactor_now_ns(forwarder->reactor) - attempt->started_ns);
	record_end(&record);
}

static void on_done(struct net_call *net, enum net_outcome net_outcome)
{
	struct forward_attempt *attempt = attempt_of(net);
	enum attempt_outcome outcome = classify_outcome(attempt, net_outcome);

	load_counters_add(&attempt->forward->forwarder->load_counters,
			  &attempt->answer);
	update_circuit(attempt, outcome);
	note_crash_evidence(attempt, outcome, net_outcome);
	log_attempt_end(attempt, outcome, net_outcome);
	forward_on_attempt_end(attempt, outcome);
}

static const struct net_call_vtable attempt_vtable = { on_head, on_body,
						       on_done };

static void log_attempt_start(const struct forward_attempt *attempt)
{
	const struct forward *forward = attempt->forward;
	const struct fleet_server *server = attempt->server;
	int64_t now_ns = attempt->started_ns;
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
	load_record_put(&record, &server->load, now_ns);
	record_ms(&record, "left_ms", forward->deadline_ns - now_ns);
	record_end(&record);
}

static void write_head(struct forward_attempt *attempt)
{
	const struct forward *forward = attempt->forward;
	struct server_request out = {
		.server_id = attempt->server->entry.id,
		.team = forward->team ? forward->team->name : NULL,
		.priority = -1,
		.last_event_id = forward->last_event_id,
		.time_left_ms = (forward->deadline_ns - attempt->started_ns) /
				NS_PER_MS,
	};

	if (out.time_left_ms < 1)
		out.time_left_ms = 1;
	if (forward->route->carries_tokens) {
		uint32_t priority = forward->route->priority;

		if (forward->team && forward->team->has_priority)
			priority = forward->team->priority;
		out.priority = priority > 9 ? 9 : (int32_t)priority;
	}
	platform_write_request(&attempt->request_head, forward->request->head,
			       &out, forward->request->body.len);
}

void forward_attempt_start(struct forward *forward, struct fleet_server *server,
			   int fresh)
{
	struct forwarder *forwarder = forward->forwarder;
	struct forward_attempt *attempt = xcalloc(1, sizeof(*attempt));

	attempt->forward = forward;
	attempt->server = fleet_server_ref(server);
	attempt->started_ns = reactor_now_ns(forwarder->reactor);
	attempt->started_wall_ms = clock_wall_ms(&forwarder->reactor->clock);
	attempt->response_body_bytes = -1;
	strbuf_init(&attempt->request_head);
	strbuf_init(&attempt->response_fields);
	strbuf_init(&attempt->response_body);
	event_splitter_init(&attempt->events);
	attempt->next = forward->attempts;
	forward->attempts = attempt;
	forward->attempts_in_flight++;
	fleet_server_begin(server, attempt->started_ns);
	circuit_begin_last_resort(&server->circuit, attempt->started_ns);
	write_head(attempt);
	attempt->net.vt = &attempt_vtable;
	attempt->net.address = server->entry.address;
	attempt->net.head = attempt->request_head.buf;
	attempt->net.head_len = attempt->request_head.len;
	attempt->net.body = forward->request->body.buf;
	attempt->net.body_len = forward->request->body.len;
	attempt->net.is_head_method =
		!strcmp(forward->request->head->method, "HEAD");
	attempt->net.no_reuse = fresh;
	if (forward->route->kind == REQUEST_ONCE ||
	    forward->route->kind == REQUEST_STREAM)
		attempt->net.max_idle_ns = NON_IDEMPOTENT_MAX_IDLE_NS;
	log_attempt_start(attempt);
	counter_add(forwarder->attempts, 1);
	net_call_start(forwarder->pool, &attempt->net);
}

static void log_attempt_cancel(const struct forward_attempt *attempt)
{
	const struct forward *forward = attempt->forward;
	struct forwarder *forwarder = forward->forwarder;
	struct record record;

	record_begin(&record, forwarder->log, "forward", "try_cancelled");
	record_text(&record, "id", forward->caller.id);
	record_text(&record, "server", attempt->server->entry.id);
	record_int(&record, "received", (int64_t)attempt->net.received_bytes);
	record_ms(&record, "took_ms",
		  reactor_now_ns(forwarder->reactor) - attempt->started_ns);
	record_end(&record);
}

void forward_attempt_cancel(struct forward_attempt *attempt)
{
	log_attempt_cancel(attempt);
	circuit_cancelled(&attempt->server->circuit,
			  reactor_now_ns(attempt->forward->forwarder->reactor));
	net_call_cancel(&attempt->net);
	forward_attempt_free(attempt);
}
