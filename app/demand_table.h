#ifndef APP_DEMAND_TABLE_H
#define APP_DEMAND_TABLE_H

#include <stdint.h>

#include "proto/peer.pb-c.h"
#include "state/config.h"

/*
 * The newest demand summary of each daemon of the own data centre and of
 * each other data centre. Not thread-safe.
 */
struct team_demand {
	char team[NAME_BYTES];
	double demand; /* in flight, and refused callers that come back */
	double granted; /* may be used, or is in use if that is more */
};

struct demand_source {
	char name[NAME_BYTES]; /* of a daemon or a data centre */
	int is_centre;
	uint64_t round; /* when that was said; 0: never */
	struct team_demand *teams;
	uint32_t team_count;
};

struct demand_table {
	struct demand_source *sources;
	uint32_t count;
};

void demand_table_init(struct demand_table *table);
void demand_table_finish(struct demand_table *table);

/* Takes a summary over; returns 0 if it is not newer than the one held. */
int demand_table_take(struct demand_table *table, const char *name,
		      int is_centre, const Currant__DemandSummary *summary);

/* NULL if nothing was ever heard of it. */
const struct demand_source *demand_table_find(const struct demand_table *table,
					      const char *name, int is_centre);

/* NULL if the source does not tell of the team. */
const struct team_demand *demand_source_team(const struct demand_source *source,
					     const char *team);

/* Forgets daemons and data centres that `keeps` says no to. */
void demand_table_prune(struct demand_table *table,
			int (*keeps)(void *arg,
				     const struct demand_source *source),
			void *arg);

#endif
