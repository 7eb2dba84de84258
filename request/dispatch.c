/*
 * Sends samples to backend servers and takes their answers: choice, retry
 * elsewhere, continuation of what an earlier try generated.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/container_of.h"
#include "request/job.h"
#include "request/stream_event.h"

/* Shorter answers are asked for in one piece, which costs less. */
#define STREAM_FROM_TOKENS 16
#define PRIORITY_LATENCY 0
#define PRIORITY_BATCH 10
/* The job's own deadline ends a call; its timeout is only a last resort. */
#define CALL_TIMEOUT_GRACE_MS 1000

static uint64_t next_backend_id;

static int uses_stream(const struct job *job)
{
	return job->streams || job->spec.max_tokens >= STREAM_FROM_TOKENS;
}

static void fill_choice(const struct job *job, const struct sample *sample,
			const char **avoid, struct choice_request *request)
{
	uint64_t latest =
		job->has_bound
			? job->env->latest_version(job->env->arg, job->pool)
			: 0;

	memset(request, 0, sizeof(*request));
	request->prefix = job->spec.prefix;
	request->prompt_tokens = job->spec.prompt_tokens;
	request->expected_tokens = job->spec.max_tokens - sample->tokens;
	request->latency_bound = job->latency_bound;
	request->needs_dear = !job->repeatable || job->latency_bound;
	request->own_data_centre = job->env->data_centre;
	request->avoid = avoid;
	request->avoid_count = sample->avoid_count;
	request->needs_room = 1;
	if (job->has_bound && latest > job->bound)
		request->min_version = latest - job->bound;
	for (uint32_t i = 0; i < sample->avoid_count; i++)
		avoid[i] = sample->avoid[i];
}

enum pick_result {
	PICKED = 0,
	PICK_NO_ROOM, /* servers could take it once they have room */
	PICK_NONE, /* no server can take it */
	PICK_AGAIN, /* the server that was named is taken; ask for a rule */
};

/* Takes the server on which the same request runs. */
static int pick_beside(struct job *job, struct sample *sample,
		       const char *server)
{
	sample->expected_tokens = job->spec.max_tokens - sample->tokens;
	return server_table_pick_named(
		job->env->servers, job->pool, server, sample->expected_tokens,
		clock_now_ns(job->env->clock), &sample->pick);
}

/* Takes the server that was kept free for a suspect. */
static enum pick_result pick_alone(struct job *job, struct sample *sample,
				   const char *server)
{
	sample->expected_tokens = job->spec.max_tokens - sample->tokens;
	if (server_table_pick_alone(job->env->servers, job->pool, server,
				    sample->expected_tokens,
				    clock_now_ns(job->env->clock),
				    &sample->pick))
		return PICK_AGAIN;
	sample->alone = 1;
	return PICKED;
}

/* Ends what a pick began. */
static void release_server(struct job *job, struct sample *sample,
			   enum server_outcome outcome, int64_t took_ns,
			   int64_t now_ns)
{
	server_table_done(job->env->servers, job->pool, sample->pick.name,
			  sample->expected_tokens, outcome, took_ns, now_ns);
	if (sample->alone)
		server_table_end_alone(job->env->servers, job->pool,
				       sample->pick.name, outcome, now_ns);
	sample->alone = 0;
}

/* A second pass forgets who was tried, a third takes cheap servers too. */
static enum pick_result pick_any(struct job *job, struct sample *sample)
{
	const char *avoid[SAMPLE_AVOID_MAX];
	struct choice_request request;
	int64_t now_ns = clock_now_ns(job->env->clock);
	struct server_table *servers = job->env->servers;

	fill_choice(job, sample, avoid, &request);
	sample->expected_tokens = request.expected_tokens;
	if (!server_table_pick(servers, job->pool, &request, now_ns,
			       &sample->pick))
		return PICKED;
	request.avoid_count = 0;
	if (!server_table_pick(servers, job->pool, &request, now_ns,
			       &sample->pick))
		return PICKED;
	request.needs_dear = 0;
	if (!server_table_pick(servers, job->pool, &request, now_ns,
			       &sample->pick))
		return PICKED;
	request.needs_room = 0;
	return server_table_can_pick(servers, job->pool, &request, now_ns)
		       ? PICK_NO_ROOM
		       : PICK_NONE;
}

