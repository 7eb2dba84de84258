#include <string.h>

#include "batch/batch_runner_private.h"
#include "policy/item_order.h"

static uint64_t expected_tokens(const struct active_batch *batch)
{
	double tokens = 0;

	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		const Currant__Topic__BatchItem *spec = batch->items[i].spec;

		tokens += item_expected_tokens(spec->length_hint,
					       spec->max_output_tokens, 0);
	}
	return (uint64_t)tokens;
}

/* Makes `demand` cover this batch as well. */
static void add_batch(struct batch_demand *demand,
		      const struct active_batch *batch)
{
	uint64_t tokens = expected_tokens(batch);

	if (batch->batch->min_version > demand->min_version ||
	    (batch->batch->min_version == demand->min_version &&
	     batch->named_version > demand->named_version)) {
		demand->min_version = batch->batch->min_version;
		demand->named_version = batch->named_version;
	}
	if (tokens > demand->tokens)
		demand->tokens = tokens;
	if (batch->batch->item_count > demand->items)
		demand->items = batch->batch->item_count;
	demand->single_version |= batch->batch->single_version;
}

void runner_publish_demand(struct batch_runner *runner,
			   const struct active_batch *batch)
{
	struct batch_demand_listener *listener = runner->demand_listener;
	const struct entry_route *route =
		runner_route(runner, &batch->items[0]);
	struct batch_demand demand = { .model = batch->batch->model };

	if (!listener || !*demand.model || !route || !route->target_count)
		return;
	demand.service = route->targets[0].service;
	for (const struct active_batch *b = batch->owned->batches; b;
	     b = b->next)
		if (b->is_loaded && !strcmp(b->batch->model, demand.model))
			add_batch(&demand, b);
	listener->vt->changed(listener, &demand);
}
