#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "duty/version_duty_private.h"
#include "policy/version_plan.h"

/* The newer of the versions by the engine's entry and by its last load. */
static uint64_t engine_version(const struct duty_engine *engine,
			       const char *model)
{
	uint64_t reported = server_entry_version(&engine->server->entry, model);

	if (!strcmp(engine->loaded_model, model) &&
	    engine->loaded_version > reported)
		return engine->loaded_version;
	return reported;
}

/* The needs at one service, and the engines that serve them. */
struct service_plan {
	const char *service;
	const struct weight_need *needs[PLAN_MODELS_MAX];
	const struct step_pace *paces[PLAN_MODELS_MAX];
	struct plan_model models[PLAN_MODELS_MAX];
	uint32_t need_count;
	struct duty_engine **engines;
	struct plan_engine *views;
	uint32_t engine_count;
	uint32_t loading; /* number of engines */
};

static void add_need(struct version_duty *duty, struct service_plan *plan,
		     const struct model_need *model)
{
	const struct weight_need *need = &model->need;
	struct plan_model *view = &plan->models[plan->need_count];

	plan->paces[plan->need_count] = &model->pace;
	plan->needs[plan->need_count++] = need;
	view->newest_named = named_versions_get(duty->named, need->model);
	view->lag = need->named_version > need->min_version
			    ? need->named_version - need->min_version
			    : 0;
	view->tokens = (double)need->tokens + 1;
	view->is_active = need_is_active(model, clock_now_ns(duty->clock));
}

/* Index of the model in the plan; -1: the service has no need of it. */
static int32_t find_need(const struct service_plan *plan, const char *model)
{
	for (uint32_t i = 0; i < plan->need_count; i++)
		if (!strcmp(plan->needs[i]->model, model))
			return (int32_t)i;
	return -1;
}

static void fill_plan_engine(struct version_duty *duty,
			     const struct service_plan *plan,
			     const struct duty_engine *engine,
			     struct plan_engine *view)
{
	const struct fleet_server *server = engine->server;

	view->share = find_need(plan, engine->assigned_model);
	view->is_loading = engine->phase != PHASE_IDLE;
	view->usable =
		fleet_server_is_available(server, clock_now_ns(duty->clock)) &&
		clock_now_ns(duty->clock) >= engine->not_before_ns;
	for (uint32_t i = 0; i < plan->need_count; i++)
		view->versions[i] =
			engine_version(engine, plan->needs[i]->model);
}

static void add_engines(struct version_duty *duty, struct service_plan *plan)
{
	plan->engines =
		xcalloc(duty->fleet->count + 1, sizeof(struct duty_engine *));
	plan->views = xcalloc(duty->fleet->count + 1, sizeof(*plan->views));
	for (struct fleet_server *s = duty->fleet->first; s; s = s->next) {
		struct plan_engine *view = &plan->views[plan->engine_count];

		if (strcmp(plan->service, s->entry.service) != 0)
			continue;
		plan->engines[plan->engine_count] =
			version_duty_engine(duty, s);
		fill_plan_engine(duty, plan, plan->engines[plan->engine_count],
				 view);
		plan->loading += view->is_loading != 0;
		plan->engine_count++;
	}
}

static struct service_plan *find_plan(struct service_plan *plans,
				      uint32_t count, const char *service)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(plans[i].service, service))
			return &plans[i];
	return NULL;
}

/* Returns the number of services; the caller finishes the plans. */
static uint32_t init_plans(struct version_duty *duty,
			   struct service_plan *plans)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < duty->needs.count; i++) {
		const struct model_need *model = &duty->needs.models[i];
		struct service_plan *plan =
			find_plan(plans, count, model->need.service);

		if (!plan) {
			plan = &plans[count++];
			plan->service = model->need.service;
		}
		add_need(duty, plan, model);
	}
	for (uint32_t i = 0; i < count; i++)
		add_engines(duty, &plans[i]);
	return count;
}

static void finish_plans(struct service_plan *plans, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		free(plans[i].engines);
		free(plans[i].views);
	}
	free(plans);
}

static void set_assigned_model(struct version_duty *duty,
			       struct duty_engine *engine, const char *model)
{
	struct record record;

	if (!strcmp(engine->assigned_model, model))
		return;
	copy_text(engine->assigned_model, sizeof(engine->assigned_model),
		  model);
	record_begin(&record, duty->log, "weights", "share");
	record_text(&record, "server", engine->server->entry.id);
	record_text(&record, "model", model);
	record_end(&record);
}

