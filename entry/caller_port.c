#include "entry/caller_port.h"

#include <string.h>

#include "entry/answers.h"
#include "platform/messages.h"

/* Sent in Retry-After until the first configuration is read. */
#define NO_CONFIG_RETRY_NS (300 * NS_PER_MS)

static struct caller_port *port_of(struct net_handler *handler)
{
	return (struct caller_port *)handler;
}

static void log_denial(struct caller_port *port, const struct refusal *refusal,
		       const char *id, const struct http_head *head)
{
	const struct entry_config *config = port->config->current;
	struct record record;

	record_begin(&record, port->log, "callers", "denied");
	record_text(&record, "id", id);
	record_int(&record, "status", refusal->status);
	record_text(&record, "reason", refusal->type);
	record_text(&record, "host_field", http_head_find(head, "Host"));
	record_text(&record, "path", http_head_target(head));
	record_int(&record, "config", config ? (int64_t)config->version : -1);
	record_int(&record, "known_config",
		   (int64_t)port->config->known_version);
	record_end(&record);
}

static void deny(struct caller_port *port, struct net_request *request,
		 const char *id, uint16_t status, const char *type,
		 const char *detail, int64_t retry_after_ns)
{
	struct refusal refusal = {
		.status = status,
		.type = type,
		.detail = detail,
		.ran = RAN_NOT,
		.retry_after_ns = retry_after_ns,
	};

	counter_add(port->denied, 1);
	log_denial(port, &refusal, id, request->head);
	answer_refusal(request, &refusal);
}

/* Rejects for now what a newer configuration, if there is one, may allow. */
static void deny_unknown(struct caller_port *port, struct net_request *request,
			 const char *id, uint16_t status, const char *type,
			 const char *detail)
{
	if (config_holder_is_behind(port->config))
		deny(port, request, id, 503, CONFIG_BEHIND,
		     CONFIG_BEHIND_DETAIL, CONFIG_BEHIND_RETRY_NS);
	else
		deny(port, request, id, status, type, detail, -1);
}

/*
 * Rejects the request if keys cannot be confirmed at present; returns 1 if it
 * did.
 */
static int reject_unconfirmed_key(struct caller_port *port,
				  struct net_request *request,
				  const struct caller_request *caller)
{
	if (key_trust_holds(&port->config->trust, request->received_ns))
		return 0;
	deny(port, request, caller->id, 503, KEYS_UNCONFIRMED,
	     KEYS_UNCONFIRMED_DETAIL, KEYS_UNCONFIRMED_RETRY_NS);
	return 1;
}

/*
 * Finds the team of the key. Returns -1 if the request was rejected because the
 * route requires a valid key.
 */
static int check_key(struct caller_port *port, struct net_request *request,
		     const struct caller_request *caller, int is_public,
		     const struct entry_team **team)
{
	const struct entry_config *config = port->config->current;

	*team = caller->secret ? entry_config_team(config, caller->secret)
			       : NULL;
	if (is_public || !config->has_teams)
		return 0;
	if (reject_unconfirmed_key(port, request, caller))
		return -1;
	if (*team)
		return 0;
	deny_unknown(port, request, caller->id, 401, "key_invalid",
		     "the key is not known or was withdrawn");
	return -1;
}

static void route_request(struct caller_port *port, struct net_request *request,
			  const struct caller_request *caller)
{
	const struct entry_route *route = entry_config_route(
		port->config->current, caller->host ? caller->host : "",
		http_head_target(request->head));
	const struct entry_team *team;

	if (!route) {
		deny_unknown(port, request, caller->id, 404, "no_route",
			     "no route has this host and path");
		return;
	}
	if (check_key(port, request, caller, route->is_public, &team))
		return;
	if (route->kind == REQUEST_BATCH &&
	    !strcmp(request->head->method, "POST"))
		port->batches->vt->submit(port->batches, request, caller, route,
					  team);
	else
		forward_start(port->forwarder, request, caller, route, team);
}

static void on_request(struct net_handler *handler, struct net_request *request)
{
	struct caller_port *port = port_of(handler);
	const struct entry_team *team;
	struct caller_request caller;
	struct caller_call call;

	if (platform_read_request(request->head, &caller) ||
	    platform_read_call(request->head, &call)) {
		counter_add(port->malformed, 1);
		deny(port, request, caller.id, 400, "malformed_request",
		     "a field of the head or the path is malformed", -1);
		return;
	}
	if (!port->config->current) {
		deny(port, request, caller.id, 503, "no_config",
		     "this daemon knows no configuration yet",
		     NO_CONFIG_RETRY_NS);
		return;
	}
	if (call.kind != CALL_BATCH_READ && call.kind != CALL_BATCH_END &&
	    call.kind != CALL_ITEM_BODY) {
		route_request(port, request, &caller);
		return;
	}
	if (!check_key(port, request, &caller, 0, &team))
		port->batches->vt->call(port->batches, request, &caller, &call,
					team);
}

static void on_refused(struct net_handler *handler,
		       const struct http_head *head, uint16_t status,
		       const char *reason)
{
	struct caller_port *port = port_of(handler);
	struct refusal refusal = { .status = status, .type = reason };

	counter_add(port->malformed, 1);
	log_denial(port, &refusal, NULL, head);
}

void caller_port_on_displaced(void *arg,
			      const struct net_displacement *displacement)
{
	struct caller_port *port = arg;
	struct record record;

	counter_add(port->displaced, 1);
	record_begin(&record, port->log, "callers", "displaced");
	record_text(&record, "limit", displacement->limit);
	record_ms(&record, "lag_ms", displacement->lag_ns);
	record_int(&record, "memory_bytes",
		   (int64_t)displacement->memory_bytes);
	record_int(&record, "in_request", displacement->in_request);
	record_int(&record, "in_answer", displacement->in_answer);
	record_end(&record);
}

static const struct net_handler_vtable handler_vtable = { on_request,
							  on_refused };

void caller_port_init(struct caller_port *port, struct config_holder *config,
		      struct forwarder *forwarder, struct batch_port *batches,
		      struct record_log *log, struct counter_set *counters)
{
	memset(port, 0, sizeof(*port));
	port->handler.vt = &handler_vtable;
	port->config = config;
	port->forwarder = forwarder;
	port->batches = batches;
	port->log = log;
	port->denied = counter_get(counters, "requests_denied_total");
	port->malformed = counter_get(counters, "requests_malformed_total");
	port->displaced = counter_get(
		counters, "connections_displaced_total{port=\"callers\"}");
}
