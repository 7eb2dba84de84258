#include <civetweb.h>
#include <pthread.h>
#include <string.h>

#include "base/alloc.h"
#include "standin/roles.h"
#include "base/clock.h"
#include "base/wait.h"

#define MAX_KEYS 200000

/* A plain service that echoes calls and counts how often each key ran. */
struct service_role {
	struct role base;
	pthread_mutex_t lock;
	pthread_cond_t stopped;
	json_t *runs; /* count by Idempotency-Key */
	uint64_t total;
	uint32_t work_ms;
	const char *name;
	int stopping;
};

static void work(struct service_role *service)
{
	int64_t due = wait_now_ns() + service->work_ms * NS_PER_MS;

	if (!service->work_ms)
		return;
	pthread_mutex_lock(&service->lock);
	while (!service->stopping)
		if (wait_until(&service->stopped, &service->lock, due))
			break;
	pthread_mutex_unlock(&service->lock);
}

static void count_run(struct service_role *service, const char *key)
{
	pthread_mutex_lock(&service->lock);
	service->total++;
	if (key && json_object_size(service->runs) < MAX_KEYS)
		json_object_set_new(
			service->runs, key,
			json_integer((json_int_t)json_field_u64(service->runs,
								key, 0) +
				     1));
	pthread_mutex_unlock(&service->lock);
}

static void echo(struct service_role *service, struct call *call,
		 struct reply *reply)
{
	const struct mg_request_info *info = mg_get_request_info(call->conn);
	const char *key = mg_get_header(call->conn, "Idempotency-Key");
	json_t *names = json_array();
	int i;

	count_run(service, key);
	work(service);
	for (i = 0; i < info->num_headers; i++)
		json_array_append_new(names,
				      json_string(info->http_headers[i].name));
	reply_json(reply, 200,
		   json_pack("{s:s, s:s, s:s, s:s, s:o, s:s%}", "service",
			     service->name, "method", call->method, "path",
			     call->path, "query", call->query, "headers", names,
			     "body", call->body.buf, call->body.len));
	if (!reply->body)
		reply_error(reply, 400, "the body is no UTF-8");
}

static void show_runs(struct service_role *service, struct call *call,
		      struct reply *reply)
{
	pthread_mutex_lock(&service->lock);
	if (call_is(call, "GET", "/standin/runs"))
		reply_json(reply, 200, json_deep_copy(service->runs));
	else
		reply_json(reply, 200,
			   json_pack("{s:I}", "total",
				     (json_int_t)service->total));
	pthread_mutex_unlock(&service->lock);
}

static void service_handle(struct role *role, struct call *call,
			   struct reply *reply)
{
	struct service_role *service = (struct service_role *)role;

	if (call_is(call, "GET", "/standin/runs") ||
	    call_is(call, "GET", "/standin/total"))
		show_runs(service, call, reply);
	else
		echo(service, call, reply);
}

static void service_stop(struct role *role)
{
	struct service_role *service = (struct service_role *)role;

	pthread_mutex_lock(&service->lock);
	service->stopping = 1;
	pthread_cond_broadcast(&service->stopped);
	pthread_mutex_unlock(&service->lock);
}

struct role *service_role_new(const struct standin_options *options)
{
	static const struct role_vtable vtable = {
		.handle = service_handle,
		.stop = service_stop,
	};
	struct service_role *service = xcalloc(1, sizeof(*service));

	service->base.vt = &vtable;
	pthread_mutex_init(&service->lock, NULL);
	wait_cond_init(&service->stopped);
	service->runs = json_object();
	service->work_ms = options->work_ms;
	service->name = options->name;
	return &service->base;
}
