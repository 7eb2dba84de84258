#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"
#include "client/guarded_call.h"
#include "base/json_field.h"
#include "client/order_http.h"

#define READ_TIMEOUT_NS (5 * NS_PER_S)

static int order(struct order_port *port, const struct server_order *order,
		 int64_t deadline_ns, struct error *err)
{
	struct order_http *orders = (struct order_http *)port;
	json_t *body = json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:I}", "data_centre",
		order->data_centre, "pool", order->pool, "class",
		order->cheap ? "cheap" : "dear", "count",
		(json_int_t)order->count, "epoch", (json_int_t)order->epoch,
		"sequence", (json_int_t)order->sequence);

	return guarded_post(&orders->pool, "/v1/orders", body, deadline_ns,
			    "backend server orders", err);
}

static int decode(const struct http_call *call, struct server_count **out,
		  uint32_t *count, struct error *err)
{
	json_t *answer =
		json_loadb(call->response.buf, call->response.len, 0, NULL);
	const json_t *pools = json_object_get(answer, "pools");
	size_t len = json_array_size(pools);
	struct server_count *counts = xcalloc(len ? len : 1, sizeof(*counts));
	int result = json_is_array(pools) ? 0 : -1;
	size_t i;

	for (i = 0; i < len && !result; i++) {
		const json_t *pool = json_array_get(pools, i);

		result = json_field_copy(pool, "pool", counts[i].pool,
					 sizeof(counts[i].pool));
		counts[i].cheap =
			!strcmp(json_field_text(pool, "class", ""), "cheap");
		counts[i].desired =
			(uint32_t)json_field_u64(pool, "desired", 0);
		counts[i].running =
			(uint32_t)json_field_u64(pool, "running", 0);
		counts[i].cents_per_hour =
			(uint32_t)json_field_u64(pool, "cents_per_hour", 0);
	}
	json_decref(answer);
	if (result) {
		free(counts);
		return error_set(err, ERROR_PROTOCOL,
				 "backend server orders answered no pools");
	}
	*out = counts;
	*count = (uint32_t)len;
	return 0;
}

static int read_back(struct order_port *port, const char *data_centre,
		     struct server_count **out, uint32_t *count,
		     struct error *err)
{
	struct order_http *orders = (struct order_http *)port;
	struct http_call call;
	char path[128];
	int result;

	*out = NULL;
	*count = 0;
	snprintf(path, sizeof(path), "/v1/orders?data_centre=%s", data_centre);
	http_call_init(&call);
	call.path = path;
	call.timeout_ns = READ_TIMEOUT_NS;
	result = http_call_run(&orders->pool, &call, err);
	if (result && err)
		err->code = ERROR_UNAVAILABLE; /* a read changes nothing */
	if (!result)
		result = http_call_judge(&call, "backend server orders", err);
	if (!result)
		result = decode(&call, out, count, err);
	http_call_finish(&call);
	return result;
}

static void finish(struct order_port *port)
{
	http_pool_finish(&((struct order_http *)port)->pool);
}

int order_http_init(struct order_http *orders, const char *url,
		    struct error *err)
{
	static const struct order_port_vtable vtable = {
		.order = order,
		.read = read_back,
		.finish = finish,
	};

	orders->base.vt = &vtable;
	return http_pool_init(&orders->pool, url, err);
}
