#include <stdio.h>

#include "base/clock.h"
#include "base/json_field.h"
#include "client/weight_http.h"

#define READ_TIMEOUT_NS (5 * NS_PER_S)

static int decode(const struct http_call *call, uint64_t *version,
		  struct error *err)
{
	json_t *answer =
		json_loadb(call->response.buf, call->response.len, 0, NULL);
	int result = 0;

	if (json_is_integer(json_object_get(answer, "version")))
		*version = json_field_u64(answer, "version", 0);
	else
		result = error_set(err, ERROR_PROTOCOL,
				   "weight store answered no version");
	json_decref(answer);
	return result;
}

static int latest(struct weight_port *port, const char *pool, uint64_t *version,
		  struct error *err)
{
	struct weight_http *weights = (struct weight_http *)port;
	struct http_call call;
	char path[128];
	int result;

	snprintf(path, sizeof(path), "/v1/pools/%s/latest", pool);
	http_call_init(&call);
	call.path = path;
	call.timeout_ns = READ_TIMEOUT_NS;
	result = http_call_run(&weights->pool, &call, err);
	if (result && err)
		err->code = ERROR_UNAVAILABLE; /* a read changes nothing */
	if (!result)
		result = http_call_judge(&call, "weight store", err);
	if (!result)
		result = decode(&call, version, err);
	http_call_finish(&call);
	return result;
}

static void finish(struct weight_port *port)
{
	http_pool_finish(&((struct weight_http *)port)->pool);
}

int weight_http_init(struct weight_http *weights, const char *url,
		     struct error *err)
{
	static const struct weight_port_vtable vtable = {
		.latest = latest,
		.finish = finish,
	};

	weights->base.vt = &vtable;
	return http_pool_init(&weights->pool, url, err);
}
