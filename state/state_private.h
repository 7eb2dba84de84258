#ifndef STATE_STATE_PRIVATE_H
#define STATE_STATE_PRIVATE_H

#include "state/dedupe.h"
#include "state/lease_table.h"
#include "state/quarantine_table.h"
#include "state/usage_table.h"
#include "state/verdict_table.h"
#include "state/weight_table.h"

/* The tables behind struct state, for state/ alone. */
struct state {
	uint64_t next_offset;
	struct config config;
	struct dedupe dedupe;
	struct verdict_table verdicts;
	struct lease_table leases;
	struct usage_table usage;
	struct weight_table weights;
	struct quarantine_table quarantines;
	struct state_counts counts;
	struct state_observer *observer;
};

#endif
