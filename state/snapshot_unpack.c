#include "state/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "state/state_private.h"
#include "state/usage_figure.h"

static void unpack_dedupe(const Currant__SnapshotState *from,
			  struct dedupe *dedupe)
{
	for (size_t i = 0; i < from->n_newest; i++)
		dedupe_take(dedupe, from->newest[i]->writer,
			    from->newest[i]->incarnation,
			    from->newest[i]->sequence);
}

static void unpack_teams(const Currant__SnapshotState *from,
			 struct config *config)
{
	config->team_count = (uint32_t)from->n_teams;
	config->teams = xcalloc(from->n_teams, sizeof(*config->teams));
	for (size_t i = 0; i < from->n_teams; i++) {
		const Currant__TeamState *team = from->teams[i];
		struct team *to = &config->teams[i];

		copy_text(to->name, sizeof(to->name), team->name);
		to->version = team->version;
		to->weight = team->weight;
		to->max_in_flight = team->max_in_flight;
	}
}

static void copy_bytes(uint8_t *to, size_t size,
		       const ProtobufCBinaryData *from)
{
	memcpy(to, from->data, from->len < size ? from->len : size);
}

static void unpack_keys(const Currant__SnapshotState *from,
			struct config *config)
{
	config->key_count = (uint32_t)from->n_keys;
	config->keys = xcalloc(from->n_keys, sizeof(*config->keys));
	for (size_t i = 0; i < from->n_keys; i++) {
		const Currant__KeyState *key = from->keys[i];
		struct key *to = &config->keys[i];

		copy_text(to->id, sizeof(to->id), key->id);
		to->version = key->version;
		copy_text(to->team, sizeof(to->team), key->team);
		copy_bytes(to->salt, sizeof(to->salt), &key->salt);
		copy_bytes(to->hash, sizeof(to->hash), &key->hash);
		to->withdrawn = key->withdrawn;
	}
}

static void unpack_routes(const Currant__SnapshotState *from,
			  struct config *config)
{
	config->route_count = (uint32_t)from->n_routes;
	config->routes = xcalloc(from->n_routes, sizeof(*config->routes));
	for (size_t i = 0; i < from->n_routes; i++) {
		const Currant__RouteState *route = from->routes[i];
		struct route *to = &config->routes[i];

		copy_text(to->name, sizeof(to->name), route->name);
		to->version = route->version;
		to->kind = (enum route_kind)route->kind;
		to->class_ = (enum route_class)route->route_class;
		copy_text(to->pool, sizeof(to->pool), route->pool);
		copy_text(to->path, sizeof(to->path), route->path);
		copy_text(to->team, sizeof(to->team), route->team);
		to->open = route->open;
		to->repeatable = route->repeatable;
		to->methods = route->methods;
		to->deadline_ms = route->deadline_ms;
		to->max_tokens = route->max_tokens;
	}
}

static void unpack_bounds(const Currant__SnapshotState *from,
			  struct config *config)
{
	config->bound_count = (uint32_t)from->n_bounds;
	config->bounds = xcalloc(from->n_bounds, sizeof(*config->bounds));
	for (size_t i = 0; i < from->n_bounds; i++) {
		struct bound *to = &config->bounds[i];

		copy_text(to->route, sizeof(to->route), from->bounds[i]->route);
		to->version = from->bounds[i]->version;
		to->max_versions = from->bounds[i]->max_versions;
	}
	config->budget_count = (uint32_t)from->n_budgets;
	config->budgets = xcalloc(from->n_budgets, sizeof(*config->budgets));
	for (size_t i = 0; i < from->n_budgets; i++) {
		const Currant__BudgetState *budget = from->budgets[i];
		struct budget *to = &config->budgets[i];

		copy_text(to->data_centre, sizeof(to->data_centre),
			  budget->data_centre);
		to->version = budget->version;
		copy_text(to->pool, sizeof(to->pool), budget->pool);
		to->max_dear = budget->max_dear;
		to->max_cheap = budget->max_cheap;
		to->max_cents_per_hour = budget->max_cents_per_hour;
	}
}

