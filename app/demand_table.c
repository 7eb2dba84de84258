#include "app/demand_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void demand_table_init(struct demand_table *table)
{
	memset(table, 0, sizeof(*table));
}

void demand_table_finish(struct demand_table *table)
{
	for (uint32_t i = 0; i < table->count; i++)
		free(table->sources[i].teams);
	free(table->sources);
}

static struct demand_source *find(const struct demand_table *table,
				  const char *name, int is_centre)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (table->sources[i].is_centre == is_centre &&
		    !strcmp(table->sources[i].name, name))
			return &table->sources[i];
	return NULL;
}

static struct demand_source *add(struct demand_table *table, const char *name,
				 int is_centre)
{
	struct demand_source *added;

	table->sources = xrealloc(table->sources,
				  (table->count + 1) * sizeof(*table->sources));
	added = &table->sources[table->count++];
	memset(added, 0, sizeof(*added));
	copy_text(added->name, sizeof(added->name), name);
	added->is_centre = is_centre;
	return added;
}

int demand_table_take(struct demand_table *table, const char *name,
		      int is_centre, const Currant__DemandSummary *summary)
{
	struct demand_source *source = find(table, name, is_centre);

	if (source && source->round >= summary->round)
		return 0;
	if (!source)
		source = add(table, name, is_centre);
	source->round = summary->round;
	source->team_count = (uint32_t)summary->n_teams;
	free(source->teams);
	source->teams = xcalloc(summary->n_teams + 1, sizeof(*source->teams));
	for (size_t i = 0; i < summary->n_teams; i++) {
		const Currant__TeamDemand *said = summary->teams[i];
		struct team_demand *team = &source->teams[i];

		copy_text(team->team, sizeof(team->team), said->team);
		team->demand = (double)said->in_flight + said->queued;
		team->granted = said->granted;
	}
	return 1;
}

const struct demand_source *demand_table_find(const struct demand_table *table,
					      const char *name, int is_centre)
{
	return find(table, name, is_centre);
}

const struct team_demand *demand_source_team(const struct demand_source *source,
					     const char *team)
{
	for (uint32_t i = 0; i < source->team_count; i++)
		if (!strcmp(source->teams[i].team, team))
			return &source->teams[i];
	return NULL;
}

void demand_table_prune(struct demand_table *table,
			int (*keeps)(void *arg,
				     const struct demand_source *source),
			void *arg)
{
	for (uint32_t i = 0; i < table->count;) {
		if (keeps(arg, &table->sources[i])) {
			i++;
			continue;
		}
		free(table->sources[i].teams);
		table->sources[i] = table->sources[--table->count];
	}
}