static enum pick_result pick_server(struct job *job, struct sample *sample,
				    enum job_rule rule, const char *server)
{
	if (rule == JOB_RULE_ALONE)
		return pick_alone(job, sample, server);
	if (rule == JOB_RULE_BESIDE && !pick_beside(job, sample, server))
		return PICKED;
	return pick_any(job, sample);
}

static void on_retry_timer(void *arg, int64_t now_ns)
{
	struct sample *sample = arg;
	struct job *job = sample->job;

	(void)now_ns;
	pthread_mutex_lock(&job->lock);
	sample->retry_waiting = 0;
	if (!job->failed)
		job_dispatch(job, sample);
	pthread_mutex_unlock(&job->lock);
	job_unref(job);
}

static void schedule(struct job *job, struct sample *sample, int64_t delay_ns)
{
	sample->retry_waiting = 1;
	job_ref(job);
	timer_subscribe_once(job->env->timers, &sample->retry_timer, delay_ns,
			     on_retry_timer, sample);
}

/* Tries again after a delay that doubles; gives up after the last try. */
static void retry_later(struct job *job, struct sample *sample,
			const char *reason)
{
	int64_t delay_ns = JOB_RETRY_DELAY_NS << sample->tries;
	int64_t now_ns = clock_now_ns(job->env->clock);

	if (sample->tries >= JOB_TRIES_MAX ||
	    now_ns + delay_ns >= job->deadline_ns ||
	    !server_table_take_retry(job->env->servers, job->pool)) {
		job_refuse_locked(job, 503, "no_backend_server", RUN_NOT_RUN,
				  server_table_retry_after_ns(job->env->servers,
							      job->pool),
				  reason);
		return;
	}
	sample->tries++;
	counter_add(job->env->retries, 1);
	schedule(job, sample, delay_ns);
}

static int on_event_text(void *arg, const char *text, size_t len)
{
	struct sample *sample = arg;
	struct job *job = sample->job;
	struct strbuf added;
	int result;

	strbuf_init(&added);
	result = sample_take_event(sample, text, len, &added);
	if (result > 0 && job->streams) {
		stream_event_add(&job->out, job, sample, &added);
		pthread_cond_broadcast(&job->changed);
	}
	strbuf_finish(&added);
	return result < 0 ? -1 : 0;
}

static void on_data(struct backend_call *call, const char *data, size_t len)
{
	struct sample *sample = container_of(call, struct sample, call);
	struct job *job = sample->job;

	pthread_mutex_lock(&job->lock);
	if (job->failed || sample->broken) {
		pthread_mutex_unlock(&job->lock);
		return;
	}
	if (call->status != 200 || !uses_stream(job)) {
		strbuf_add(&sample->raw, data, len);
	} else {
		request_life_step(&sample->life, EVENT_DATA);
		if (sse_parser_feed(&sample->sse, data, len, on_event_text,
				    sample)) {
			sample->broken = 1;
			backend_loop_cancel(sample->loop, sample->call_id);
		}
	}
	pthread_mutex_unlock(&job->lock);
}

/* The server's own word that it did not run the call. */
static int says_not_run(const struct sample *sample)
{
	json_t *root;
	int result;

	if (sample->call.outcome != CALL_ANSWERED ||
	    (sample->call.status != 503 && sample->call.status != 429))
		return 0;
	root = json_loadb(sample->raw.buf, sample->raw.len, 0, NULL);
	result = json_is_true(json_object_get(root, "not_run"));
	json_decref(root);
	return result;
}

static int is_whole(struct sample *sample)
{
	const struct backend_call *call = &sample->call;

	if (call->outcome != CALL_ANSWERED || call->status != 200 ||
	    sample->broken)
		return 0;
	if (!uses_stream(sample->job) &&
	    sample_take_answer(sample, sample->raw.buf, sample->raw.len))
		return 0;
	return sample->saw_end && sample->finish_reason[0] &&
	       sample_is_traced(sample);
}

