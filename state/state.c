#include "state/state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "state/state_private.h"

struct state *state_new(void)
{
	struct state *state = xcalloc(1, sizeof(*state));

	config_init(&state->config);
	dedupe_init(&state->dedupe);
	verdict_table_init(&state->verdicts);
	lease_table_init(&state->leases);
	usage_table_init(&state->usage);
	weight_table_init(&state->weights);
	quarantine_table_init(&state->quarantines);
	return state;
}

void state_free(struct state *state)
{
	if (!state)
		return;
	config_finish(&state->config);
	dedupe_finish(&state->dedupe);
	verdict_table_finish(&state->verdicts);
	lease_table_finish(&state->leases);
	usage_table_finish(&state->usage);
	weight_table_finish(&state->weights);
	quarantine_table_finish(&state->quarantines);
	free(state);
}

void state_set_observer(struct state *state, struct state_observer *observer)
{
	state->observer = observer;
}

/* A repeated command id gets the first verdict, whoever sends it. */
static int apply_command(struct state *state, const Currant__Command *command,
			 uint64_t position, struct error *why)
{
	const struct verdict *known;
	struct verdict verdict;

	if (!command->change || !command->id[0] ||
	    strlen(command->id) >= NAME_BYTES)
		return error_set(why, ERROR_INVALID,
				 "a command needs a change and an id of 1 to "
				 "%d bytes",
				 NAME_BYTES - 1);
	known = verdict_table_find(&state->verdicts, command->id);
	if (known) {
		*why = known->error;
		return known->accepted ? 0 : -1;
	}
	memset(&verdict, 0, sizeof(verdict));
	copy_text(verdict.id, sizeof(verdict.id), command->id);
	verdict.position = position;
	verdict.accepted = !config_apply(&state->config, command->change,
					 position, &verdict.error);
	if (verdict.accepted)
		state->config.position = position;
	verdict_table_add(&state->verdicts, &verdict);
	*why = verdict.error;
	return verdict.accepted ? 0 : -1;
}

/* A daemon claims for itself alone. */
static int check_holder(const Currant__Origin *origin, const char *holder,
			uint64_t incarnation, struct error *why)
{
	if (origin->incarnation == incarnation &&
	    !strcmp(origin->writer, holder))
		return 0;
	return error_set(why, ERROR_DENIED, "'%.64s' claims for another daemon",
			 origin->writer);
}

static int apply_claim(struct state *state, const Currant__Record *record,
		       uint64_t position, struct error *why)
{
	const Currant__LeaseClaim *claim = record->lease_claim;

	if (check_holder(record->origin, claim->holder,
			 claim->holder_incarnation, why))
		return -1;
	return lease_table_claim(&state->leases, claim, position, why);
}

static int apply_release(struct state *state, const Currant__Record *record,
			 uint64_t position, struct error *why)
{
	const Currant__LeaseRelease *release = record->lease_release;

	if (check_holder(record->origin, release->holder,
			 release->holder_incarnation, why))
		return -1;
	return lease_table_release(&state->leases, release, position, why);
}

static int apply_close(struct state *state, const Currant__Record *record,
		       uint64_t position, struct error *why)
{
	const Currant__UsageClose *close = record->usage_close;
	char name[2 * NAME_BYTES];

	snprintf(name, sizeof(name), "usage/%.64s", close->partition);
	return usage_table_close(&state->usage, close,
				 lease_table_find(&state->leases, name),
				 record->origin, position, why);
}

static int apply_body(struct state *state, const Currant__Record *record,
		      uint64_t position, struct error *why)
{
	switch (record->body_case) {
	case CURRANT__RECORD__BODY_COMMAND:
		return apply_command(state, record->command, position, why);
	case CURRANT__RECORD__BODY_LEASE_CLAIM:
		return apply_claim(state, record, position, why);
	case CURRANT__RECORD__BODY_LEASE_RELEASE:
		return apply_release(state, record, position, why);
	case CURRANT__RECORD__BODY_USAGE_PARTIAL:
		return usage_table_partial(&state->usage, record->usage_partial,
					   why);
	case CURRANT__RECORD__BODY_USAGE_CLOSE:
		return apply_close(state, record, position, why);
	case CURRANT__RECORD__BODY_USAGE_ACKNOWLEDGED:
		return usage_table_acknowledge(&state->usage,
					       record->usage_acknowledged, why);
	case CURRANT__RECORD__BODY_WEIGHT_PUBLISHED:
		return weight_table_publish(
			&state->weights, record->weight_published->pool,
			record->weight_published->version, why);
	case CURRANT__RECORD__BODY_QUARANTINE:
		quarantine_table_set(&state->quarantines,
				     record->quarantine->fingerprint,
				     record->quarantine->until_wall_ms);
		return 0;
	case CURRANT__RECORD__BODY_SAMPLE_TRACES:
	case CURRANT__RECORD__BODY_SNAPSHOT_PART:
		return 0;
	default:
		state->counts.unknown_kinds++;
		return error_set(why, ERROR_INVALID,
				 "a record of an unknown kind");
	}
}

