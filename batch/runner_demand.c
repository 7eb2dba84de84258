#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "batch/batch_runner_private.h"
#include "policy/item_order.h"

/* Services of the routes of one model's open batches; others get no demand. */
#define DEMAND_SERVICES_MAX 8
/* A third of the time for which the holder of the duties remembers a need. */
#define DEMAND_RENEW_NS (10 * NS_PER_S)

/* What batches need at each service that runs items of theirs. */
struct demand_list {
	struct batch_demand demands[DEMAND_SERVICES_MAX];
	double items[DEMAND_SERVICES_MAX]; /* of the batch being added */
	double tokens[DEMAND_SERVICES_MAX];
	uint32_t count;
};

/* Index of the service; -1 if the list has no room for it. */
static int32_t find_service(struct demand_list *list, const char *service)
{
	for (uint32_t i = 0; i < list->count; i++)
		if (!strcmp(list->demands[i].service, service))
			return (int32_t)i;
	if (list->count == DEMAND_SERVICES_MAX)
		return -1;
	list->demands[list->count].service = service;
	return (int32_t)list->count++;
}

/* Splits the item among the services of its route by their weights. */
static void add_item(struct demand_list *list, const struct entry_route *route,
		     const Currant__Topic__BatchItem *spec)
{
	double tokens = item_expected_tokens(spec->length_hint,
					     spec->max_output_tokens, 0);
	double total = 0;

	for (uint32_t i = 0; i < route->target_count; i++)
		total += route->targets[i].weight;
	for (uint32_t i = 0; i < route->target_count; i++) {
		double part = total > 0 ? route->targets[i].weight / total
					: i == 0;
		int32_t index;

		if (part <= 0)
			continue;
		index = find_service(list, route->targets[i].service);
		if (index < 0)
			continue;
		list->items[index] += part;
		list->tokens[index] += part * tokens;
	}
}

/*
 * Makes the demand of a service cover this batch as well, which has `items`
 * items with `tokens` expected tokens there.
 */
static void add_batch(struct batch_demand *demand,
		      const struct active_batch *batch, double items,
		      double tokens)
{
	uint32_t whole_items = (uint32_t)(items + 0.5);

	if (batch->batch->min_version > demand->min_version ||
	    (batch->batch->min_version == demand->min_version &&
	     batch->named_version > demand->named_version)) {
		demand->min_version = batch->batch->min_version;
		demand->named_version = batch->named_version;
	}
	if ((uint64_t)tokens > demand->tokens)
		demand->tokens = (uint64_t)tokens;
	if (whole_items > demand->items)
		demand->items = whole_items;
	demand->single_version |= batch->batch->single_version;
}

static void add_to_list(struct batch_runner *runner, struct demand_list *list,
			const struct active_batch *batch)
{
	memset(list->items, 0, sizeof(list->items));
	memset(list->tokens, 0, sizeof(list->tokens));
	for (uint32_t i = 0; i < batch->batch->item_count; i++) {
		const struct active_item *item = &batch->items[i];
		const struct entry_route *route = runner_route(runner, item);

		if (route)
			add_item(list, route, item->spec);
	}
	for (uint32_t i = 0; i < list->count; i++)
		if (list->items[i] > 0)
			add_batch(&list->demands[i], batch, list->items[i],
				  list->tokens[i]);
}

/* What the loaded batches of the model need together. */
static void collect(struct batch_runner *runner,
		    const struct owned_partition *owned, const char *model,
		    struct demand_list *list)
{
	memset(list, 0, sizeof(*list));
	for (const struct active_batch *b = owned->batches; b; b = b->next)
		if (b->is_loaded && !runner_awaits_config(runner, b->batch) &&
		    !strcmp(b->batch->model, model))
			add_to_list(runner, list, b);
	for (uint32_t i = 0; i < list->count; i++)
		list->demands[i].model = model;
}

/* The same for the same services, in whichever order they were found. */
static uint64_t hash_services(const struct demand_list *list)
{
	uint64_t hash = 0;

	for (uint32_t i = 0; i < list->count; i++)
		hash ^= hash_text(list->demands[i].service, 0);
	return hash;
}

static void publish(struct batch_runner *runner, struct owned_partition *owned,
		    const char *model, const struct demand_list *list)
{
	struct batch_demand_listener *listener = runner->demand_listener;

	for (struct active_batch *b = owned->batches; b; b = b->next) {
		if (!b->is_loaded || strcmp(b->batch->model, model) != 0)
			continue;
		b->demand_told_ns = runner_now_ns(runner);
		b->demand_services = hash_services(list);
	}
	for (uint32_t i = 0; i < list->count; i++)
		listener->vt->changed(listener, &list->demands[i]);
}

void runner_publish_demand(struct batch_runner *runner,
			   struct owned_partition *owned, const char *model)
{
	struct demand_list list;

	if (!runner->demand_listener || !*model)
		return;
	collect(runner, owned, model, &list);
	publish(runner, owned, model, &list);
}

/* Whether the routes lead to other services than those last told. */
static int has_other_services(struct batch_runner *runner,
			      const struct active_batch *batch)
{
	struct demand_list list;

	collect(runner, batch->owned, batch->batch->model, &list);
	return hash_services(&list) != batch->demand_services;
}

void runner_renew_demand(struct batch_runner *runner)
{
	const struct entry_config *config = runner->config->current;
	int64_t now_ns = runner_now_ns(runner);
	int is_new_config = config &&
			    config->version != runner->demand_config_version;

	if (is_new_config)
		runner->demand_config_version = config->version;
	for (struct owned_partition *o = runner->owned; o; o = o->next)
		for (struct active_batch *b = o->batches; b; b = b->next)
			if (b->is_loaded &&
			    (now_ns - b->demand_told_ns >= DEMAND_RENEW_NS ||
			     (is_new_config && has_other_services(runner, b))))
				runner_publish_demand(runner, o,
						      b->batch->model);
}