static void assign_shares(struct version_duty *duty, struct service_plan *plan)
{
	version_plan_shares(plan->models, plan->need_count, plan->views,
			    plan->engine_count);
	for (uint32_t i = 0; i < plan->engine_count; i++) {
		int32_t share = plan->views[i].share;

		if (plan->views[i].usable)
			set_assigned_model(
				duty, plan->engines[i],
				share >= 0 ? plan->needs[share]->model : "");
	}
}

/* How many engines of all services load now, and how many may. */
struct load_room {
	uint32_t loading;
	struct plan_bound bound;
};

/* Adds what the newest steps at one service wait for; returns their number. */
static uint32_t collect_dues(const struct version_duty *duty,
			     const struct service_plan *plan,
			     struct load_due *out)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < plan->need_count; i++) {
		const struct plan_model *model = &plan->models[i];
		int64_t left_ns = step_pace_left_ns(
			plan->paces[i], version_plan_oldest_allowed(model),
			model->lag, clock_now_ns(duty->clock));
		uint32_t loads = version_plan_due_loads(model, i, plan->views,
							plan->engine_count);

		if (!model->is_active || left_ns < 0 || !loads)
			continue;
		out[count].loads = loads;
		out[count++].left_ns = left_ns;
	}
	return count;
}

static void log_bound(struct version_duty *duty, uint32_t usual, uint32_t bound)
{
	struct record record;

	if (bound == duty->load_bound)
		return;
	duty->load_bound = bound;
	record_begin(&record, duty->log, "weights", "load_bound");
	record_int(&record, "at_once", bound);
	record_int(&record, "usual", usual);
	record_end(&record);
}

static void find_room(struct version_duty *duty,
		      const struct service_plan *plans, uint32_t count,
		      struct load_room *room)
{
	struct load_due dues[PLAN_MODELS_MAX];
	uint32_t due_count = 0;
	uint32_t regular = 0;
	uint32_t usual;

	memset(room, 0, sizeof(*room));
	for (uint32_t i = 0; i < count; i++) {
		room->loading += plans[i].loading;
		for (uint32_t e = 0; e < plans[i].engine_count; e++)
			regular += !plans[i].engines[e]->server->entry.cheap;
		due_count += collect_dues(duty, &plans[i], &dues[due_count]);
	}
	usual = version_plan_max_loads(regular);
	load_pace_set_usual(&duty->pace, usual);
	room->bound.urgent = load_pace_bound(&duty->pace, dues, due_count,
					     clock_now_ns(duty->clock));
	room->bound.any = room->bound.urgent < usual ? room->bound.urgent
						     : usual;
	log_bound(duty, usual, room->bound.urgent);
}

/* So many of the service's engines may load, given those of the others. */
static uint32_t bound_of_service(const struct load_room *room, uint32_t bound,
				 uint32_t loading)
{
	uint32_t free = bound > room->loading ? bound - room->loading : 0;

	return loading + free;
}

static void order_loads(struct version_duty *duty, struct service_plan *plan,
			struct load_room *room)
{
	struct plan_load *loads =
		xcalloc(plan->engine_count + 1, sizeof(*loads));
	struct plan_bound bound = {
		.any = bound_of_service(room, room->bound.any, plan->loading),
		.urgent = bound_of_service(room, room->bound.urgent,
					   plan->loading),
	};
	uint32_t count = version_plan_loads(plan->models, plan->need_count,
					    plan->views, plan->engine_count,
					    bound, loads);

	for (uint32_t i = 0; i < count; i++) {
		if (room->loading++ >= room->bound.any)
			counter_add(duty->extra_orders, 1);
		version_duty_send_order(plan->engines[loads[i].engine],
					plan->needs[loads[i].model]);
	}
	free(loads);
}

void version_duty_plan_loads(struct version_duty *duty)
{
	struct service_plan *plans =
		xcalloc(duty->needs.count + 1, sizeof(*plans));
	uint32_t count = init_plans(duty, plans);
	struct load_room room;

	for (uint32_t i = 0; i < count; i++)
		assign_shares(duty, &plans[i]);
	find_room(duty, plans, count, &room);
	/* Each service is first in turn, so that none takes all the loads. */
	duty->plan_turn++;
	for (uint32_t i = 0; i < count; i++)
		order_loads(duty, &plans[(duty->plan_turn + i) % count], &room);
	finish_plans(plans, count);
}
