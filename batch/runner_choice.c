#include "batch/runner_choice.h"

#include <string.h>

#include "base/hash.h"
#include "policy/item_order.h"

/* Fraction of an engine's memory that may be planned for attempts. */
#define MEMORY_FRACTION 0.95
/* Free memory of an engine that is idle or whose capacity is unknown. */
#define MEMORY_UNLIMITED 1e18

/*
 * All attempts of an item use the same service as long as the weights of the
 * route's targets do not change.
 */
const char *runner_item_service(const struct batch_runner *runner,
				const struct active_item *item)
{
	const struct entry_route *route = runner_route(runner, item);
	uint64_t hash = hash_text(active_item_id(item), 0);

	if (!route)
		return NULL;
	return entry_route_service(route, (double)(hash >> 11) /
						  (double)(UINT64_C(1) << 53));
}

static uint32_t tokens_per_event(const struct entry_service *service)
{
	return service && service->tokens_per_event ? service->tokens_per_event
						    : 1;
}

static double tokens_done(const struct active_item *item,
			  const struct entry_service *service)
{
	if (item->output.last_event < 0)
		return 0;
	return (double)item->output.last_event * tokens_per_event(service);
}

void runner_item_need(const struct active_item *item,
		      const struct entry_service *service,
		      struct item_need *need)
{
	const Currant__Topic__BatchItem *spec = item->spec;
	double done = tokens_done(item, service);

	need->tokens_left = item_expected_tokens(spec->length_hint,
						 spec->max_output_tokens,
						 done) -
			    done;
	need->memory_tokens = spec->prompt_tokens + done + need->tokens_left;
}

uint64_t runner_item_prefix(const struct active_item *item)
{
	const Currant__Topic__BatchItem *spec = item->spec;

	return spec->n_part_ids > 1 ? spec->part_ids[spec->n_part_ids - 2] : 0;
}

static double typical_pace(const struct batch_runner *runner,
			   const struct engine_list *list)
{
	double paces[CHOICE_ENGINES_MAX];
	int64_t now_ns = runner_now_ns(runner);
	uint32_t count = 0;

	for (uint32_t i = 0; i < list->count; i++) {
		double known_ns =
			engine_pace_interval(&list->engines[i]->pace, now_ns);

		if (known_ns > 0)
			paces[count++] = known_ns;
	}
	return engine_pace_typical(paces, count);
}

/* Engines without the model rank last. */
static uint64_t sample_rank(const struct batch_runner *runner,
			    const struct server_entry *entry, const char *model)
{
	uint64_t rank = hash_text(entry->id, runner->sample_seed) >> 1;

	if (*model && !server_entry_version(entry, model))
		rank |= UINT64_C(1) << 63;
	return rank;
}

void runner_list_engines(struct batch_runner *runner, const char *service,
			 const char *model, struct engine_list *list)
{
	struct choice_sample sample;

	list->service = entry_config_service(runner->config->current, service);
	choice_sample_begin(&sample, CHOICE_ENGINES_MAX);
	for (struct fleet_server *s = runner->fleet->first; s; s = s->next) {
		int32_t place;

		if (strcmp(s->entry.service, service) != 0)
			continue;
		place = choice_sample_offer(
			&sample, sample_rank(runner, &s->entry, model));
		if (place >= 0)
			list->engines[place] =
				engine_state_get(s, &runner->engines);
	}
	list->count = sample.count;
	list->typical_ns = typical_pace(runner, list);
}

/* Whether the engine's weight version may produce the item's next events. */
static int version_is_allowed(const struct active_item *item,
			      const struct engine_state *engine,
			      const char *model)
{
	const struct batch *batch = item->owner->batch;
	uint64_t version = engine_state_version(engine, model);

	if (!*model)
		return 1;
	if (!version || version < batch->min_version)
		return 0;
	return !batch->single_version || !item->output.version_count ||
	       item->output.versions[0] == version;
}

/* Weight version of the model at the server, or 0 if it is not known. */
static uint64_t server_version(const struct fleet_server *server,
			       const char *model)
{
	return server->batch_engine
		       ? engine_state_version(server->batch_engine, model)
		       : server_entry_version(&server->entry, model);
}

/*
 * Whether the trainer announced the version before this daemon last read the
 * announcements. If not, the engines' entries read so far may be older, too.
 */
static int version_is_known(const struct batch_runner *runner,
			    const char *model, uint64_t version)
{
	struct batch_demand_listener *listener = runner->demand_listener;

	return !listener ||
	       listener->vt->named_version(listener, model) >= version;
}

