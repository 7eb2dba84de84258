#include "entry/status_engines.h"

#include <math.h>

#include "entry/status_row.h"

static const char *const circuit_states[] = {
	[CIRCUIT_CLOSED] = "closed",
	[CIRCUIT_OPEN] = "open",
	[CIRCUIT_HALF_OPEN] = "half_open",
};

/* Versions of the server's entry, or newer ones seen in later answers. */
static json_t *models_of(const struct fleet_server *server)
{
	const struct server_entry *entry = &server->entry;
	const struct engine_state *engine = server->batch_engine;
	json_t *models = json_array();

	for (uint32_t i = 0; i < entry->model_count; i++) {
		const struct server_model *model = &entry->models[i];
		uint64_t version =
			engine ? engine_state_version(engine, model->name)
			       : model->version;
		json_t *row = json_object();

		status_put_text(row, "name", model->name);
		status_put_int(row, "version", (int64_t)version);
		json_array_append_new(models, row);
	}
	return models;
}

/* Only for servers that report how long work takes. */
static void put_estimate(json_t *row, const struct load_estimate *estimate,
			 int64_t now_ns)
{
	if (!load_estimate_is_known(estimate))
		return;
	status_put_int(row, "others",
		       llround(load_estimate_others(estimate, now_ns)));
	status_put_int(row, "slowdown_percent",
		       llround(100 * load_estimate_slowdown(estimate, now_ns)));
}

static void fill_server(json_t *row, const struct fleet_server *server,
			int64_t now_ns)
{
	const struct server_entry *entry = &server->entry;
	const struct engine_state *engine = server->batch_engine;

	status_put_text(row, "id", entry->id);
	status_put_text(row, "service", entry->service);
	status_put_text(row, "address", entry->address);
	status_put_text(row, "data_centre", entry->data_centre);
	status_put_bool(row, "usable", fleet_server_usable(server, now_ns));
	status_put_bool(row, "leaving", entry->leaving || server->saw_leaving);
	status_put_bool(row, "evacuated", server->evacuated);
	status_put_int(row, "cold_left_ms",
		       fleet_server_cold_left_ns(server, now_ns) / NS_PER_MS);
	status_put_bool(row, "cheap", entry->cheap);
	status_put_text(row, "circuit", circuit_states[server->circuit.state]);
	status_put_int(row, "slots", entry->slots);
	status_put_int(row, "requests", server->running);
	status_put_int(row, "items", engine ? engine->running : 0);
	status_put_int(row, "load", server->load.running);
	status_put_age(row, "load_age_ms", server->load.received_ns, now_ns);
	put_estimate(row, &server->load.estimate, now_ns);
	json_object_set_new(row, "models", models_of(server));
}

void status_engines(const struct status_sources *sources, json_t *page,
		    uint64_t from)
{
	int64_t now_ns = clock_now_ns(sources->clock);
	struct status_rows rows;

	status_rows_begin(&rows, from);
	for (const struct fleet_server *s = sources->fleet->first; s;
	     s = s->next) {
		json_t *row = status_rows_add(&rows);

		if (row)
			fill_server(row, s, now_ns);
	}
	status_rows_end(&rows, page, "servers");
}
