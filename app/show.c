#include "app/show.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lang/show_config.h"
#include "lang/table.h"

/* What a callback needs to add rows. */
struct show_call {
	struct daemon *daemon;
	struct table *table;
	int64_t now_ns;
	const char *state; /* of all requests: they run */
};

static void add_sample(void *arg, const struct sample_entry *entry)
{
	struct table *table = ((struct show_call *)arg)->table;

	table_add_text(table, entry->trainer);
	table_add_text(table, entry->team);
	table_add_text(table, entry->route);
	table_add_integer(table, (int64_t)entry->step);
	table_add_integer(table, (int64_t)entry->group);
	table_add_integer(table, entry->index);
	table_add_text(table, entry->backend_server);
	table_add_text(table, entry->versions);
	table_add_integer(table, (int64_t)entry->staleness);
	table_add_integer(table, (int64_t)entry->wall_ms);
	table_end_row(table);
}

static void show_samples(struct show_call *call)
{
	struct daemon *daemon = call->daemon;
	struct error err = ERROR_INIT;

	if (sample_log_refresh(&daemon->samples, &daemon->trace_port.base,
			       &err))
		log_warning(&daemon->log_app, "traces were not read: %s",
			    err.text);
	sample_log_each(&daemon->samples, add_sample, call);
}

static void add_request(void *arg, const struct running_request *request)
{
	struct show_call *call = arg;

	table_add_text(call->table, request->id);
	table_add_text(call->table, request->team);
	table_add_text(call->table, request->route);
	table_add_text(call->table, "running");
	table_add_text(call->table, "");
	table_add_integer(call->table,
			  (call->now_ns - request->started_ns) / NS_PER_MS);
	table_end_row(call->table);
}

static void show_requests(struct show_call *call)
{
	running_table_each(&call->daemon->running, add_request, call);
}

static void add_window(struct table *table, const struct usage_window *window)
{
	for (uint32_t i = 0; i < window->figure_count; i++) {
		const struct usage_figure *figure = &window->figures[i];

		table_add_integer(table, (int64_t)window->start_s);
		table_add_text(table, window->partition);
		table_add_boolean(table, window->closed);
		table_add_boolean(table, window->acknowledged);
		table_add_text(table, figure->team);
		table_add_text(table, figure->route);
		table_add_text(table, figure->data_centre);
		table_add_text(table, figure->backend_class);
		table_add_integer(table, (int64_t)figure->requests);
		table_add_integer(table, (int64_t)figure->prompt_tokens);
		table_add_integer(table, (int64_t)figure->completion_tokens);
		table_add_integer(table, (int64_t)figure->backend_us);
		table_end_row(table);
	}
}

static void add_usage(const struct state *state, void *arg)
{
	struct show_call *call = arg;
	const struct usage_window *windows;
	uint32_t count = state_usage_windows(state, &windows);

	for (uint32_t i = 0; i < count; i++)
		add_window(call->table, &windows[i]);
}

static void show_usage(struct show_call *call)
{
	log_client_with_state(&call->daemon->log_client, add_usage, call);
}

static void show_weights(struct show_call *call)
{
	struct pool_version versions[VERSION_POOLS_MAX];
	uint32_t count = version_table_copy(&call->daemon->versions, versions,
					    VERSION_POOLS_MAX);

	for (uint32_t i = 0; i < count; i++) {
		table_add_text(call->table, versions[i].pool);
		table_add_integer(call->table, (int64_t)versions[i].version);
		table_end_row(call->table);
	}
}

static const char *server_state(const struct server *server,
				const struct server_view *view)
{
	if (view->leaving || !server->listed)
		return "leaving";
	if (view->circuit_open)
		return "circuit_open";
	return view->suspect ? "suspect" : "live";
}

static void add_server(void *arg, const struct server_pool *pool,
		       const struct server *server,
		       const struct server_view *view)
{
	struct table *table = ((struct show_call *)arg)->table;

	table_add_text(table, server->name);
	table_add_text(table, pool->name);
	table_add_text(table, view->data_centre);
	table_add_text(table, view->cheap ? "cheap" : "dear");
	table_add_text(table, server_state(server, view));
	table_add_integer(table, view->reported_running);
	table_add_integer(table, view->reported_waiting);
	table_add_integer(table, view->capacity);
	table_add_integer(table, (int64_t)view->version);
	table_end_row(table);
}

