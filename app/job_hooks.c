#include "app/job_hooks.h"

#include <string.h>

#include "app/identity.h"
#include "base/alloc.h"

static uint64_t latest_version(void *arg, const char *pool)
{
	struct daemon *daemon = arg;

	return version_table_latest(&daemon->versions, pool);
}

static enum job_rule rule(void *arg, const char *pool, uint64_t fingerprint,
			  char server[NAME_BYTES], struct problem *why)
{
	struct daemon *daemon = arg;

	return blame_events_rule(&daemon->blame, pool, fingerprint, server,
				 why);
}

static uint32_t run_begun(void *arg, const char *server, uint64_t fingerprint,
			  int alone)
{
	struct daemon *daemon = arg;

	return blame_events_begin(&daemon->blame, server, fingerprint, alone);
}

static void run_ended(void *arg, uint32_t run, uint64_t fingerprint, int well)
{
	struct daemon *daemon = arg;

	blame_events_end(&daemon->blame, run, fingerprint, well);
}

static void run_not_begun(void *arg, uint32_t run, const char *pool,
			  const struct server_pick *server)
{
	struct daemon *daemon = arg;

	blame_events_end(&daemon->blame, run, 0, 0);
	load_poll_ask_now(&daemon->load_poll, pool, server->name,
			  server->address);
}

static void run_lost(void *arg, uint32_t run, const char *pool,
		     const struct server_pick *server)
{
	struct daemon *daemon = arg;

	timeline_add(&daemon->timeline, "backend", "%s lost a request",
		     server->name);
	blame_events_lose(&daemon->blame, run);
	load_poll_ask_now(&daemon->load_poll, pool, server->name,
			  server->address);
}

/* One request that a backend server answered. */
static void fill_figure(struct usage_figure *figure, const char *team,
			const char *route, const struct server_pick *server)
{
	memset(figure, 0, sizeof(*figure));
	copy_text(figure->team, sizeof(figure->team), team);
	copy_text(figure->route, sizeof(figure->route), route);
	copy_text(figure->data_centre, sizeof(figure->data_centre),
		  server->data_centre);
	copy_text(figure->backend_class, sizeof(figure->backend_class),
		  server->cheap ? "cheap" : "dear");
	figure->requests = 1;
}

static void backend_used(void *arg, const struct job *job,
			 const struct sample *sample)
{
	struct daemon *daemon = arg;
	struct usage_figure figure;

	fill_figure(&figure, job->team, job->route, &sample->pick);
	figure.prompt_tokens = sample->prompt_tokens;
	figure.completion_tokens = sample->tokens;
	figure.backend_us = (uint64_t)(sample->backend_ns / NS_PER_US);
	usage_service_add(&daemon->usage, &figure);
}

void job_hooks_init(struct daemon *daemon)
{
	struct job_env *env = &daemon->job_env;

	env->servers = &daemon->servers;
	env->queues = &daemon->queues;
	env->loops = daemon->loops;
	env->loop_count = DAEMON_LOOPS;
	env->clock = &daemon->clock;
	env->timers = &daemon->timers;
	env->data_centre = daemon->settings.data_centre;
	env->retries = counter_get(&daemon->counters, "retries_total");
	env->samples_ok = counter_get(&daemon->counters,
				      "samples_total{outcome=\"whole\"}");
	env->samples_refused = counter_get(
		&daemon->counters, "samples_total{outcome=\"refused\"}");
	env->stale = counter_get(&daemon->counters, "samples_stale_total");
	env->tokens = counter_get(&daemon->counters, "tokens_total");
	env->latest_version = latest_version;
	env->rule = rule;
	env->run_begun = run_begun;
	env->run_ended = run_ended;
	env->run_not_begun = run_not_begun;
	env->run_lost = run_lost;
	env->backend_used = backend_used;
	env->arg = daemon;
}

void daemon_count_service(struct daemon *daemon,
			  const struct identity *identity,
			  const struct service_call *call, int result)
{
	struct usage_figure figure;

	if (result)
		return;
	fill_figure(&figure, identity->team, identity->route.name, &call->pick);
	figure.backend_us = (uint64_t)(call->took_ns / NS_PER_US);
	usage_service_add(&daemon->usage, &figure);
}
