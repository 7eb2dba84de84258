#include "entry/service_port.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/answers.h"
#include "platform/calls.h"
#include "policy/address_answer.h"

/* Sent in Retry-After if no host takes calls. */
#define NO_HOST_RETRY_NS (300 * NS_PER_MS)

static struct service_port *port_of(struct net_handler *handler)
{
	return (struct service_port *)handler;
}

static void answer_ready(struct service_port *port, struct net_request *request)
{
	struct refusal refusal = {
		.status = 503,
		.type = "not_ready",
		.detail = "this daemon starts or stops",
		.retry_after_ns = -1,
	};

	if (port->ready)
		answer_json_text(request, 200, "{}", 2);
	else
		answer_refusal(request, &refusal);
}

static uint32_t choose_hosts(struct service_port *port,
			     const struct caller_call *call,
			     const char **addresses)
{
	const struct host_table *hosts = &port->discovery->hosts;
	struct address_candidate *candidates =
		xcalloc(hosts->count + 1, sizeof(*candidates));
	const struct entry_host **list =
		xcalloc(hosts->count + 1, sizeof(struct entry_host *));
	uint32_t chosen[ADDRESS_ANSWER_MAX];
	uint32_t count = 0;
	uint32_t chosen_count;

	for (const struct entry_host *h = hosts->first; h; h = h->next) {
		candidates[count].data_centre = h->data_centre;
		candidates[count].region = h->region;
		candidates[count].takes_calls =
			discovery_takes_calls(port->discovery, h);
		list[count++] = h;
	}
	chosen_count = address_answer(candidates, count, call->data_centre,
				      call->region, &port->rng, chosen,
				      ADDRESS_ANSWER_MAX);
	for (uint32_t i = 0; i < chosen_count; i++)
		addresses[i] = list[chosen[i]]->caller_address;
	free(candidates);
	free(list);
	return chosen_count;
}

static void answer_addresses(struct service_port *port,
			     struct net_request *request,
			     const struct caller_call *call)
{
	const char *addresses[ADDRESS_ANSWER_MAX];
	uint32_t count = choose_hosts(port, call, addresses);
	struct refusal refusal = {
		.status = 503,
		.type = "no_host",
		.detail = "no entry host is known to take calls",
		.retry_after_ns = NO_HOST_RETRY_NS,
	};
	struct strbuf body;

	counter_add(port->address_answers, 1);
	if (!count) {
		answer_refusal(request, &refusal);
		return;
	}
	strbuf_init(&body);
	platform_write_addresses(&body, addresses, count, port->address_ttl_ms);
	answer_json_text(request, 200, body.buf, body.len);
	strbuf_finish(&body);
}

static void on_request(struct net_handler *handler, struct net_request *request)
{
	struct service_port *port = port_of(handler);
	struct refusal rejection = {
		.status = 404,
		.type = "no_such_call",
		.detail = "this port has no such call",
		.retry_after_ns = -1,
	};
	struct caller_call call;

	if (platform_read_call(request->head, &call)) {
		rejection.status = 400;
		rejection.type = "malformed_request";
		answer_refusal(request, &rejection);
		return;
	}
	switch (call.kind) {
	case CALL_READY:
		answer_ready(port, request);
		break;
	case CALL_ADDRESSES:
		answer_addresses(port, request, &call);
		break;
	default:
		answer_refusal(request, &rejection);
		break;
	}
}

void service_port_on_displaced(void *arg,
			       const struct net_displacement *displacement)
{
	struct service_port *port = arg;

	(void)displacement;
	counter_add(port->displaced, 1);
}

static const struct net_handler_vtable handler_vtable = { on_request, NULL };

void service_port_init(struct service_port *port, struct discovery *discovery,
		       struct counter_set *counters, uint32_t address_ttl_ms,
		       uint64_t seed)
{
	memset(port, 0, sizeof(*port));
	port->handler.vt = &handler_vtable;
	port->discovery = discovery;
	port->address_ttl_ms = address_ttl_ms;
	rng_init(&port->rng, seed);
	port->address_answers = counter_get(counters, "address_answers_total");
	port->displaced = counter_get(
		counters, "connections_displaced_total{port=\"service\"}");
}