static void unpack_verdicts(const Currant__SnapshotState *from,
			    struct verdict_table *table)
{
	for (size_t i = 0; i < from->n_verdicts; i++) {
		const Currant__VerdictState *state = from->verdicts[i];
		struct verdict verdict;

		memset(&verdict, 0, sizeof(verdict));
		copy_text(verdict.id, sizeof(verdict.id), state->id);
		verdict.accepted = state->accepted;
		verdict.position = state->position;
		verdict.error.code = (enum error_code)state->error_code;
		copy_text(verdict.error.text, sizeof(verdict.error.text),
			  state->error_text);
		verdict_table_add(table, &verdict);
	}
}

static int unpack_leases(const Currant__SnapshotState *from,
			 struct lease_table *table)
{
	for (size_t i = 0; i < from->n_leases; i++) {
		const Currant__LeaseState *state = from->leases[i];
		struct lease *lease = lease_table_add(table, state->name);

		if (!lease)
			return -1;
		copy_text(lease->holder, sizeof(lease->holder), state->holder);
		lease->holder_incarnation = state->holder_incarnation;
		lease->epoch = state->epoch;
		lease->position = state->position;
		lease->duration_ms = state->duration_ms;
		lease->epoch_position = state->epoch_position;
	}
	return 0;
}

static void unpack_figures(struct usage_table *table,
			   Currant__FigureState **list, size_t count,
			   struct usage_figure **figures,
			   uint32_t *figure_count)
{
	for (size_t i = 0; i < count; i++) {
		const Currant__UsageSum *sum = list[i]->sum;
		struct usage_figure figure;

		if (!sum)
			continue;
		usage_figure_from_sum(&figure, sum, 0);
		figure.late_requests = list[i]->late_requests;
		usage_table_merge(table, figures, figure_count, &figure);
	}
}

static int unpack_usage(const Currant__SnapshotState *from,
			struct usage_table *table)
{
	for (size_t i = 0; i < from->n_windows; i++) {
		const Currant__WindowState *state = from->windows[i];
		struct usage_window *window = usage_table_add_window(
			table, state->partition, state->start_s);

		if (!window)
			return -1;
		window->closed = state->closed;
		window->acknowledged = state->acknowledged;
		window->close_position = state->close_position;
		unpack_figures(table, state->figures, state->n_figures,
			       &window->figures, &window->figure_count);
	}
	for (size_t i = 0; i < from->n_carries; i++) {
		const Currant__CarryState *state = from->carries[i];
		struct usage_carry *carry =
			usage_table_add_carry(table, state->partition);

		if (!carry)
			return -1;
		carry->has_closed = state->has_closed;
		carry->newest_closed_s = state->newest_closed_s;
		unpack_figures(table, state->figures, state->n_figures,
			       &carry->figures, &carry->figure_count);
	}
	return 0;
}

static void unpack_weights(const Currant__SnapshotState *from,
			   struct state *state)
{
	for (size_t i = 0; i < from->n_weights; i++)
		weight_table_publish(&state->weights, from->weights[i]->pool,
				     from->weights[i]->version, NULL);
	for (size_t i = 0; i < from->n_quarantines; i++)
		quarantine_table_set(&state->quarantines,
				     from->quarantines[i]->fingerprint,
				     from->quarantines[i]->until_wall_ms);
}

static int unpack_all(const Currant__SnapshotState *from, struct state *state)
{
	state->next_offset = position_offset(from->position) + 1;
	unpack_dedupe(from, &state->dedupe);
	unpack_teams(from, &state->config);
	unpack_keys(from, &state->config);
	unpack_routes(from, &state->config);
	unpack_bounds(from, &state->config);
	state->config.position = from->config_position;
	unpack_verdicts(from, &state->verdicts);
	unpack_weights(from, state);
	return unpack_leases(from, &state->leases) ||
	       unpack_usage(from, &state->usage);
}

struct state *state_unpack(const uint8_t *data, size_t len, struct error *err)
{
	Currant__SnapshotState *snapshot =
		currant__snapshot_state__unpack(NULL, len, data);
	struct state *state;

	if (!snapshot) {
		error_set(err, ERROR_PROTOCOL,
			  "%zu bytes are no snapshot of the state", len);
		return NULL;
	}
	state = state_new();
	if (unpack_all(snapshot, state)) {
		error_set(err, ERROR_PROTOCOL,
			  "a snapshot exceeds the bounds of the state");
		state_free(state);
		state = NULL;
	}
	currant__snapshot_state__free_unpacked(snapshot, NULL);
	return state;
}
