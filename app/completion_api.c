/* Completions: from the caller's body to whole samples or a refusal. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "app/caller_api.h"
#include "app/identity.h"
#include "app/running_keys.h"
#include "app/trace.h"
#include "base/alloc.h"
#include "base/hash.h"
#include "request/stream_event.h"

#define SUPERSEDED_RETRY_NS (1 * NS_PER_S)
#define GROUPS_FULL_RETRY_NS (5 * NS_PER_S)

static const struct problem problem_superseded = {
	.status = 409,
	.type = "superseded",
	.detail = "the trainer asked for this group on another connection",
	.run = RUN_UNKNOWN,
	.retry_after_ns = SUPERSEDED_RETRY_NS,
};
static const struct problem problem_groups_full = {
	.status = 503,
	.type = "overloaded",
	.detail = "too many groups wait for their trainers to acknowledge",
	.run = RUN_NOT_RUN,
	.retry_after_ns = GROUPS_FULL_RETRY_NS,
};

/* One completion request on the thread that serves it. */
struct completion {
	struct daemon *daemon;
	struct http_exchange *exchange;
	struct identity identity;
	struct completion_spec spec;
	struct running_request running;
	struct group_id group;
	struct job *job;
	uint64_t waiter;
	int joined; /* the job was there before */
};

static void send_invalid(struct http_exchange *exchange, const char *detail)
{
	struct problem problem = {
		.status = 400,
		.type = "malformed_request",
		.detail = detail,
		.run = RUN_NOT_RUN,
	};

	http_exchange_send_problem(exchange, &problem);
}

static void cancel_running(struct running_request *request,
			   const struct problem *problem)
{
	job_fail(request->arg, problem);
}

static void make_request_id(struct completion_spec *spec)
{
	uint64_t id[2];

	random_bytes(id, sizeof(id));
	snprintf(spec->request_id, sizeof(spec->request_id),
		 "req-%016" PRIx64 "%08x", id[0], (uint32_t)id[1]);
}

/* Refuses at once what would not be through by its deadline. */
static int check_wait(struct completion *c)
{
	const struct route *route = &c->identity.route;
	struct admission_ask ask = {
		.pool = route->pool,
		.team = c->identity.team,
		.latency_bound = route->class_ == ROUTE_LATENCY,
		.tokens = (double)c->spec.n * c->spec.max_tokens,
		.deadline_ns = clock_now_ns(&c->daemon->clock) +
			       route->deadline_ms * NS_PER_MS,
	};
	struct problem problem = {
		.status = 503,
		.type = "overloaded",
		.detail = "the request would wait beyond the route's deadline",
		.run = RUN_NOT_RUN,
	};

	if (pool_queues_admit(&c->daemon->queues, &ask,
			      &problem.retry_after_ns))
		return 0;
	http_exchange_send_problem(c->exchange, &problem);
	return -1;
}

/* Checks everything that can be refused before any work. */
static int admit(struct completion *c, struct caller_port *port)
{
	const struct route *route = &c->identity.route;
	struct problem problem;

	if (identity_route_by_model(c->daemon, c->spec.model, &c->identity,
				    &problem) ||
	    identity_check_key(c->daemon, c->exchange, &c->identity,
			       &problem)) {
		http_exchange_send_problem(c->exchange, &problem);
		return -1;
	}
	if (caller_api_check_port(port, route, c->exchange))
		return -1;
	if (route->max_tokens && c->spec.max_tokens > route->max_tokens) {
		char detail[ERROR_TEXT_MAX];

		snprintf(detail, sizeof(detail),
			 "field 'max_tokens' must be at most %u on route '%s'",
			 route->max_tokens, route->name);
		send_invalid(c->exchange, detail);
		return -1;
	}
	return 0;
}

static void fill_group_id(struct completion *c)
{
	copy_text(c->group.team, sizeof(c->group.team), c->identity.team);
	copy_text(c->group.trainer, sizeof(c->group.trainer), c->spec.trainer);
	c->group.step = c->spec.step;
	c->group.group = c->spec.group;
}

/* Makes the job, or joins the one that runs for the same group. */
static int open_job(struct completion *c)
{
	struct job *own;
	int has_group = c->spec.has_group;

	fill_group_id(c);
	own = job_new(&c->daemon->job_env, &c->spec, &c->identity.route,
		      c->identity.team, c->identity.weight, c->identity.key_id);
	if (!has_group) {
		c->job = own;
		return 0;
	}
	c->job = group_table_find_or_add(&c->daemon->groups, &c->group, own,
					 clock_now_ns(&c->daemon->clock),
					 &c->joined);
	job_unref(own);
	if (c->job)
		return 0;
	http_exchange_send_problem(c->exchange, &problem_groups_full);
	return -1;
}