int runner_text_version_is_unavailable(const struct batch_runner *runner,
				       const struct active_item *item,
				       const char *service)
{
	const struct item_text *output = &item->output;

	if (!item->owner->batch->single_version || !output->version_count ||
	    !version_is_known(runner, runner_model(item), output->versions[0]))
		return 0;
	for (struct fleet_server *s = runner->fleet->first; s; s = s->next)
		if (fleet_server_is_open(s) &&
		    !strcmp(s->entry.service, service) &&
		    server_version(s, runner_model(item)) ==
			    output->versions[0])
			return 0;
	return 1;
}

static double free_memory(const struct engine_state *engine,
			  const struct entry_service *service)
{
	/* An idle engine accepts any item that fits into it at all. */
	if (!engine->running || !service || !service->memory_tokens)
		return MEMORY_UNLIMITED;
	return service->memory_tokens * MEMORY_FRACTION - engine->memory_tokens;
}

static int is_suitable(const struct batch_runner *runner,
		       const struct active_item *item,
		       const struct engine_state *engine)
{
	return runner_now_ns(runner) >= engine->suspect_until_ns &&
	       version_is_allowed(item, engine, runner_model(item));
}

/* Whether the engine could produce the item's next events if it has room. */
static int can_run(const struct batch_runner *runner,
		   const struct active_item *item,
		   const struct engine_state *engine, int last_resort)
{
	return fleet_server_usable_as(engine->server, runner_now_ns(runner),
				      last_resort) &&
	       is_suitable(runner, item, engine);
}

static void describe_engine(struct batch_runner *runner,
			    const struct active_item *item,
			    const struct engine_list *list,
			    const struct engine_state *engine, int last_resort,
			    struct place_engine *view)
{
	const struct fleet_server *server = engine->server;
	const char *model = runner_model(item);
	int64_t now_ns = runner_now_ns(runner);
	uint64_t prefix = runner_item_prefix(item);

	view->slots = server->entry.slots;
	view->running = engine->running;
	view->waiting = 0;
	view->usable = can_run(runner, item, engine, last_resort) &&
		       engine->running < server->entry.slots &&
		       !engine_state_is_blocked(engine, model, now_ns);
	view->memory_tokens = free_memory(engine, list->service);
	view->speed =
		engine_pace_speed(&engine->pace, list->typical_ns, now_ns);
	view->same_data_centre =
		!strcmp(server->entry.data_centre, runner->data_centre);
	view->holds_prefix = prefix && engine->prefix == prefix;
	view->cheap = server->entry.cheap;
	view->cold = fleet_server_is_limited(server, now_ns);
	view->failed_before = item->failed_server_hash ==
			      hash_text(server->entry.id, 0);
}

/*
 * Whether no engine can run the item unless recent failures are ignored. A cold
 * one that has had its share can run it in a moment.
 */
static int is_last_resort(const struct batch_runner *runner,
			  const struct active_item *item,
			  const struct engine_list *list)
{
	for (uint32_t i = 0; i < list->count; i++)
		if (fleet_server_is_available(list->engines[i]->server,
					      runner_now_ns(runner)) &&
		    is_suitable(runner, item, list->engines[i]))
			return 0;
	return 1;
}

struct engine_state *runner_choose_engine(struct batch_runner *runner,
					  const struct active_item *item,
					  const struct engine_list *list,
					  const struct item_need *need,
					  const struct engine_state *except,
					  struct place_engine *view)
{
	struct place_engine views[CHOICE_ENGINES_MAX];
	struct place_item place = { .tokens_left = need->tokens_left,
				    .memory_tokens = need->memory_tokens };
	int last_resort = is_last_resort(runner, item, list);
	int32_t chosen;

	for (uint32_t i = 0; i < list->count; i++) {
		describe_engine(runner, item, list, list->engines[i],
				last_resort, &views[i]);
		if (list->engines[i] == except)
			views[i].usable = 0;
	}
	chosen = item_place(views, list->count, &place);
	if (chosen < 0)
		return NULL;
	*view = views[chosen];
	return list->engines[chosen];
}

double runner_token_ns(const struct batch_runner *runner,
		       const struct engine_list *list,
		       const struct engine_state *engine, uint32_t running)
{
	struct place_engine view = {
		.speed = engine_pace_speed(&engine->pace, list->typical_ns,
					   runner_now_ns(runner)),
	};

	return list->typical_ns / tokens_per_event(list->service) *
	       place_token_time(&view, running);
}
