#include "batch/batch_api.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "batch/batch_call.h"
#include "batch/batch_submission.h"

static void submit(struct batch_port *port, struct net_request *request,
		   const struct caller_request *caller,
		   const struct entry_route *route,
		   const struct entry_team *team)
{
	batch_submission_start((struct batch_api *)port, request, caller, route,
			       team);
}

static void call(struct batch_port *port, struct net_request *request,
		 const struct caller_request *caller,
		 const struct caller_call *operation,
		 const struct entry_team *team)
{
	batch_call_start((struct batch_api *)port, request, caller, operation,
			 team);
}

static const struct batch_port_vtable port_vtable = { submit, call };

static void on_accepted(struct batch_table_listener *base, struct batch *batch)
{
	struct acceptance_listener *listener =
		(struct acceptance_listener *)base;

	config_holder_note(listener->config, batch->config_version,
			   batch->applied_ns);
}

static void listen_for_acceptances(struct batch_api *api)
{
	api->acceptances = xcalloc(api->set->count, sizeof(*api->acceptances));
	for (uint32_t i = 0; i < api->set->count; i++) {
		struct acceptance_listener *listener = &api->acceptances[i];

		listener->base.accepted = on_accepted;
		listener->config = api->config;
		batch_table_add_listener(&api->set->partitions[i].table,
					 &listener->base);
	}
}

void batch_api_init(struct batch_api *api, struct reactor *reactor,
		    struct batch_set *set, struct topic_log *store,
		    struct config_holder *config, struct record_log *log,
		    struct counter_set *counters, const char *host,
		    uint64_t incarnation)
{
	memset(api, 0, sizeof(*api));
	api->port.vt = &port_vtable;
	api->reactor = reactor;
	api->set = set;
	api->store = store;
	api->log = log;
	api->config = config;
	api->host = host;
	api->incarnation = incarnation;
	api->accepted = counter_get(counters, "batches_accepted_total");
	api->repeated = counter_get(counters, "batches_repeated_total");
	api->refused = counter_get(counters, "batches_refused_total");
	api->unknown = counter_get(counters, "batches_unknown_total");
	api->reads = counter_get(counters, "batch_calls_total");
	histogram_init(&api->accept_duration, counters,
		       "batch_accept_duration_seconds", "");
	listen_for_acceptances(api);
}

void batch_api_answer_waiting(struct batch_api *api)
{
	batch_calls_answer_waiting(api);
}

void batch_api_answer_all(struct batch_api *api)
{
	batch_submissions_answer_all(api);
	batch_calls_answer_all(api);
}

void batch_api_finish(struct batch_api *api)
{
	batch_submissions_finish(api);
	batch_calls_finish(api);
	for (uint32_t i = 0; i < api->set->count; i++)
		batch_table_remove_listener(&api->set->partitions[i].table,
					    &api->acceptances[i].base);
	free(api->acceptances);
}