static void register_running(struct completion *c)
{
	struct running_request *running = &c->running;

	copy_text(running->id, sizeof(running->id), c->job->spec.request_id);
	copy_text(running->team, sizeof(running->team), c->identity.team);
	copy_text(running->key_id, sizeof(running->key_id), c->identity.key_id);
	copy_text(running->route, sizeof(running->route),
		  c->identity.route.name);
	running->started_ns = clock_now_ns(&c->daemon->clock);
	running->cancel = cancel_running;
	running->arg = c->job;
	running_keys_add(c->daemon, running);
}

static void send_answer(struct completion *c)
{
	/* The one that the samples were judged by, not one from just now. */
	uint64_t latest = c->job->checked_version;
	json_t *json;

	pthread_mutex_lock(&c->job->lock);
	json = answer_json(c->job, latest);
	pthread_mutex_unlock(&c->job->lock);
	http_exchange_send_json(c->exchange, 200, json);
	json_decref(json);
	if (!c->exchange->broken)
		trace_delivered(c->daemon, c->job, latest);
}

/* A job that failed must not be found by the next request of its group. */
static void send_failure(struct completion *c)
{
	struct problem problem = c->job->problem;

	if (c->job->spec.has_group)
		group_table_remove(&c->daemon->groups, &c->group);
	http_exchange_send_problem(c->exchange, &problem);
}

static void wait_and_answer(struct completion *c)
{
	enum job_wait_result result;
	int stale;

	do {
		result = job_wait(c->job, c->waiter, NULL);
		if (result == JOB_SUPERSEDED) {
			http_exchange_send_problem(c->exchange,
						   &problem_superseded);
			return;
		}
		stale = job_check_staleness(c->job);
	} while (stale > 0);
	job_end_deadline(c->job);
	if (c->job->failed)
		send_failure(c);
	else
		send_answer(c);
}

static void end_stream(struct completion *c)
{
	struct strbuf out;

	strbuf_init(&out);
	if (c->job->failed) {
		stream_event_add_problem(&out, &c->job->problem);
		http_exchange_stream(c->exchange, out.buf, out.len);
		http_exchange_abort_stream(c->exchange);
	} else {
		strbuf_addstr(&out, "data: [DONE]\n\n");
		http_exchange_stream(c->exchange, out.buf, out.len);
		http_exchange_end_stream(c->exchange);
		trace_delivered(c->daemon, c->job,
				version_table_latest(&c->daemon->versions,
						     c->job->pool));
	}
	strbuf_finish(&out);
}

static const struct problem problem_caller_gone = {
	.status = 499,
	.type = "caller_gone",
	.detail = "the caller closed the connection",
	.run = RUN_UNKNOWN,
};

/* The head goes out with the first data, so that a refusal keeps its status. */
static void stream_answer(struct completion *c)
{
	struct strbuf out;

	strbuf_init(&out);
	while (job_wait(c->job, c->waiter, &out) == JOB_DATA) {
		if (!c->exchange->head_sent)
			http_exchange_begin_stream(c->exchange,
						   "text/event-stream");
		if (http_exchange_stream(c->exchange, out.buf, out.len))
			job_fail(c->job, &problem_caller_gone);
		strbuf_reset(&out);
	}
	strbuf_finish(&out);
	job_end_deadline(c->job);
	if (c->exchange->head_sent)
		end_stream(c);
	else if (c->job->failed)
		send_failure(c);
}

static void serve(struct completion *c)
{
	register_running(c);
	c->waiter = job_take_over(c->job);
	if (!c->joined)
		job_start(c->job);
	if (c->job->spec.stream)
		stream_answer(c);
	else
		wait_and_answer(c);
	running_table_remove(&c->daemon->running, &c->running);
	job_unref(c->job);
}

/* Holds one of the team's slots while the request is in flight. */
static void serve_in_slot(struct completion *c)
{
	if (daemon_take_team_slot(c->daemon, c->identity.team)) {
		http_exchange_send_problem(c->exchange, &problem_team_limit);
		return;
	}
	if (!check_wait(c) && !open_job(c))
		serve(c);
	team_slots_give_back(&c->daemon->team_slots, c->identity.team);
}

void completion_api_handle(struct caller_port *port,
			   struct http_exchange *exchange, int chat)
{
	struct error err = ERROR_INIT;
	struct completion c;

	memset(&c, 0, sizeof(c));
	c.daemon = port->daemon;
	c.exchange = exchange;
	if (completion_spec_parse(&c.spec, exchange->body.buf,
				  exchange->body.len, chat, &err)) {
		send_invalid(exchange, err.text);
		return;
	}
	if (c.spec.stream && c.spec.has_group) {
		send_invalid(exchange, "a trainer's group cannot be streamed");
		completion_spec_finish(&c.spec);
		return;
	}
	make_request_id(&c.spec);
	if (!admit(&c, port))
		serve_in_slot(&c);
	completion_spec_finish(&c.spec);
}
