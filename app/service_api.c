/* Plain services: routed by path, run once where they may not be repeated. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/caller_api.h"
#include "app/identity.h"
#include "app/running_keys.h"
#include "base/alloc.h"
#include "base/hash.h"
#include "request/once_table.h"
#include "request/service_call.h"
#include "request/ticket.h"

#define ONCE_FULL_RETRY_NS (10 * NS_PER_S)

/* Headers that a plain service gets to see; the caller's key is not one. */
static const char *const passed_headers[] = {
	"Content-Type", "Accept",	   "Accept-Language",
	"traceparent",	"Idempotency-Key",
};

static const struct problem problem_method = {
	.status = 405,
	.type = "method_not_allowed",
	.detail = "the route does not take this method",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_ticket_missing = {
	.status = 428,
	.type = "ticket_missing",
	.detail = "a call that may not be repeated and has an "
		  "Idempotency-Key needs the Currant-Ticket that came with "
		  "the address",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_ticket_malformed = {
	.status = 400,
	.type = "ticket_malformed",
	.detail = "the Currant-Ticket is not one that /v1/addresses gave",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_ticket_other = {
	.status = 409,
	.type = "outcome_unknown",
	.detail = "the ticket is bound to another host or to an earlier run "
		  "of this one; whether the call ran cannot be told here",
	.run = RUN_UNKNOWN,
};
static const struct problem problem_once_unknown = {
	.status = 409,
	.type = "outcome_unknown",
	.detail = "the call went to a backend server that was lost",
	.run = RUN_UNKNOWN,
};
static const struct problem problem_once_full = {
	.status = 503,
	.type = "overloaded",
	.detail = "too many calls that may not be repeated are remembered",
	.run = RUN_NOT_RUN,
	.retry_after_ns = ONCE_FULL_RETRY_NS,
};
static const struct problem problem_key_reused = {
	.status = 422,
	.type = "idempotency_key_reused",
	.detail = "the Idempotency-Key was used for another request",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_key_long = {
	.status = 400,
	.type = "malformed_request",
	.detail = "the Idempotency-Key is empty or too long",
	.run = RUN_NOT_RUN,
};

struct service {
	struct daemon *daemon;
	struct http_exchange *exchange;
	struct identity identity;
	struct service_call call;
	struct running_request running;
	struct strbuf path; /* escaped, with its query */
	char lines[ARRAY_SIZE(passed_headers)][512];
	const char *headers[ARRAY_SIZE(passed_headers)];
	uint32_t header_count;
	char scope[2 * NAME_BYTES];
	const char *once_key; /* NULL: not to be remembered */
};

static uint32_t method_bit(const char *method)
{
	static const struct {
		const char *name;
		uint32_t bit;
	} methods[] = {
		{ "GET", METHOD_GET },	     { "HEAD", METHOD_GET },
		{ "POST", METHOD_POST },     { "PUT", METHOD_PUT },
		{ "DELETE", METHOD_DELETE },
	};

	for (uint32_t i = 0; i < ARRAY_SIZE(methods); i++)
		if (!strcmp(methods[i].name, method))
			return methods[i].bit;
	return 0;
}

static int admit(struct service *s, struct caller_port *port)
{
	struct problem problem;

	if (identity_route_by_path(s->daemon, s->exchange->path, &s->identity,
				   &problem) ||
	    identity_check_key(s->daemon, s->exchange, &s->identity,
			       &problem)) {
		http_exchange_send_problem(s->exchange, &problem);
		return -1;
	}
	if (caller_api_check_port(port, &s->identity.route, s->exchange))
		return -1;
	if (method_bit(s->exchange->method) & s->identity.route.methods)
		return 0;
	http_exchange_send_problem(s->exchange, &problem_method);
	return -1;
}

static void collect_headers(struct service *s)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(passed_headers); i++) {
		const char *value =
			http_exchange_header(s->exchange, passed_headers[i]);
		char *line = s->lines[s->header_count];

		if (!value)
			continue;
		if (snprintf(line, sizeof(s->lines[0]), "%s: %s",
			     passed_headers[i],
			     value) >= (int)sizeof(s->lines[0]))
			continue;
		s->headers[s->header_count++] = line;
	}
	http_path_escape(&s->path, s->exchange->path);
	if (s->exchange->query)
		strbuf_addf(&s->path, "?%s", s->exchange->query);
}

static uint64_t fingerprint(const struct service *s)
{
	uint64_t hash = hash_text(s->exchange->method, 0);

	hash = hash_text(s->path.buf, hash);
	return hash_bytes(s->exchange->body.buf, s->exchange->body.len, hash);
}

static void send_answer(struct service *s, int status, const char *content_type,
			const struct strbuf *body)
{
	http_exchange_send(s->exchange, status,
			   *content_type ? content_type
					 : "application/octet-stream",
			   NULL, body->buf, body->len);
}

static void cancel_running(struct running_request *request,
			   const struct problem *problem)
{
	service_call_cancel(request->arg, problem);
}

static void register_running(struct service *s)
{
	struct running_request *running = &s->running;

	snprintf(running->id, sizeof(running->id), "%s %.50s",
		 s->exchange->method, s->exchange->path);
	copy_text(running->team, sizeof(running->team), s->identity.team);
	copy_text(running->key_id, sizeof(running->key_id), s->identity.key_id);
	copy_text(running->route, sizeof(running->route),
		  s->identity.route.name);
	running->started_ns = clock_now_ns(&s->daemon->clock);
	running->cancel = cancel_running;
	running->arg = &s->call;
	running_keys_add(s->daemon, running);
}

static void remember(struct service *s, int result,
		     const struct problem *problem)
{
	struct once_answer answer = { .status = (int)s->call.call.status };

	if (!s->once_key)
		return;
	if (result && problem->run == RUN_NOT_RUN) {
		once_table_forget(&s->daemon->once, s->scope, s->once_key);
		return;
	}
	copy_text(answer.content_type, sizeof(answer.content_type),
		  s->call.call.content_type);
	answer.body = s->call.answer;
	once_table_end(&s->daemon->once, s->scope, s->once_key,
		       result ? NULL : &answer);
}

static void run_in_slot(struct service *s)
{
	struct service_request request = {
		.method = s->exchange->method,
		.path = s->path.buf,
		.body = &s->exchange->body,
		.headers = s->headers,
		.header_count = s->header_count,
	};
	struct problem problem;
	int result;

	service_call_init(&s->call, &s->daemon->job_env, &s->identity.route);
	register_running(s);
	result = service_call_run(&s->call, &request, &problem);
	running_table_remove(&s->daemon->running, &s->running);
	remember(s, result, &problem);
	daemon_count_service(s->daemon, &s->identity, &s->call, result);
	if (result)
		http_exchange_send_problem(s->exchange, &problem);
	else
		send_answer(s, (int)s->call.call.status,
			    s->call.call.content_type, &s->call.answer);
	service_call_finish(&s->call);
}

/* Holds one of the team's slots while the call runs. */
static void run(struct service *s)
{
	if (daemon_take_team_slot(s->daemon, s->identity.team)) {
		remember(s, -1, &problem_team_limit);
		http_exchange_send_problem(s->exchange, &problem_team_limit);
		return;
	}
	run_in_slot(s);
	team_slots_give_back(&s->daemon->team_slots, s->identity.team);
}

static const struct problem *ticket_problem(struct service *s,
					    uint64_t *generation)
{
	const char *text = http_exchange_header(s->exchange, "Currant-Ticket");
	struct ticket own;

	if (!text)
		return &problem_ticket_missing;
	daemon_ticket(s->daemon, &own);
	*generation = own.generation;
	switch (ticket_judge(&own, text)) {
	case TICKET_OWN:
		return NULL;
	case TICKET_MALFORMED:
		return &problem_ticket_malformed;
	case TICKET_EXPIRED:
	case TICKET_OTHER:
		break;
	}
	return &problem_ticket_other;
}

static const struct problem *once_problem(enum once_begin_result result)
{
	switch (result) {
	case ONCE_LOST:
		return &problem_once_unknown;
	case ONCE_FULL:
		return &problem_once_full;
	case ONCE_MISMATCH:
		return &problem_key_reused;
	case ONCE_BEGUN:
	case ONCE_REPLAY:
		break;
	}
	return NULL;
}

/* Runs a call with an idempotency key at most once under its ticket. */
static void run_once(struct service *s, const char *key)
{
	struct once_answer answer = { .status = 0 };
	const struct problem *problem;
	enum once_begin_result result;
	uint64_t generation = 0;

	problem = ticket_problem(s, &generation);
	if (!problem && (!*key || strlen(key) >= ONCE_KEY_BYTES))
		problem = &problem_key_long;
	if (problem) {
		http_exchange_send_problem(s->exchange, problem);
		return;
	}
	snprintf(s->scope, sizeof(s->scope), "%s %s", s->identity.team,
		 s->identity.route.name);
	strbuf_init(&answer.body);
	result = once_table_begin(&s->daemon->once, s->scope, key,
				  fingerprint(s), generation, &answer);
	problem = once_problem(result);
	s->once_key = key;
	if (problem)
		http_exchange_send_problem(s->exchange, problem);
	else if (result == ONCE_REPLAY)
		send_answer(s, answer.status, answer.content_type,
			    &answer.body);
	else
		run(s);
	strbuf_finish(&answer.body);
}

void service_api_handle(struct caller_port *port,
			struct http_exchange *exchange)
{
	struct service *s = xcalloc(1, sizeof(*s));
	const char *key = http_exchange_header(exchange, "Idempotency-Key");

	s->daemon = port->daemon;
	s->exchange = exchange;
	strbuf_init(&s->path);
	if (!admit(s, port)) {
		collect_headers(s);
		if (key && !s->identity.route.repeatable)
			run_once(s, key);
		else
			run(s);
	}
	strbuf_finish(&s->path);
	free(s);
}
