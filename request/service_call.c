#include "request/service_call.h"

#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"

static const struct problem problem_no_server = {
	.status = 503,
	.type = "no_backend_server",
	.detail = "no backend server of the route takes the request",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_unknown = {
	.status = 502,
	.type = "outcome_unknown",
	.detail = "the backend server was lost while it ran the request, "
		  "which may not run twice",
	.run = RUN_UNKNOWN,
};
static const struct problem problem_deadline = {
	.status = 504,
	.type = "deadline_exceeded",
	.detail = "the deadline of the route passed",
	.run = RUN_UNKNOWN,
};
static const struct problem problem_too_large = {
	.status = 502,
	.type = "answer_too_large",
	.detail = "the answer of the backend server is over the limit",
	.run = RUN_DONE,
};

void service_call_init(struct service_call *call, const struct job_env *env,
		       const struct route *route)
{
	memset(call, 0, sizeof(*call));
	call->env = env;
	pthread_mutex_init(&call->lock, NULL);
	pthread_cond_init(&call->changed, NULL);
	strbuf_init(&call->answer);
	strbuf_init(&call->call.body);
	request_life_init(&call->life, route->repeatable);
	request_life_step(&call->life, EVENT_ADMIT);
	request_life_step(&call->life, EVENT_QUEUE);
	copy_text(call->pool, sizeof(call->pool), route->pool);
	call->deadline_ns =
		clock_now_ns(env->clock) + route->deadline_ms * NS_PER_MS;
}

void service_call_finish(struct service_call *call)
{
	backend_call_finish(&call->call);
	strbuf_finish(&call->answer);
	pthread_cond_destroy(&call->changed);
	pthread_mutex_destroy(&call->lock);
}

static struct service_call *from_call(struct backend_call *call)
{
	return container_of(call, struct service_call, call);
}

static void on_data(struct backend_call *backend_call, const char *data,
		    size_t len)
{
	struct service_call *call = from_call(backend_call);

	if (call->answer.len + len > SERVICE_ANSWER_MAX_BYTES)
		call->too_large = 1;
	else
		strbuf_add(&call->answer, data, len);
}

static void on_done(struct backend_call *backend_call)
{
	struct service_call *call = from_call(backend_call);

	pthread_mutex_lock(&call->lock);
	call->done = 1;
	pthread_cond_broadcast(&call->changed);
	pthread_mutex_unlock(&call->lock);
}

static const struct backend_call_handler call_handler = {
	.data = on_data,
	.done = on_done,
};

static struct backend_loop *loop_of(struct service_call *call)
{
	return &call->env->loops[(uintptr_t)call / sizeof(*call) %
				 call->env->loop_count];
}

static int pick_server(struct service_call *call)
{
	const char *avoid[SERVICE_TRIES_MAX];
	struct choice_request request;

	memset(&request, 0, sizeof(request));
	request.expected_tokens = 1;
	request.latency_bound = 1;
	request.own_data_centre = call->env->data_centre;
	request.avoid = avoid;
	request.avoid_count = call->tries;
	for (uint32_t i = 0; i < call->tries; i++)
		avoid[i] = call->avoid[i];
	return server_table_pick(call->env->servers, call->pool, &request,
				 clock_now_ns(call->env->clock), &call->pick);
}

static void build(struct service_call *call,
		  const struct service_request *request)
{
	struct backend_call *out = &call->call;

	backend_call_finish(out);
	backend_call_init(out, &call_handler);
	strbuf_reset(&call->answer);
	copy_text(out->method, sizeof(out->method), request->method);
	strbuf_addf(&out->url, "http://%s%s", call->pick.address,
		    request->path);
	strbuf_add(&out->body, request->body->buf, request->body->len);
	for (uint32_t i = 0; i < request->header_count; i++)
		backend_call_add_header(out, request->headers[i]);
	backend_call_add_header(out, "Expect:");
	out->run_once = !call->life.repeatable;
	out->timeout_ms = (call->deadline_ns - clock_now_ns(call->env->clock)) /
				  NS_PER_MS +
			  1;
}

/* Whether a withdrawal has cancelled the call; its problem stays as it is. */
static int is_cancelled(struct service_call *call)
{
	int cancelled;

	pthread_mutex_lock(&call->lock);
	cancelled = call->cancelled;
	pthread_mutex_unlock(&call->lock);
	return cancelled;
}

/* Sends one try and waits for its end. */
static void run_try(struct service_call *call,
		    const struct service_request *request)
{
	build(call, request);
	pthread_mutex_lock(&call->lock);
	call->done = 0;
	if (!call->cancelled) {
		call->call_id = backend_loop_submit(loop_of(call), &call->call);
		while (!call->done)
			pthread_cond_wait(&call->changed, &call->lock);
	} else {
		call->call.outcome = CALL_CANCELLED;
	}
	pthread_mutex_unlock(&call->lock);
}

static enum server_outcome outcome_for_table(const struct service_call *call)
{
	if (call->call.outcome == CALL_ANSWERED)
		return SERVER_ANSWERED;
	if (call->call.outcome == CALL_CANCELLED)
		return SERVER_CANCELLED;
	return SERVER_FAILED;
}

/* Returns 1 if the call ended, 0 if another try may follow. */
static int judge(struct service_call *call)
{
	if (call->call.outcome == CALL_ANSWERED) {
		request_life_step(&call->life, EVENT_COMPLETE);
		return 1;
	}
	if (call->call.outcome == CALL_NOT_SENT) {
		request_life_step(&call->life, EVENT_NOT_SENT);
		return 0;
	}
	request_life_step(&call->life, EVENT_LOST);
	return is_cancelled(call) || !call->life.repeatable;
}

static int fail(struct service_call *call, struct problem *problem)
{
	int cancelled = is_cancelled(call);

	if (cancelled)
		*problem = call->problem;
	else if (clock_now_ns(call->env->clock) >= call->deadline_ns)
		*problem = problem_deadline;
	else if (call->life.run != RUN_NOT_RUN)
		*problem = problem_unknown;
	else
		*problem = problem_no_server;
	problem->run = call->life.run;
	if (problem->run == RUN_NOT_RUN && !cancelled)
		problem->retry_after_ns = server_table_retry_after_ns(
			call->env->servers, call->pool);
	return -1;
}

static int one_try(struct service_call *call,
		   const struct service_request *request)
{
	int64_t start_ns = clock_now_ns(call->env->clock);
	int ended;

	request_life_step(&call->life, EVENT_DISPATCH);
	run_try(call, request);
	ended = judge(call);
	call->took_ns = clock_now_ns(call->env->clock) - start_ns;
	server_table_done(call->env->servers, call->pool, call->pick.name, 1,
			  outcome_for_table(call), call->took_ns,
			  clock_now_ns(call->env->clock));
	copy_text(call->avoid[call->tries], NAME_BYTES, call->pick.name);
	call->tries++;
	return ended;
}

int service_call_run(struct service_call *call,
		     const struct service_request *request,
		     struct problem *problem)
{
	while (call->tries < SERVICE_TRIES_MAX && !is_cancelled(call) &&
	       clock_now_ns(call->env->clock) < call->deadline_ns) {
		if (pick_server(call))
			break;
		if (one_try(call, request) ||
		    !server_table_take_retry(call->env->servers, call->pool))
			break;
		counter_add(call->env->retries, 1);
	}
	if (call->life.state != REQUEST_ANSWERED)
		return fail(call, problem);
	if (!call->too_large)
		return 0;
	*problem = problem_too_large;
	return -1;
}

void service_call_cancel(struct service_call *call,
			 const struct problem *problem)
{
	pthread_mutex_lock(&call->lock);
	if (!call->cancelled) {
		call->cancelled = 1;
		call->problem = *problem;
		if (!call->done && call->call_id)
			backend_loop_cancel(loop_of(call), call->call_id);
	}
	pthread_mutex_unlock(&call->lock);
}
