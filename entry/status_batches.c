#include "entry/status_batches.h"

#include "entry/status_row.h"

static const char *const item_states[] = {
	[BATCH_ITEM_OPEN] = "open",
	[BATCH_ITEM_COMPLETE] = "complete",
	[BATCH_ITEM_GIVEN_UP] = "given_up",
};

static const char *const run_states[] = {
	[ACTIVE_ITEM_WAITING] = "waiting", [ACTIVE_ITEM_RUNNING] = "running",
	[ACTIVE_ITEM_SCORING] = "scoring", [ACTIVE_ITEM_STORING] = "storing",
	[ACTIVE_ITEM_DONE] = "done",
};

static uint32_t count_items(const struct batch *batch,
			    enum batch_item_state state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < batch->item_count; i++)
		count += batch->items[i].state == state;
	return count;
}

static void fill_batch(const struct status_sources *sources, json_t *row,
		       const struct batch_partition *partition,
		       const struct batch *batch)
{
	int64_t now_ms = clock_wall_ms(sources->clock);

	status_put_text(row, "id", batch->id);
	status_put_text(row, "team", batch->team);
	status_put_text(row, "model", batch->model);
	status_put_int(row, "step", (int64_t)batch->step);
	status_put_int(row, "min_version", (int64_t)batch->min_version);
	status_put_int(row, "items", batch->item_count);
	status_put_int(row, "open", count_items(batch, BATCH_ITEM_OPEN));
	status_put_int(row, "complete",
		       count_items(batch, BATCH_ITEM_COMPLETE));
	status_put_int(row, "given_up",
		       count_items(batch, BATCH_ITEM_GIVEN_UP));
	status_put_bool(row, "ended", batch->ended);
	status_put_int(row, "age_ms", now_ms - batch->accepted_ms);
	status_put_int(row, "due_ms", batch->due_ms);
	status_put_int(row, "partition", partition->number);
	status_put_text(row, "owner", partition->table.owner);
}

void status_batches(const struct status_sources *sources, json_t *page,
		    uint64_t from)
{
	const struct batch_set *set = sources->batches;
	struct status_rows rows;

	status_rows_begin(&rows, from);
	for (uint32_t i = 0; i < set->count; i++) {
		const struct batch_partition *p = &set->partitions[i];

		for (const struct batch *b = p->table.newest; b; b = b->older) {
			json_t *row = status_rows_add(&rows);

			if (row)
				fill_batch(sources, row, p, b);
		}
	}
	status_rows_end(&rows, page, "batches");
}

/* The batch in the runner; NULL if this daemon does not run it. */
static const struct active_batch *
find_run_batch(const struct batch_runner *runner, const struct batch *batch)
{
	for (const struct owned_partition *o = runner->owned; o; o = o->next)
		for (const struct active_batch *b = o->batches; b; b = b->next)
			if (b->batch == batch)
				return b;
	return NULL;
}

static void fill_run_item(json_t *row, const struct active_item *item)
{
	status_put_text(row, "run", run_states[item->state]);
	status_put_text(row, "engine",
			item->attempt ? item->attempt->engine->server->entry.id
				      : "");
	status_put_int(row, "runs", item->attempt_count);
	status_put_int(row, "failed_runs", item->failed_runs);
	status_put_int(row, "last_event", item->output.last_event);
	status_put_text(row, "reward",
			item->reward ? item->reward->server->entry.id : "");
	status_put_int(row, "reward_calls", item->reward_calls);
	status_put_int(row, "failed_rewards", item->failed_rewards);
}

static void fill_item(json_t *row, const struct batch *batch,
		      const struct batch_item *item)
{
	const struct version_set *set;
	json_t *versions;

	status_put_text(row, "id", item->id);
	status_put_text(row, "state", item_states[item->state]);
	if (item->state == BATCH_ITEM_OPEN)
		return;
	status_put_int(row, "position", item->position);
	set = batch_item_versions(batch, item);
	versions = json_array();
	for (uint32_t i = 0; set && i < set->count; i++)
		json_array_append_new(
			versions, json_integer((json_int_t)set->versions[i]));
	json_object_set_new(row, "versions", versions);
}

int status_items(const struct status_sources *sources, json_t *page,
		 const char *id, uint64_t from)
{
	struct batch_partition *partition;
	const struct batch *batch =
		batch_set_find(sources->batches, id, &partition);
	const struct active_batch *run;
	struct status_rows rows;

	if (!batch)
		return -1;
	run = find_run_batch(sources->runner, batch);
	status_rows_begin(&rows, from);
	for (uint32_t i = 0; i < batch->item_count; i++) {
		json_t *row = status_rows_add(&rows);

		if (!row)
			continue;
		fill_item(row, batch, &batch->items[i]);
		if (run && run->items)
			fill_run_item(row, &run->items[i]);
	}
	status_put_text(page, "batch", batch->id);
	status_put_text(page, "owner", partition->table.owner);
	status_rows_end(&rows, page, "items");
	return 0;
}
