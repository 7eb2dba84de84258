#include "app/suspect_place.h"

#include <stdlib.h>

#include "app/daemon.h"
#include "base/alloc.h"

#define PLACES_MAX 512
/* Of the servers of a pool, one part in so many is kept for suspects. */
#define KEPT_SHARE 3

/* The servers of a pool on which a suspect might run. */
struct place_list {
	const char *pool;
	struct blame_place places[PLACES_MAX];
	char names[PLACES_MAX][NAME_BYTES];
	char data_centres[PLACES_MAX][NAME_BYTES];
	int kept_free[PLACES_MAX]; /* for a suspect, already */
	uint32_t count;
	uint32_t kept_count;
	int64_t now_ns;
};

static void add_place(void *arg, const struct server_pool *pool,
		      const struct server *server,
		      const struct server_view *view)
{
	struct place_list *list = arg;
	uint32_t reported = view->reported_running + view->reported_waiting;
	struct blame_place *place = &list->places[list->count];

	(void)pool;
	if (!server->listed || view->leaving || view->circuit_open ||
	    server->gone || !server->incarnation || list->count == PLACES_MAX)
		return;
	copy_text(list->names[list->count], NAME_BYTES, server->name);
	copy_text(list->data_centres[list->count], NAME_BYTES,
		  view->data_centre);
	place->server = list->names[list->count];
	place->data_centre = list->data_centres[list->count];
	place->running = view->own_in_flight > reported ? view->own_in_flight
							: reported;
	place->has_suspect = 0;
	list->kept_free[list->count] = server_is_reserved(server, list->now_ns);
	list->kept_count += list->kept_free[list->count];
	list->count++;
}

/* What to do with the place that was found for a suspect. */
static enum job_rule use_place(struct daemon *daemon,
			       const struct place_list *list, uint32_t chosen,
			       enum blame_placement placement,
			       char server[NAME_BYTES])
{
	uint32_t kept_max = list->count / KEPT_SHARE;

	if (!kept_max)
		kept_max = 1;
	if (!list->kept_free[chosen] && list->kept_count >= kept_max)
		return JOB_RULE_WAIT;
	copy_text(server, NAME_BYTES, list->names[chosen]);
	server_table_reserve(&daemon->servers, list->pool, server,
			     clock_now_ns(&daemon->clock));
	/* Work may have been sent there since the place was looked at. */
	if (!list->kept_free[chosen])
		return JOB_RULE_WAIT;
	return placement == BLAME_RUN ? JOB_RULE_ALONE : JOB_RULE_WAIT;
}

enum job_rule suspect_place_find(struct daemon *daemon, struct blame *blame,
				 const struct run_table *runs, const char *pool,
				 uint64_t fingerprint, char server[NAME_BYTES])
{
	struct place_list *list;
	enum blame_placement placement;
	enum job_rule rule = JOB_RULE_WAIT;
	uint32_t chosen = 0;

	if (run_table_find(runs, fingerprint) ||
	    run_table_has_lost(runs, fingerprint))
		return JOB_RULE_WAIT;
	list = xcalloc(1, sizeof(*list));
	list->pool = pool;
	list->now_ns = clock_now_ns(&daemon->clock);
	server_table_each_in_pool(&daemon->servers, pool, add_place, list);
	for (uint32_t i = 0; i < list->count; i++)
		list->places[i].has_suspect =
			run_table_has_suspect(runs, list->names[i]);
	placement = blame_place(blame, fingerprint, list->places, list->count,
				clock_now_ns(&daemon->clock), &chosen);
	if (placement != BLAME_WAIT)
		rule = use_place(daemon, list, chosen, placement, server);
	free(list);
	return rule;
}
