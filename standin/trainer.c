#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "client/http_call.h"
#include "base/json_field.h"
#include "standin/trainer.h"
#include "base/clock.h"
#include "base/wait.h"

void trainer_fault(struct trainer *trainer, const char *text)
{
	pthread_mutex_lock(&trainer->lock);
	if (!trainer->first_fault[0])
		snprintf(trainer->first_fault, sizeof(trainer->first_fault),
			 "%s", text);
	pthread_mutex_unlock(&trainer->lock);
}

static int call_weights(struct trainer *trainer, struct http_call *call,
			struct error *err)
{
	struct http_pool pool;
	int result;

	if (http_pool_init(&pool, trainer->options.weights_url, err) < 0)
		return -1;
	result = http_call_run(&pool, call, err);
	if (!result)
		result = http_call_judge(call, "weight store", err);
	http_pool_finish(&pool);
	return result;
}

static int newest_version(struct trainer *trainer, uint64_t *version,
			  struct error *err)
{
	struct http_call call;
	json_t *answer = NULL;
	char path[128];
	int result;

	snprintf(path, sizeof(path), "/v1/pools/%s/latest",
		 trainer->options.pool);
	http_call_init(&call);
	call.path = path;
	result = call_weights(trainer, &call, err);
	if (!result)
		answer = json_loadb(call.response.buf, call.response.len, 0,
				    NULL);
	*version = json_field_u64(answer, "version", 0);
	json_decref(answer);
	http_call_finish(&call);
	return result;
}

static void note_published(struct trainer *trainer, uint64_t version)
{
	pthread_mutex_lock(&trainer->lock);
	if (trainer->published_count < TRAINER_PUBLISHED_MAX) {
		struct published *entry =
			&trainer->published[trainer->published_count++];

		entry->version = version;
		entry->at_ns = wait_now_ns();
	}
	pthread_mutex_unlock(&trainer->lock);
}

int trainer_publish(struct trainer *trainer, struct error *err)
{
	struct http_call call;
	uint64_t version;
	char path[128];
	char body[64];
	int result;

	if (newest_version(trainer, &version, err) < 0)
		return -1;
	version++;
	snprintf(path, sizeof(path), "/v1/pools/%s/versions",
		 trainer->options.pool);
	http_call_init(&call);
	call.method = "POST";
	call.path = path;
	call.body = body;
	call.body_len = (size_t)snprintf(body, sizeof(body),
					 "{\"version\": %llu}",
					 (unsigned long long)version);
	result = call_weights(trainer, &call, err);
	if (!result)
		note_published(trainer, version);
	http_call_finish(&call);
	return result;
}

/* Returns the next group to run, or -1. */
static int64_t next_group(struct trainer *trainer)
{
	int64_t group = -1;

	pthread_mutex_lock(&trainer->lock);
	if (trainer->next_group < trainer->options.groups)
		group = trainer->next_group++;
	pthread_mutex_unlock(&trainer->lock);
	return group;
}

static void end_group(struct trainer *trainer)
{
	struct error err = ERROR_INIT;
	uint32_t done;

	pthread_mutex_lock(&trainer->lock);
	done = ++trainer->groups_done;
	pthread_mutex_unlock(&trainer->lock);
	if (done == trainer->options.publish_at &&
	    trainer->options.weights_url && trainer_publish(trainer, &err) < 0)
		trainer_fault(trainer, err.text);
}

static void *work(void *arg)
{
	struct trainer *trainer = arg;
	int64_t group;

	while ((group = next_group(trainer)) >= 0) {
		trainer_run_group(trainer, (uint32_t)group);
		end_group(trainer);
	}
	return NULL;
}

static void run_step(struct trainer *trainer)
{
	uint32_t threads = trainer->options.threads;
	pthread_t *ids = xcalloc(threads, sizeof(*ids));
	uint32_t i;

	for (i = 0; i < threads; i++)
		pthread_create(&ids[i], NULL, work, trainer);
	for (i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	free(ids);
}

int trainer_main(int argc, char **argv)
{
	struct trainer trainer = { .groups_done = 0 };
	int64_t start = wait_now_ns();
	json_t *report;
	double seconds;
	int status;

	signal(SIGPIPE, SIG_IGN);
	trainer_options_parse(&trainer.options, argc, argv);
	pthread_mutex_init(&trainer.lock, NULL);
	wait_cond_init(&trainer.changed);
	trainer.end_ns = start + trainer.options.limit_s * NS_PER_S;
	trainer.answers = xcalloc(trainer.options.groups, sizeof(json_t *));
	run_step(&trainer);
	seconds = (double)(wait_now_ns() - start) / NS_PER_S;
	if (trainer.options.engines.count)
		trainer_verify(&trainer);
	report = trainer_report(&trainer, seconds);
	status = trainer_all_right(&trainer) ? 0 : 1;
	if (trainer_report_write(report, trainer.options.report) < 0)
		status = 1;
	json_decref(report);
	for (uint32_t i = 0; i < trainer.options.groups; i++)
		json_decref(trainer.answers[i]);
	free(trainer.answers);
	return status;
}
