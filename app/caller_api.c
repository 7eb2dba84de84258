#include "app/caller_api.h"

#include <string.h>

#include "app/identity.h"
#include "base/alloc.h"
#include "request/json_body.h"

#define DRAIN_RETRY_NS (1 * NS_PER_S)
#define START_RETRY_NS (1 * NS_PER_S)

static const struct problem problem_wrong_port = {
	.status = 421,
	.type = "wrong_port",
	.detail = "the route is served on the other callers' port; ask "
		  "/v1/addresses with class=latency or class=batch",
	.run = RUN_NOT_RUN,
};
static const struct problem problem_draining = {
	.status = 503,
	.type = "leaving",
	.detail = "this host is leaving; use another address",
	.run = RUN_NOT_RUN,
	.retry_after_ns = DRAIN_RETRY_NS,
};
static const struct problem problem_starting = {
	.status = 503,
	.type = "starting",
	.detail = "this host has not read the log and the host list yet",
	.run = RUN_NOT_RUN,
	.retry_after_ns = START_RETRY_NS,
};
static const struct problem problem_method = {
	.status = 405,
	.type = "method_not_allowed",
	.detail = "this path takes POST only",
	.run = RUN_NOT_RUN,
};

const struct problem problem_team_limit = {
	.status = 429,
	.type = "team_limit",
	.detail = "the team has as many requests in flight as it may have",
	.run = RUN_NOT_RUN,
	.retry_after_ns = SHARE_RETRY_NS,
};

int caller_api_check_port(const struct caller_port *port,
			  const struct route *route,
			  struct http_exchange *exchange)
{
	if (port->class_ == route->class_)
		return 0;
	http_exchange_send_problem(exchange, &problem_wrong_port);
	return -1;
}

/*
 * A leaving daemon still serves what reaches it: callers keep addresses for
 * a while, and cutting them off would fail requests of a planned stop.
 */
int caller_api_check_open(struct daemon *daemon, struct http_exchange *exchange)
{
	if (__atomic_load_n(&daemon->closed, __ATOMIC_ACQUIRE)) {
		exchange->close_after = 1;
		http_exchange_send_problem(exchange, &problem_draining);
		return -1;
	}
	if (!daemon_is_ready(daemon)) {
		http_exchange_send_problem(exchange, &problem_starting);
		return -1;
	}
	return 0;
}

static void acknowledge_groups(struct daemon *daemon,
			       const struct identity *identity,
			       const json_t *root)
{
	const json_t *groups = json_object_get(root, "groups");
	struct group_id id;
	size_t i;
	json_t *group;

	memset(&id, 0, sizeof(id));
	copy_text(id.team, sizeof(id.team), identity->team);
	copy_text(id.trainer, sizeof(id.trainer),
		  json_string_value(json_object_get(root, "trainer")));
	id.step = (uint64_t)json_integer_value(json_object_get(root, "step"));
	json_array_foreach (groups, i, group) {
		id.group = (uint64_t)json_integer_value(group);
		group_table_remove(&daemon->groups, &id);
	}
}

static int is_acknowledgement(const json_t *root)
{
	return json_is_string(json_object_get(root, "model")) &&
	       json_is_string(json_object_get(root, "trainer")) &&
	       json_is_integer(json_object_get(root, "step")) &&
	       json_is_array(json_object_get(root, "groups"));
}

/* POST /v1/acknowledge: the trainer holds these groups. */
static void handle_acknowledge(struct daemon *daemon,
			       struct http_exchange *exchange)
{
	json_error_t why;
	json_t *root =
		json_body_parse(exchange->body.buf, exchange->body.len, &why);
	struct problem problem = {
		.status = 400,
		.type = "malformed_request",
		.detail = "the body must be an object with the strings "
			  "'model' and 'trainer', the number 'step' and the "
			  "array 'groups'",
	};
	struct identity identity;

	memset(&identity, 0, sizeof(identity));
	if (!is_acknowledgement(root) ||
	    identity_route_by_model(
		    daemon, json_string_value(json_object_get(root, "model")),
		    &identity, &problem) ||
	    identity_check_key(daemon, exchange, &identity, &problem)) {
		http_exchange_send_problem(exchange, &problem);
	} else {
		acknowledge_groups(daemon, &identity, root);
		http_exchange_send(exchange, 200, "application/json", NULL,
				   "{}", 2);
	}
	json_decref(root);
}

static int takes_post(struct http_exchange *exchange)
{
	if (!strcmp(exchange->method, "POST"))
		return 1;
	http_exchange_send_problem(exchange, &problem_method);
	return 0;
}

void caller_api_handle(void *arg, struct http_exchange *exchange)
{
	struct caller_port *port = arg;
	const char *path = exchange->path;

	if (!strcmp(path, "/v1/addresses")) {
		address_api_handle(port->daemon, exchange);
		return;
	}
	if (caller_api_check_open(port->daemon, exchange))
		return;
	if (!strcmp(path, "/v1/completions")) {
		if (takes_post(exchange))
			completion_api_handle(port, exchange, 0);
	} else if (!strcmp(path, "/v1/chat/completions")) {
		if (takes_post(exchange))
			completion_api_handle(port, exchange, 1);
	} else if (!strcmp(path, "/v1/acknowledge")) {
		if (takes_post(exchange))
			handle_acknowledge(port->daemon, exchange);
	} else {
		service_api_handle(port, exchange);
	}
}
