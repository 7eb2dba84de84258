#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/engine.h"
#include "base/clock.h"
#include "base/wait.h"

#define FETCH_TRIES 20
#define FETCH_RETRY_MS 250

/* Waits on a condition that nobody signals. */
static void pause_ms(struct engine *engine, uint32_t ms)
{
	pthread_cond_t never;
	int64_t due = wait_now_ns() + ms * NS_PER_MS;

	wait_cond_init(&never);
	while (!wait_until(&never, &engine->swap_lock, due))
		;
	pthread_cond_destroy(&never);
}

/* Fetches the weights; comes back as often as the store's rate asks. */
static int fetch_weights(struct engine *engine, uint64_t version)
{
	char path[128];
	struct http_call call;
	struct error err = ERROR_INIT;
	int result = -1;
	int i;

	if (!engine->options->weights_url)
		return 0;
	snprintf(path, sizeof(path), "/v1/pools/%s/versions/%llu",
		 engine->options->pool, (unsigned long long)version);
	http_call_init(&call);
	call.path = path;
	for (i = 0; i < FETCH_TRIES; i++) {
		result = http_call_run(&engine->weights, &call, &err);
		if (!result)
			result = http_call_judge(&call, "weight store", &err);
		if (!result || err.code != ERROR_FULL)
			break;
		pause_ms(engine, FETCH_RETRY_MS);
	}
	http_call_finish(&call);
	return result;
}

static int must_fail(struct engine *engine)
{
	int fails;

	pthread_mutex_lock(&engine->lock);
	fails = engine->faults.fail_swaps > 0;
	if (fails)
		engine->faults.fail_swaps--;
	pthread_mutex_unlock(&engine->lock);
	return fails;
}

static void load_version(struct engine *engine, struct reply *reply,
			 uint64_t version)
{
	int failed;

	pthread_mutex_lock(&engine->swap_lock);
	if (engine->options->load_ms)
		pause_ms(engine, engine->options->load_ms);
	failed = must_fail(engine) || fetch_weights(engine, version) < 0;
	if (!failed) {
		pthread_mutex_lock(&engine->lock);
		engine->version = version;
		pthread_mutex_unlock(&engine->lock);
	}
	pthread_mutex_unlock(&engine->swap_lock);
	if (failed)
		reply_error(reply, 500, "the weights could not be loaded");
	else
		reply_json(reply, 202, json_object());
}

void engine_order(struct engine *engine, struct reply *reply,
		  const json_t *order)
{
	const char *kind = json_field_text(order, "order", "");
	int passed;

	pthread_mutex_lock(&engine->lock);
	passed = fence_pass(&engine->fence, "", order, reply);
	if (passed && !strcmp(kind, "drain"))
		engine->draining = 1;
	else if (passed && !strcmp(kind, "role"))
		copy_text(engine->role, sizeof(engine->role),
			  json_field_text(order, "role", ""));
	pthread_mutex_unlock(&engine->lock);
	if (!passed)
		return;
	if (!strcmp(kind, "load_version"))
		load_version(engine, reply,
			     json_field_u64(order, "version", 0));
	else if (!strcmp(kind, "drain") || !strcmp(kind, "role"))
		reply_json(reply, 202, json_object());
	else
		reply_error(reply, 400, "the order is of no known kind");
}
