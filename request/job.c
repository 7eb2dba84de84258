#include "request/job.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static void on_deadline(void *arg, int64_t now_ns)
{
	struct job *job = arg;

	(void)now_ns;
	pthread_mutex_lock(&job->lock);
	job_refuse_locked(
		job, 504, "deadline_exceeded", RUN_NOT_RUN,
		server_table_retry_after_ns(job->env->servers, job->pool),
		"the deadline of the route passed");
	pthread_mutex_unlock(&job->lock);
}

static void choose_bound(struct job *job, const struct completion_spec *spec)
{
	if (spec->has_staleness &&
	    (!job->has_bound || spec->max_staleness < job->bound))
		job->bound = spec->max_staleness;
	job->has_bound |= spec->has_staleness;
}

struct job *job_new(const struct job_env *env, struct completion_spec *spec,
		    const struct route *route, const char *team,
		    uint32_t weight, const char *key_id)
{
	struct job *job = xcalloc(1, sizeof(*job));

	job->env = env;
	job->refs = 1;
	pthread_mutex_init(&job->lock, NULL);
	pthread_cond_init(&job->changed, NULL);
	strbuf_init(&job->out);
	job->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	copy_text(job->team, sizeof(job->team), team);
	copy_text(job->key_id, sizeof(job->key_id), key_id);
	copy_text(job->route, sizeof(job->route), route->name);
	copy_text(job->pool, sizeof(job->pool), route->pool);
	job->latency_bound = route->class_ == ROUTE_LATENCY;
	job->weight = weight;
	/* Sampling again changes nothing but the cost. */
	job->repeatable = 1;
	job->streams = job->spec.stream;
	choose_bound(job, &job->spec);
	job->started_ns = clock_now_ns(env->clock);
	job->deadline_ns = job->started_ns + route->deadline_ms * NS_PER_MS;
	job->samples = xcalloc(job->spec.n, sizeof(*job->samples));
	for (uint32_t i = 0; i < job->spec.n; i++)
		sample_init(&job->samples[i], job, i, job->repeatable);
	return job;
}

void job_ref(struct job *job)
{
	__atomic_add_fetch(&job->refs, 1, __ATOMIC_ACQ_REL);
}

void job_unref(struct job *job)
{
	if (__atomic_sub_fetch(&job->refs, 1, __ATOMIC_ACQ_REL))
		return;
	for (uint32_t i = 0; i < job->spec.n; i++)
		sample_finish(&job->samples[i]);
	free(job->samples);
	completion_spec_finish(&job->spec);
	strbuf_finish(&job->out);
	pthread_cond_destroy(&job->changed);
	pthread_mutex_destroy(&job->lock);
	free(job);
}

void job_start(struct job *job)
{
	int64_t left_ns = job->deadline_ns - clock_now_ns(job->env->clock);

	job_ref(job);
	timer_subscribe_once(job->env->timers, &job->deadline_timer, left_ns,
			     on_deadline, job);
	pthread_mutex_lock(&job->lock);
	for (uint32_t i = 0; i < job->spec.n && !job->failed; i++) {
		request_life_step(&job->samples[i].life, EVENT_ADMIT);
		request_life_step(&job->samples[i].life, EVENT_QUEUE);
		job_dispatch(job, &job->samples[i]);
	}
	pthread_mutex_unlock(&job->lock);
}

/* What may be said of the whole job: the worst of its samples. */
static enum run_status worst_run(const struct job *job, enum run_status run)
{
	for (uint32_t i = 0; i < job->spec.n; i++) {
		enum run_status one = job->samples[i].life.run;

		if (one == RUN_UNKNOWN || job->samples[i].life.may_have_run)
			return RUN_UNKNOWN;
		if (one == RUN_DONE)
			run = RUN_DONE;
	}
	return run;
}

/* The queue's reference goes; the caller of job_fail() holds another. */
static void leave_queue(struct sample *sample)
{
	sample->queued = 0;
	job_unref(sample->job);
}