static void complete(struct job *job, struct sample *sample)
{
	request_life_step(&sample->life, EVENT_COMPLETE);
	sample->done = 1;
	job->done_count++;
	counter_add(job->env->samples_ok, 1);
	counter_add(job->env->tokens, sample->tokens);
	pool_queues_finished(job->env->queues, job->pool, sample);
	if (job->streams)
		stream_event_add_end(&job->out, job, sample);
	job->env->backend_used(job->env->arg, job, sample);
	pthread_cond_broadcast(&job->changed);
}

static void avoid_server(struct sample *sample)
{
	uint32_t at = sample->avoid_count;

	if (at == SAMPLE_AVOID_MAX)
		at = sample->tries % SAMPLE_AVOID_MAX;
	else
		sample->avoid_count++;
	copy_text(sample->avoid[at], NAME_BYTES, sample->pick.name);
}

/* Whether what is there can be continued by another server. */
static int can_continue(const struct job *job, const struct sample *sample)
{
	return !job->spec.chat && sample_is_traced(sample) &&
	       sample->tokens < job->spec.max_tokens;
}

static void after_loss(struct job *job, struct sample *sample)
{
	int may_retry = sample->life.repeatable;

	request_life_step(&sample->life, EVENT_LOST);
	avoid_server(sample);
	if (sample->tokens && !can_continue(job, sample)) {
		if (job->streams)
			may_retry = 0;
		else
			sample_restart(sample);
	}
	if (may_retry) {
		retry_later(job, sample, "backend servers were lost");
		return;
	}
	job_refuse_locked(job, 502, "outcome_unknown", RUN_UNKNOWN, 0,
			  "the backend server was lost while it ran the "
			  "request");
}

static void after_refusal(struct job *job, struct sample *sample,
			  enum request_event event)
{
	request_life_step(&sample->life, event);
	avoid_server(sample);
	retry_later(job, sample, "no backend server takes the request");
}

/* An answer that will be the same elsewhere, such as 400. */
static int is_final_status(const struct backend_call *call)
{
	return call->outcome == CALL_ANSWERED && call->status >= 400 &&
	       call->status < 500 && call->status != 429 && call->status != 408;
}

static enum server_outcome server_outcome_of(const struct sample *sample,
					     int whole)
{
	if (whole || is_final_status(&sample->call))
		return SERVER_ANSWERED;
	if (says_not_run(sample))
		return SERVER_REFUSED;
	if (sample->call.outcome == CALL_CANCELLED && !sample->broken)
		return SERVER_CANCELLED;
	return SERVER_FAILED;
}

/*
 * A call that never reached its server did not run there, but may show that
 * the server is gone.
 */
static void end_run(struct job *job, struct sample *sample, int whole,
		    enum server_outcome outcome)
{
	const struct job_env *env = job->env;

	if (sample->call.outcome == CALL_NOT_SENT)
		env->run_not_begun(env->arg, sample->run, job->pool,
				   &sample->pick);
	else if (outcome == SERVER_FAILED)
		env->run_lost(env->arg, sample->run, job->pool, &sample->pick);
	else
		env->run_ended(env->arg, sample->run, job->spec.fingerprint,
			       whole);
}

static void take_result(struct job *job, struct sample *sample)
{
	int whole = is_whole(sample);
	enum server_outcome outcome = server_outcome_of(sample, whole);
	int64_t now_ns = clock_now_ns(job->env->clock);
	int64_t took_ns = now_ns - sample->dispatched_ns;

	sample->call_active = 0;
	sample->backend_ns += took_ns;
	end_run(job, sample, whole, outcome);
	release_server(job, sample, outcome, took_ns, now_ns);
	if (job->failed)
		return;
	if (whole)
		complete(job, sample);
	else if (is_final_status(&sample->call))
		job_refuse_locked(job, 502, "backend_rejected", RUN_DONE, 0,
				  "the backend server rejected the request");
	else if (sample->call.outcome == CALL_NOT_SENT)
		after_refusal(job, sample, EVENT_NOT_SENT);
	else if (outcome == SERVER_REFUSED)
		after_refusal(job, sample, EVENT_BACKEND_REFUSED);
	else
		after_loss(job, sample);
}

static void on_done(struct backend_call *call)
{
	struct sample *sample = container_of(call, struct sample, call);
	struct job *job = sample->job;

	pthread_mutex_lock(&job->lock);
	take_result(job, sample);
	pthread_mutex_unlock(&job->lock);
	pool_queues_wake(job->env->queues, job->pool);
	job_unref(job);
}

