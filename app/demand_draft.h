#ifndef APP_DEMAND_DRAFT_H
#define APP_DEMAND_DRAFT_H

#include <stdint.h>

#include "proto/peer.pb-c.h"

/* A demand summary that is being made, with the memory of its teams. */
struct demand_draft {
	Currant__DemandSummary summary;
	Currant__TeamDemand *teams;
	Currant__TeamDemand **pointers;
};

/* Of a round, with room for `max` teams. */
void demand_draft_init(struct demand_draft *draft, uint64_t round,
		       uint32_t max);
void demand_draft_finish(struct demand_draft *draft);

/* Adds a team, whose name must outlive the draft; its figures are 0. */
Currant__TeamDemand *demand_draft_add(struct demand_draft *draft,
				      const char *team);

#endif