static void show_servers(struct show_call *call)
{
	server_table_each(&call->daemon->servers, add_server, call);
}

static const char *member_state_name(enum member_state state)
{
	static const char *const names[] = { "unknown", "alive", "suspect",
					     "leaving", "gone" };

	return names[state];
}

static void add_member(struct table *table, const struct member *member)
{
	char incarnation[24];

	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
		 member->incarnation);
	table_add_text(table, member->name);
	table_add_text(table, member->data_centre);
	table_add_text(table, member->region);
	table_add_text(table, member_state_name(member->state));
	table_add_text(table, incarnation);
	table_add_integer(table, (int64_t)member->log_head);
	table_add_integer(table, member->requests_in_flight);
	table_end_row(table);
}

static void show_hosts(struct show_call *call)
{
	struct daemon *daemon = call->daemon;
	struct member own;
	struct member *members;
	uint32_t count = membership_view(daemon->membership, &members);

	memset(&own, 0, sizeof(own));
	memcpy(own.name, daemon->settings.name, sizeof(own.name));
	memcpy(own.data_centre, daemon->settings.data_centre,
	       sizeof(own.data_centre));
	memcpy(own.region, daemon->settings.region, sizeof(own.region));
	own.state = __atomic_load_n(&daemon->draining, __ATOMIC_ACQUIRE)
			    ? MEMBER_LEAVING
			    : MEMBER_ALIVE;
	own.incarnation = daemon->incarnation;
	own.log_head = log_client_next_offset(&daemon->log_client);
	own.requests_in_flight = daemon_requests_running(daemon);
	add_member(call->table, &own);
	for (uint32_t i = 0; i < count; i++)
		add_member(call->table, &members[i]);
	free(members);
}

static void add_leases(const struct state *state, void *arg)
{
	struct show_call *call = arg;
	const struct lease *leases;
	uint32_t count = state_leases(state, &leases);

	for (uint32_t i = 0; i < count; i++) {
		table_add_text(call->table, leases[i].name);
		table_add_text(call->table, leases[i].holder);
		table_add_integer(call->table, (int64_t)leases[i].epoch);
		table_add_integer(call->table, (int64_t)leases[i].position);
		table_add_integer(call->table, (int64_t)leases[i].duration_ms);
		table_end_row(call->table);
	}
}

static void show_leases(struct show_call *call)
{
	log_client_with_state(&call->daemon->log_client, add_leases, call);
}

static void show_configuration(struct show_call *call)
{
	const struct config *config =
		log_client_config_begin(&call->daemon->log_client);

	show_config(config, call->table);
	log_client_config_end(&call->daemon->log_client);
}

static void fill(struct show_call *call, enum show_subject subject)
{
	switch (subject) {
	case SHOW_SAMPLES:
		show_samples(call);
		break;
	case SHOW_REQUESTS:
		show_requests(call);
		break;
	case SHOW_USAGE:
		show_usage(call);
		break;
	case SHOW_WEIGHTS:
		show_weights(call);
		break;
	case SHOW_BACKEND_SERVERS:
		show_servers(call);
		break;
	case SHOW_HOSTS:
		show_hosts(call);
		break;
	case SHOW_LEASES:
		show_leases(call);
		break;
	default:
		show_configuration(call);
		break;
	}
}

void show_handle(struct daemon *daemon, const struct statement *statement,
		 struct http_exchange *exchange)
{
	struct table table;
	struct show_call call = {
		.daemon = daemon,
		.table = &table,
		.now_ns = clock_now_ns(&daemon->clock),
	};
	json_t *json;

	table_init(&table, statement);
	fill(&call, statement->subject);
	json = table_to_json(&table);
	http_exchange_send_json(exchange, 200, json);
	json_decref(json);
	table_finish(&table);
}