static int valid_origin(const Currant__Origin *origin)
{
	return origin && origin->sequence && origin->writer[0] &&
	       strlen(origin->writer) < NAME_BYTES;
}

static void apply_record(struct state *state, const Currant__Record *record,
			 uint64_t position)
{
	const Currant__Origin *origin = record->origin;
	struct error why = ERROR_INIT;
	int accepted;

	state->counts.records++;
	if (!valid_origin(origin)) {
		state->counts.invalid_records++;
		return;
	}
	if (!dedupe_take(&state->dedupe, origin->writer, origin->incarnation,
			 origin->sequence)) {
		state->counts.repeats++;
		return;
	}
	accepted = !apply_body(state, record, position, &why);
	if (!accepted && why.code == ERROR_FULL)
		state->counts.refused_full++;
	if (state->observer)
		state->observer->applied(state->observer, record, position,
					 accepted, &why);
}

static void apply_batch(struct state *state, uint64_t offset, const void *data,
			size_t len)
{
	Currant__RecordBatch *batch =
		currant__record_batch__unpack(NULL, len, data);
	size_t count = batch ? batch->n_records : 0;

	if (!batch || count > MAX_BATCH_RECORDS) {
		state->counts.broken_entries++;
		count = 0;
	}
	for (size_t i = 0; i < count; i++)
		apply_record(state, batch->records[i],
			     position_make(offset, (uint32_t)i + 1));
	if (batch)
		currant__record_batch__free_unpacked(batch, NULL);
}

int state_apply_entry(struct state *state, uint64_t offset, const void *data,
		      size_t len, struct error *err)
{
	if (offset < state->next_offset)
		return 0;
	if (offset > state->next_offset)
		return error_set(err, ERROR_CONFLICT,
				 "log entries %" PRIu64 " to %" PRIu64
				 " are missing",
				 state->next_offset, offset - 1);
	state->counts.entries++;
	apply_batch(state, offset, data, len);
	state->next_offset = offset + 1;
	return 0;
}

uint64_t state_next_offset(const struct state *state)
{
	return state->next_offset;
}

const struct config *state_config(const struct state *state)
{
	return &state->config;
}

void state_counts(const struct state *state, struct state_counts *out)
{
	*out = state->counts;
}

uint64_t state_newest_sequence(const struct state *state, const char *writer,
			       uint64_t incarnation)
{
	return dedupe_newest(&state->dedupe, writer, incarnation);
}

int state_verdict(const struct state *state, const char *id,
		  struct verdict *out)
{
	const struct verdict *verdict =
		verdict_table_find(&state->verdicts, id);

	if (!verdict)
		return -1;
	*out = *verdict;
	return 0;
}

const struct lease *state_lease(const struct state *state, const char *name)
{
	return lease_table_find(&state->leases, name);
}

uint32_t state_leases(const struct state *state, const struct lease **first)
{
	*first = state->leases.leases;
	return state->leases.count;
}

const struct usage_window *state_usage_window(const struct state *state,
					      const char *partition,
					      uint64_t start_s)
{
	return usage_table_find(&state->usage, partition, start_s);
}

uint32_t state_usage_windows(const struct state *state,
			     const struct usage_window **first)
{
	*first = state->usage.windows;
	return state->usage.window_count;
}

uint32_t state_usage_carries(const struct state *state,
			     const struct usage_carry **first)
{
	*first = state->usage.carries;
	return state->usage.carry_count;
}

uint64_t state_weight_version(const struct state *state, const char *pool)
{
	return weight_table_version(&state->weights, pool);
}

void state_each_weight(const struct state *state,
		       void (*fn)(void *arg, const char *pool,
				  uint64_t version),
		       void *arg)
{
	for (uint32_t i = 0; i < state->weights.count; i++)
		fn(arg, state->weights.pools[i].pool,
		   state->weights.pools[i].version);
}

void state_each_quarantine(const struct state *state,
			   void (*fn)(void *arg, uint64_t fingerprint,
				      uint64_t until_wall_ms),
			   void *arg)
{
	const struct quarantine_table *table = &state->quarantines;

	for (uint32_t i = 0; i < table->index.count; i++)
		fn(arg, table->entries[i].fingerprint,
		   table->entries[i].until_wall_ms);
}

int state_quarantined(const struct state *state, uint64_t fingerprint,
		      uint64_t wall_ms)
{
	return quarantine_table_holds(&state->quarantines, fingerprint,
				      wall_ms);
}
