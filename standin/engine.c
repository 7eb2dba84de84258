#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/rng.h"
#include "standin/engine.h"
#include "standin/roles.h"

#define FASTEST_TOKENS_PER_S 1e6

static double tokens_per_s(const struct engine *engine)
{
	uint32_t others = engine->running ? engine->running - 1 : 0;
	double token_us = engine->options->token_us *
			  engine->faults.slow_factor * (1 + 0.05 * others);

	if (token_us <= 0)
		return FASTEST_TOKENS_PER_S;
	return (others + 1) * 1e6 / token_us;
}

static void show_load(struct engine *engine, struct reply *reply)
{
	pthread_mutex_lock(&engine->lock);
	reply_json(
		reply, 200,
		json_pack("{s:i, s:i, s:i, s:f, s:I, s:I, s:f, s:b, s:s, s:I}",
			  "running", (int)engine->running, "waiting",
			  (int)engine->waiting, "capacity",
			  (int)engine->options->capacity, "tokens_per_s",
			  tokens_per_s(engine), "weight_version",
			  (json_int_t)engine->version, "incarnation",
			  (json_int_t)engine->incarnation, "kv_used",
			  (double)engine->running / engine->options->capacity,
			  "draining", engine->draining, "role", engine->role,
			  "generated", (json_int_t)engine->generated));
	pthread_mutex_unlock(&engine->lock);
}

static void cancel(struct engine *engine, struct reply *reply,
		   const json_t *body)
{
	int found =
		engine_cancel(engine, json_field_text(body, "request_id", ""));

	reply_json(reply, 200, json_pack("{s:b}", "cancelled", found));
}

static int handle_post(struct engine *engine, struct call *call,
		       struct reply *reply)
{
	json_t *body;
	int chat = call_is(call, "POST", "/v1/chat/completions");
	int complete = call_is(call, "POST", "/v1/completions");
	int is_cancel = call_is(call, "POST", "/v1/cancel");

	if (!chat && !complete && !is_cancel &&
	    !call_is(call, "POST", "/v1/orders"))
		return 0;
	body = call_json(call, reply);
	if (!body)
		return 1;
	if (chat || complete)
		engine_complete(engine, call, reply, body, chat);
	else if (is_cancel)
		cancel(engine, reply, body);
	else
		engine_order(engine, reply, body);
	json_decref(body);
	return 1;
}

static void show_served(struct engine *engine, struct reply *reply)
{
	pthread_mutex_lock(&engine->lock);
	reply_json(reply, 200, served_json(&engine->served));
	pthread_mutex_unlock(&engine->lock);
}

static void engine_handle(struct role *role, struct call *call,
			  struct reply *reply)
{
	struct engine *engine = (struct engine *)role;

	if (handle_post(engine, call, reply))
		return;
	if (call_is(call, "GET", "/v1/load"))
		show_load(engine, reply);
	else if (call_is(call, "GET", "/v1/cache_events")) {
		pthread_mutex_lock(&engine->lock);
		reply_json(
			reply, 200,
			engine_cache_events(&engine->cache,
					    call_query_u64(call, "from", 0)));
		pthread_mutex_unlock(&engine->lock);
	} else if (call_is(call, "GET", "/standin/received")) {
		pthread_mutex_lock(&engine->lock);
		reply_json(reply, 200, fence_received(&engine->fence));
		pthread_mutex_unlock(&engine->lock);
	} else if (call_is(call, "GET", "/standin/served"))
		show_served(engine, reply);
	else
		reply_not_found(reply, call);
}

static void engine_set_faults(struct role *role, const json_t *settings)
{
	struct engine *engine = (struct engine *)role;
	struct engine_faults *faults = &engine->faults;
	double factor =
		json_number_value(json_object_get(settings, "slow_factor"));

	pthread_mutex_lock(&engine->lock);
	faults->fail_swaps =
		(uint32_t)json_field_u64(settings, "fail_swaps", 0);
	faults->cut_streams =
		(uint32_t)json_field_u64(settings, "cut_streams", 0);
	faults->wrong_id = (uint32_t)json_field_u64(settings, "wrong_id", 0);
	faults->slow_factor = factor > 0 ? factor : 1;
	copy_text(faults->crash_on, sizeof(faults->crash_on),
		  json_field_text(settings, "crash_on", ""));
	pthread_mutex_unlock(&engine->lock);
}

struct role *engine_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = {
		.handle = engine_handle,
		.set_faults = engine_set_faults,
	};
	struct engine *engine = xcalloc(1, sizeof(*engine));
	uint32_t random;

	engine->base.vt = &vtable;
	engine->options = options;
	random_bytes(&random, sizeof(random));
	engine->incarnation = random;
	engine->version = options->version;
	engine->faults.slow_factor = 1;
	if (options->crash_on)
		copy_text(engine->faults.crash_on,
			  sizeof(engine->faults.crash_on), options->crash_on);
	pthread_mutex_init(&engine->lock, NULL);
	pthread_mutex_init(&engine->swap_lock, NULL);
	fence_init(&engine->fence, options->checks_fencing);
	served_init(&engine->served);
	http_pool_init(&engine->weights,
		       options->weights_url ? options->weights_url : "", NULL);
	return &engine->base;
}