static const struct backend_call_handler call_handler = {
	.data = on_data,
	.done = on_done,
};

static void build_call(struct job *job, struct sample *sample)
{
	struct backend_call *call = &sample->call;
	uint64_t number =
		__atomic_add_fetch(&next_backend_id, 1, __ATOMIC_RELAXED);
	json_t *body;
	char *text;

	sample->loop = &job->env->loops[number % job->env->loop_count];
	backend_call_finish(call);
	backend_call_init(call, &call_handler);
	strbuf_reset(&sample->raw);
	sse_parser_reset(&sample->sse);
	sample->broken = 0;
	sample->saw_end = 0;
	sample->finish_reason[0] = '\0';
	snprintf(sample->backend_request_id, sizeof(sample->backend_request_id),
		 "%s.%u.%" PRIu64, job->spec.request_id, sample->index, number);
	body = completion_spec_backend_body(
		&job->spec, sample->backend_request_id, sample->text.buf,
		job->spec.max_tokens - sample->tokens, uses_stream(job),
		job->latency_bound ? PRIORITY_LATENCY : PRIORITY_BATCH);
	json_object_set_new(body, "model", json_string(job->pool));
	text = json_dumps(body, JSON_COMPACT);
	strbuf_addstr(&call->body, text);
	free(text);
	json_decref(body);
	copy_text(call->method, sizeof(call->method), "POST");
	strbuf_addf(&call->url, "http://%s/v1/%scompletions",
		    sample->pick.address, job->spec.chat ? "chat/" : "");
	backend_call_add_header(call, "Content-Type: application/json");
	backend_call_add_header(call, "Expect:");
}

/* Hands a picked sample to its server. */
static void send_sample(struct job *job, struct sample *sample)
{
	int64_t now_ns = clock_now_ns(job->env->clock);

	build_call(job, sample);
	sample->run = job->env->run_begun(job->env->arg, sample->pick.name,
					  job->spec.fingerprint, sample->alone);
	sample->call.timeout_ms =
		(job->deadline_ns - now_ns) / NS_PER_MS + CALL_TIMEOUT_GRACE_MS;
	sample->dispatched_ns = now_ns;
	sample->call_active = 1;
	job_ref(job);
	sample->call_id = backend_loop_submit(sample->loop, &sample->call);
}

/* The life rules a second run out. */
static void refuse_second_run(struct job *job, struct sample *sample)
{
	release_server(job, sample, SERVER_CANCELLED, 0,
		       clock_now_ns(job->env->clock));
	job_refuse_locked(job, 502, "outcome_unknown", RUN_UNKNOWN, 0,
			  "the request may have run and may not run twice");
}

static void wait_for_room(struct job *job, struct sample *sample)
{
	struct dispatch_entry *entry = &sample->entry;

	memset(entry, 0, sizeof(*entry));
	entry->team = job->team;
	entry->weight = job->weight;
	entry->latency_bound = job->latency_bound;
	entry->tokens = sample->expected_tokens;
	entry->queued_at_ns = clock_now_ns(job->env->clock);
	pool_queues_push(job->env->queues, job->pool, sample);
}

void job_dispatch(struct job *job, struct sample *sample)
{
	char server[NAME_BYTES];
	struct problem why;
	enum pick_result picked;
	enum job_rule rule = job->env->rule(
		job->env->arg, job->pool, job->spec.fingerprint, server, &why);

	if (rule == JOB_RULE_REFUSE) {
		job_refuse_locked(job, why.status, why.type, why.run,
				  why.retry_after_ns, why.detail);
		return;
	}
	picked = rule == JOB_RULE_WAIT ? PICK_AGAIN
				       : pick_server(job, sample, rule, server);
	if (picked == PICK_AGAIN) {
		schedule(job, sample, JOB_RETRY_DELAY_NS);
		return;
	}
	if (picked == PICK_NO_ROOM) {
		wait_for_room(job, sample);
		return;
	}
	if (picked == PICK_NONE) {
		retry_later(job, sample, "no backend server can take it");
		return;
	}
	if (request_life_step(&sample->life, EVENT_DISPATCH))
		refuse_second_run(job, sample);
	else
		send_sample(job, sample);
}
