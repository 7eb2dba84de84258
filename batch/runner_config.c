#include "batch/batch_runner_private.h"

/*
 * An acceptance and the configuration that allowed it are read from different
 * topics, in either order. The store answers reads in the order of its writes,
 * so the next complete read of the configuration finds that version or a newer
 * one.
 */
int runner_awaits_config(const struct batch_runner *runner,
			 const struct batch *batch)
{
	return !config_holder_covers(runner->config, batch->config_version,
				     batch->applied_ns);
}

void runner_record_configs(struct record *record,
			   const struct batch_runner *runner,
			   const struct batch *batch)
{
	const struct entry_config *config = runner->config->current;

	record_int(record, "config", config ? (int64_t)config->version : -1);
	record_int(record, "accepted_config", (int64_t)batch->config_version);
}

static void report(struct batch_runner *runner,
		   const struct active_batch *batch, const char *event)
{
	struct record record;

	record_begin(&record, runner->log, "items", event);
	record_text(&record, "batch", batch->batch->id);
	runner_record_configs(&record, runner, batch->batch);
	record_ms(&record, "waited_ms",
		  runner_now_ns(runner) - batch->awaited_since_ns);
	record_end(&record);
}

void runner_watch_config(struct batch_runner *runner,
			 struct active_batch *batch)
{
	int awaits = runner_awaits_config(runner, batch->batch);

	if (awaits == (batch->awaited_since_ns != 0))
		return;
	if (awaits) {
		batch->awaited_since_ns = runner_now_ns(runner);
		counter_add(runner->config_waits, 1);
		report(runner, batch, "config_awaited");
		return;
	}
	report(runner, batch, "config_read");
	batch->awaited_since_ns = 0;
	runner_publish_demand(runner, batch->owned, batch->batch->model);
}
