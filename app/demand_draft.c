#include "app/demand_draft.h"

#include <stdlib.h>

#include "base/alloc.h"

void demand_draft_init(struct demand_draft *draft, uint64_t round, uint32_t max)
{
	currant__demand_summary__init(&draft->summary);
	draft->summary.round = round;
	draft->teams = xcalloc(max + 1, sizeof(*draft->teams));
	draft->pointers = xcalloc(max + 1, sizeof(Currant__TeamDemand *));
	draft->summary.teams = draft->pointers;
}

void demand_draft_finish(struct demand_draft *draft)
{
	free(draft->teams);
	free(draft->pointers);
}

Currant__TeamDemand *demand_draft_add(struct demand_draft *draft,
				      const char *team)
{
	Currant__TeamDemand *added = &draft->teams[draft->summary.n_teams];

	currant__team_demand__init(added);
	added->team = (char *)team;
	draft->pointers[draft->summary.n_teams++] = added;
	return added;
}
