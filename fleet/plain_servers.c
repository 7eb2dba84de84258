#include "fleet/plain_servers.h"

#include <string.h>

#include "base/hash.h"
#include "policy/choice_sample.h"

static int may_take(const struct fleet_server *server,
		    const struct plain_chooser *chooser, int last_resort)
{
	return fleet_server_usable_as(server, chooser->now_ns, last_resort) &&
	       (!chooser->is_excluded ||
		!chooser->is_excluded(chooser->arg, server));
}

static void view_estimate(const struct load_estimate *estimate, int64_t now_ns,
			  struct plain_server *view)
{
	view->is_estimated = load_estimate_is_known(estimate);
	view->others = load_estimate_others(estimate, now_ns);
	view->slowdown = load_estimate_slowdown(estimate, now_ns);
	view->weight = load_estimate_weight(estimate, now_ns);
}

static void view_server(const struct fleet_server *server,
			const struct plain_chooser *chooser, int last_resort,
			struct plain_server *view)
{
	view->slots = server->entry.slots;
	view->own_running = server->running;
	view->reported = server->load.running + server->load.waiting;
	view->reported_age_ns =
		server->load.received_ns
			? chooser->now_ns - server->load.received_ns
			: -1;
	view->same_data_centre =
		!strcmp(server->entry.data_centre, chooser->data_centre);
	view->tried = 0;
	view->usable = may_take(server, chooser, last_resort);
	view->cold_left_ms =
		(uint32_t)(fleet_server_cold_left_ns(server, chooser->now_ns) /
			   NS_PER_MS);
	view_estimate(&server->load.estimate, chooser->now_ns, view);
}

static void list_servers(struct plain_servers *list, const struct fleet *fleet,
			 const char *service,
			 const struct plain_chooser *chooser)
{
	struct choice_sample sample;

	choice_sample_begin(&sample, PLAIN_SERVERS_MAX);
	for (struct fleet_server *s = fleet->first; s; s = s->next) {
		uint64_t rank;
		int32_t place;

		if (strcmp(s->entry.service, service) ||
		    !may_take(s, chooser, list->last_resort))
			continue;
		rank = hash_text(s->entry.id, chooser->sample_seed);
		place = choice_sample_offer(&sample, rank);
		if (place < 0)
			continue;
		view_server(s, chooser, list->last_resort, &list->views[place]);
		list->servers[place] = s;
	}
	list->count = sample.count;
}

/* Whether a server would be usable if it weren't for the limit of cold ones. */
static int has_available(const struct fleet *fleet, const char *service,
			 const struct plain_chooser *chooser)
{
	for (const struct fleet_server *s = fleet->first; s; s = s->next)
		if (!strcmp(s->entry.service, service) &&
		    fleet_server_is_available(s, chooser->now_ns) &&
		    (!chooser->is_excluded ||
		     !chooser->is_excluded(chooser->arg, s)))
			return 1;
	return 0;
}

void plain_servers_list(struct plain_servers *list, const struct fleet *fleet,
			const char *service,
			const struct plain_chooser *chooser)
{
	list->last_resort = 0;
	list_servers(list, fleet, service, chooser);
	if (list->count || has_available(fleet, service, chooser))
		return;
	list->last_resort = 1;
	list_servers(list, fleet, service, chooser);
}

void plain_servers_refresh(struct plain_servers *list,
			   const struct plain_chooser *chooser)
{
	for (uint32_t i = 0; i < list->count; i++)
		view_server(list->servers[i], chooser, list->last_resort,
			    &list->views[i]);
}