void job_refuse_locked(struct job *job, int status, const char *type,
		       enum run_status run, int64_t retry_after_ns,
		       const char *detail)
{
	if (job->failed || job->done_count == job->spec.n)
		return;
	job->failed = 1;
	copy_text(job->problem_text, sizeof(job->problem_text), detail);
	job->problem.status = status;
	job->problem.type = type;
	job->problem.detail = job->problem_text;
	job->problem.run = worst_run(job, run);
	job->problem.retry_after_ns = retry_after_ns;
	for (uint32_t i = 0; i < job->spec.n; i++) {
		struct sample *sample = &job->samples[i];

		request_life_step(&sample->life, EVENT_GIVE_UP);
		if (sample->call_active)
			backend_loop_cancel(sample->loop, sample->call_id);
		if (sample->queued &&
		    pool_queues_remove(job->env->queues, job->pool, sample))
			leave_queue(sample);
	}
	counter_add(job->env->samples_refused, job->spec.n);
	pthread_cond_broadcast(&job->changed);
}

void job_fail(struct job *job, const struct problem *problem)
{
	pthread_mutex_lock(&job->lock);
	job_refuse_locked(job, problem->status, problem->type, problem->run,
			  problem->retry_after_ns, problem->detail);
	pthread_mutex_unlock(&job->lock);
}

uint64_t job_take_over(struct job *job)
{
	uint64_t waiter;

	pthread_mutex_lock(&job->lock);
	waiter = ++job->waiter;
	pthread_cond_broadcast(&job->changed);
	pthread_mutex_unlock(&job->lock);
	return waiter;
}

static enum job_wait_result wait_locked(struct job *job, uint64_t waiter,
					struct strbuf *out)
{
	for (;;) {
		if (job->waiter != waiter)
			return JOB_SUPERSEDED;
		if (out && job->out.len) {
			strbuf_add(out, job->out.buf, job->out.len);
			strbuf_reset(&job->out);
			return JOB_DATA;
		}
		if (job->failed || job->done_count == job->spec.n)
			return JOB_DONE;
		pthread_cond_wait(&job->changed, &job->lock);
	}
}

enum job_wait_result job_wait(struct job *job, uint64_t waiter,
			      struct strbuf *out)
{
	enum job_wait_result result;

	pthread_mutex_lock(&job->lock);
	result = wait_locked(job, waiter, out);
	pthread_mutex_unlock(&job->lock);
	return result;
}

void job_end_deadline(struct job *job)
{
	if (timer_unsubscribe(job->env->timers, &job->deadline_timer))
		job_unref(job);
}

/* Starts a finished sample anew, because what it holds is too old. */
static void regenerate(struct job *job, struct sample *sample)
{
	sample->stale_tries++;
	sample->done = 0;
	sample->tries = 0;
	sample->avoid_count = 0;
	job->done_count--;
	sample_restart(sample);
	request_life_init(&sample->life, job->repeatable);
	request_life_step(&sample->life, EVENT_ADMIT);
	request_life_step(&sample->life, EVENT_QUEUE);
	counter_add(job->env->stale, 1);
	job_dispatch(job, sample);
}

int job_check_staleness(struct job *job)
{
	uint64_t latest;
	int again = 0;

	if (job->failed)
		return 0;
	latest = job->env->latest_version(job->env->arg, job->pool);
	pthread_mutex_lock(&job->lock);
	job->checked_version = latest;
	for (uint32_t i = 0; i < job->spec.n && !job->failed; i++) {
		struct sample *sample = &job->samples[i];

		if (!job->has_bound ||
		    sample_oldest_version(sample) + job->bound >= latest)
			continue;
		if (sample->stale_tries == JOB_STALE_TRIES_MAX) {
			job->done_count = 0;
			job_refuse_locked(job, 409, "stale", RUN_DONE,
					  JOB_RETRY_DELAY_NS,
					  "no backend server holds weights "
					  "within the staleness bound");
			break;
		}
		regenerate(job, sample);
		again = 1;
	}
	pthread_mutex_unlock(&job->lock);
	if (job->failed)
		return -1;
	return again;
}
