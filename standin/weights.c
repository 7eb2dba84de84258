#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/roles.h"
#include "base/clock.h"
#include "base/wait.h"
#include "standin/rate_limit.h"

/* The weight store: newest version by pool, and rate-limited fetches. */
struct weights_role {
	struct role base;
	pthread_mutex_t lock;
	json_t *latest; /* version by pool */
	struct rate_limit rate;
	uint32_t weight_bytes;
	uint64_t fetches;
	uint64_t limited;
};

static void publish(struct weights_role *weights, struct call *call,
		    struct reply *reply, const char *pool)
{
	json_t *body = call_json(call, reply);
	uint64_t version;

	if (!body)
		return;
	version = json_field_u64(body, "version", 0);
	pthread_mutex_lock(&weights->lock);
	if (version > json_field_u64(weights->latest, pool, 0))
		json_object_set_new(weights->latest, pool,
				    json_integer((json_int_t)version));
	pthread_mutex_unlock(&weights->lock);
	json_decref(body);
	reply_json(reply, 200,
		   json_pack("{s:I}", "version", (json_int_t)version));
}

static void fetch(struct weights_role *weights, struct reply *reply,
		  const char *pool, const char *text)
{
	uint64_t version = strtoull(text, NULL, 10);
	uint64_t latest;
	int may;

	pthread_mutex_lock(&weights->lock);
	latest = json_field_u64(weights->latest, pool, 0);
	may = rate_limit_take(&weights->rate);
	if (may)
		weights->fetches++;
	else
		weights->limited++;
	pthread_mutex_unlock(&weights->lock);
	if (!may) {
		reply_error(reply, 429, "too many fetches");
		reply->retry_after_s = 1;
	} else if (!version || version > latest)
		reply_error(reply, 404, "no such version");
	else {
		reply->status = 200;
		strbuf_grow(&reply->raw, weights->weight_bytes);
		memset(reply->raw.buf, (int)(version & 0xff),
		       weights->weight_bytes);
		reply->raw.len = weights->weight_bytes;
	}
}

static void show_latest(struct weights_role *weights, struct reply *reply,
			const char *pool)
{
	pthread_mutex_lock(&weights->lock);
	reply_json(reply, 200,
		   json_pack("{s:I}", "version",
			     (json_int_t)json_field_u64(weights->latest, pool,
							0)));
	pthread_mutex_unlock(&weights->lock);
}

static void show_counts(struct weights_role *weights, struct reply *reply)
{
	pthread_mutex_lock(&weights->lock);
	reply_json(reply, 200,
		   json_pack("{s:I, s:I}", "fetches",
			     (json_int_t)weights->fetches, "limited",
			     (json_int_t)weights->limited));
	pthread_mutex_unlock(&weights->lock);
}

static void weights_handle(struct role *role, struct call *call,
			   struct reply *reply)
{
	struct weights_role *weights = (struct weights_role *)role;
	char pool[64];
	char rest[64];
	int is_get = !strcmp(call->method, "GET");

	if (call_is(call, "GET", "/standin/fetches"))
		show_counts(weights, reply);
	else if (sscanf(call->path, "/v1/pools/%63[^/]/%63s", pool, rest) != 2)
		reply_not_found(reply, call);
	else if (is_get && !strcmp(rest, "latest"))
		show_latest(weights, reply, pool);
	else if (is_get && !strncmp(rest, "versions/", 9))
		fetch(weights, reply, pool, rest + 9);
	else if (!is_get && !strcmp(rest, "versions"))
		publish(weights, call, reply, pool);
	else
		reply_not_found(reply, call);
}

struct role *weights_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = { .handle = weights_handle };
	struct weights_role *weights = xcalloc(1, sizeof(*weights));

	weights->base.vt = &vtable;
	pthread_mutex_init(&weights->lock, NULL);
	weights->latest = json_object();
	rate_limit_init(&weights->rate, options->fetches_per_s);
	weights->weight_bytes = options->weight_bytes;
	return &weights->base;
}
