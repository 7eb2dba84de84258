#include "entry/status_port.h"

#include <stdlib.h>
#include <string.h>

#include "entry/answers.h"
#include "platform/calls.h"

static void answer_metrics(struct status_port *port,
			   struct net_request *request)
{
	struct net_answer answer = {
		.status = 200,
		.fields = "Content-Type: text/plain; version=0.0.4\r\n",
	};
	struct strbuf body;

	strbuf_init(&body);
	counter_set_print(port->counters, &body);
	answer.body = body.buf;
	answer.body_len = body.len;
	net_request_answer(request, &answer);
	strbuf_finish(&body);
}

static void answer_unknown(struct net_request *request)
{
	const struct refusal unknown = {
		.status = 404,
		.type = "no_such_page",
		.detail = "this port has no such page, or no such batch",
		.retry_after_ns = -1,
	};

	answer_refusal(request, &unknown);
}

static void answer_status(struct status_port *port, struct net_request *request)
{
	json_t *page = status_page_make(port->sources,
					http_head_target(request->head));
	char *text;

	if (!page) {
		answer_unknown(request);
		return;
	}
	text = json_dumps(page, JSON_COMPACT);
	json_decref(page);
	answer_json_text(request, 200, text, strlen(text));
	free(text);
}

static void on_request(struct net_handler *handler, struct net_request *request)
{
	struct status_port *port = (struct status_port *)handler;
	struct caller_call call;

	if (!strcmp(request->head->method, "GET") &&
	    is_status_target(http_head_target(request->head)))
		answer_status(port, request);
	else if (!platform_read_call(request->head, &call) &&
		 call.kind == CALL_METRICS)
		answer_metrics(port, request);
	else
		answer_unknown(request);
}

static const struct net_handler_vtable handler_vtable = { on_request, NULL };

void status_port_init(struct status_port *port,
		      const struct status_sources *sources,
		      struct counter_set *counters)
{
	memset(port, 0, sizeof(*port));
	port->handler.vt = &handler_vtable;
	port->sources = sources;
	port->counters = counters;
}
