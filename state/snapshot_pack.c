#include "state/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "state/state_private.h"
#include "state/usage_figure.h"

/*
 * A list of messages for protobuf-c: one block of `count` messages, and
 * pointers to each. Texts stay the state's, so that only the two blocks are
 * freed.
 */
static void *list_new(size_t count, size_t size)
{
	char *block = xcalloc(count ? count : 1, size);
	void **list = xcalloc(count + 1, sizeof(*list));

	list[0] = block;
	for (size_t i = 0; i < count; i++)
		list[i] = block + i * size;
	return list;
}

static void list_free(void *list)
{
	free(*(void **)list);
	free(list);
}

static char *text(const char *value)
{
	return (char *)value;
}

static void pack_dedupe(const struct dedupe *dedupe,
			Currant__SnapshotState *out)
{
	const struct slot_index *index = &dedupe->index;

	out->newest = list_new(index->count, sizeof(Currant__Origin));
	for (uint32_t slot = index->oldest; slot != SLOT_NONE;
	     slot = index->newer[slot]) {
		const struct dedupe_entry *entry = &dedupe->entries[slot];
		Currant__Origin *origin = out->newest[out->n_newest++];

		currant__origin__init(origin);
		origin->writer = text(entry->writer);
		origin->incarnation = entry->incarnation;
		origin->sequence = entry->newest_sequence;
	}
}

static void pack_teams(const struct config *config, Currant__SnapshotState *out)
{
	out->n_teams = config->team_count;
	out->teams = list_new(out->n_teams, sizeof(Currant__TeamState));
	for (uint32_t i = 0; i < config->team_count; i++) {
		const struct team *team = &config->teams[i];
		Currant__TeamState *to = out->teams[i];

		currant__team_state__init(to);
		to->name = text(team->name);
		to->version = team->version;
		to->weight = team->weight;
		to->max_in_flight = team->max_in_flight;
	}
}

static void pack_keys(const struct config *config, Currant__SnapshotState *out)
{
	out->n_keys = config->key_count;
	out->keys = list_new(out->n_keys, sizeof(Currant__KeyState));
	for (uint32_t i = 0; i < config->key_count; i++) {
		struct key *key = &config->keys[i];
		Currant__KeyState *to = out->keys[i];

		currant__key_state__init(to);
		to->id = key->id;
		to->version = key->version;
		to->team = key->team;
		to->salt.data = key->salt;
		to->salt.len = KEY_SALT_BYTES;
		to->hash.data = key->hash;
		to->hash.len = KEY_HASH_BYTES;
		to->withdrawn = key->withdrawn;
	}
}

static void pack_routes(const struct config *config,
			Currant__SnapshotState *out)
{
	out->n_routes = config->route_count;
	out->routes = list_new(out->n_routes, sizeof(Currant__RouteState));
	for (uint32_t i = 0; i < config->route_count; i++) {
		const struct route *route = &config->routes[i];
		Currant__RouteState *to = out->routes[i];

		currant__route_state__init(to);
		to->name = text(route->name);
		to->version = route->version;
		to->kind = route->kind;
		to->route_class = route->class_;
		to->pool = text(route->pool);
		to->path = text(route->path);
		to->team = text(route->team);
		to->open = route->open;
		to->repeatable = route->repeatable;
		to->methods = route->methods;
		to->deadline_ms = route->deadline_ms;
		to->max_tokens = route->max_tokens;
	}
}

static void pack_bounds(const struct config *config,
			Currant__SnapshotState *out)
{
	out->n_bounds = config->bound_count;
	out->bounds = list_new(out->n_bounds, sizeof(Currant__BoundState));
	for (uint32_t i = 0; i < config->bound_count; i++) {
		const struct bound *bound = &config->bounds[i];
		Currant__BoundState *to = out->bounds[i];

		currant__bound_state__init(to);
		to->route = text(bound->route);
		to->version = bound->version;
		to->max_versions = bound->max_versions;
	}
	out->n_budgets = config->budget_count;
	out->budgets = list_new(out->n_budgets, sizeof(Currant__BudgetState));
	for (uint32_t i = 0; i < config->budget_count; i++) {
		const struct budget *budget = &config->budgets[i];
		Currant__BudgetState *to = out->budgets[i];

		currant__budget_state__init(to);
		to->data_centre = text(budget->data_centre);
		to->version = budget->version;
		to->pool = text(budget->pool);
		to->max_dear = budget->max_dear;
		to->max_cheap = budget->max_cheap;
		to->max_cents_per_hour = budget->max_cents_per_hour;
	}
}

static void pack_verdicts(const struct verdict_table *table,
			  Currant__SnapshotState *out)
{
	const struct slot_index *index = &table->index;

	out->verdicts = list_new(index->count, sizeof(Currant__VerdictState));
	for (uint32_t slot = index->oldest; slot != SLOT_NONE;
	     slot = index->newer[slot]) {
		const struct verdict *verdict = &table->verdicts[slot];
		Currant__VerdictState *to = out->verdicts[out->n_verdicts++];

		currant__verdict_state__init(to);
		to->id = text(verdict->id);
		to->accepted = verdict->accepted;
		to->position = verdict->position;
		to->error_code = verdict->error.code;
		to->error_text = text(verdict->error.text);
	}
}

static void pack_leases(const struct lease_table *table,
			Currant__SnapshotState *out)
{
	out->n_leases = table->count;
	out->leases = list_new(out->n_leases, sizeof(Currant__LeaseState));
	for (uint32_t i = 0; i < table->count; i++) {
		const struct lease *lease = &table->leases[i];
		Currant__LeaseState *to = out->leases[i];

		currant__lease_state__init(to);
		to->name = text(lease->name);
		to->holder = text(lease->holder);
		to->holder_incarnation = lease->holder_incarnation;
		to->epoch = lease->epoch;
		to->position = lease->position;
		to->duration_ms = lease->duration_ms;
		to->epoch_position = lease->epoch_position;
	}
}

static Currant__FigureState **pack_figures(const struct usage_figure *figures,
					   uint32_t count)
{
	Currant__FigureState **list =
		list_new(count, sizeof(Currant__FigureState));
	Currant__UsageSum **sums = list_new(count, sizeof(Currant__UsageSum));

	for (uint32_t i = 0; i < count; i++) {
		usage_figure_to_sum(&figures[i], sums[i]);
		currant__figure_state__init(list[i]);
		list[i]->sum = sums[i];
		list[i]->late_requests = figures[i].late_requests;
	}
	/* The first message keeps the block of sums reachable. */
	if (!count)
		free(sums[0]);
	free(sums);
	return list;
}

static void free_figures(Currant__FigureState **list, size_t count)
{
	if (count)
		free(list[0]->sum);
	list_free(list);
}

static void pack_usage(const struct usage_table *table,
		       Currant__SnapshotState *out)
{
	out->n_windows = table->window_count;
	out->windows = list_new(out->n_windows, sizeof(Currant__WindowState));
	for (uint32_t i = 0; i < table->window_count; i++) {
		const struct usage_window *window = &table->windows[i];
		Currant__WindowState *to = out->windows[i];

		currant__window_state__init(to);
		to->start_s = window->start_s;
		to->partition = text(window->partition);
		to->closed = window->closed;
		to->acknowledged = window->acknowledged;
		to->close_position = window->close_position;
		to->n_figures = window->figure_count;
		to->figures =
			pack_figures(window->figures, window->figure_count);
	}
}

static void pack_carries(const struct usage_table *table,
			 Currant__SnapshotState *out)
{
	out->n_carries = table->carry_count;
	out->carries = list_new(out->n_carries, sizeof(Currant__CarryState));
	for (uint32_t i = 0; i < table->carry_count; i++) {
		const struct usage_carry *carry = &table->carries[i];
		Currant__CarryState *to = out->carries[i];

		currant__carry_state__init(to);
		to->partition = text(carry->partition);
		to->has_closed = carry->has_closed;
		to->newest_closed_s = carry->newest_closed_s;
		to->n_figures = carry->figure_count;
		to->figures = pack_figures(carry->figures, carry->figure_count);
	}
}

static void pack_weights(const struct weight_table *table,
			 Currant__SnapshotState *out)
{
	out->n_weights = table->count;
	out->weights =
		list_new(out->n_weights, sizeof(Currant__WeightPublished));
	for (uint32_t i = 0; i < table->count; i++) {
		currant__weight_published__init(out->weights[i]);
		out->weights[i]->pool = text(table->pools[i].pool);
		out->weights[i]->version = table->pools[i].version;
	}
}

static void pack_quarantines(const struct quarantine_table *table,
			     Currant__SnapshotState *out)
{
	const struct slot_index *index = &table->index;

	out->quarantines =
		list_new(index->count, sizeof(Currant__QuarantineState));
	for (uint32_t slot = index->oldest; slot != SLOT_NONE;
	     slot = index->newer[slot]) {
		Currant__QuarantineState *to =
			out->quarantines[out->n_quarantines++];

		currant__quarantine_state__init(to);
		to->fingerprint = table->entries[slot].fingerprint;
		to->until_wall_ms = table->entries[slot].until_wall_ms;
	}
}

static void free_lists(Currant__SnapshotState *snapshot)
{
	for (size_t i = 0; i < snapshot->n_windows; i++)
		free_figures(snapshot->windows[i]->figures,
			     snapshot->windows[i]->n_figures);
	for (size_t i = 0; i < snapshot->n_carries; i++)
		free_figures(snapshot->carries[i]->figures,
			     snapshot->carries[i]->n_figures);
	list_free(snapshot->newest);
	list_free(snapshot->teams);
	list_free(snapshot->keys);
	list_free(snapshot->routes);
	list_free(snapshot->bounds);
	list_free(snapshot->budgets);
	list_free(snapshot->verdicts);
	list_free(snapshot->leases);
	list_free(snapshot->windows);
	list_free(snapshot->carries);
	list_free(snapshot->weights);
	list_free(snapshot->quarantines);
}

uint64_t snapshot_position(const struct state *state)
{
	return position_make(state->next_offset - 1, MAX_BATCH_RECORDS);
}

void state_pack(const struct state *state, uint8_t **data, size_t *len)
{
	Currant__SnapshotState snapshot = CURRANT__SNAPSHOT_STATE__INIT;

	snapshot.position = snapshot_position(state);
	snapshot.config_position = state->config.position;
	pack_dedupe(&state->dedupe, &snapshot);
	pack_teams(&state->config, &snapshot);
	pack_keys(&state->config, &snapshot);
	pack_routes(&state->config, &snapshot);
	pack_bounds(&state->config, &snapshot);
	pack_verdicts(&state->verdicts, &snapshot);
	pack_leases(&state->leases, &snapshot);
	pack_usage(&state->usage, &snapshot);
	pack_carries(&state->usage, &snapshot);
	pack_weights(&state->weights, &snapshot);
	pack_quarantines(&state->quarantines, &snapshot);
	*len = currant__snapshot_state__get_packed_size(&snapshot);
	*data = xmalloc(*len ? *len : 1);
	currant__snapshot_state__pack(&snapshot, *data);
	free_lists(&snapshot);
}
