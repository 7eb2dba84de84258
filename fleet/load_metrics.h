#ifndef FLEET_LOAD_METRICS_H
#define FLEET_LOAD_METRICS_H

#include "base/counter.h"
#include "base/record_log.h"
#include "fleet/fleet.h"

/*
 * Counts the loads that servers report in answers. Where requests are spread
 * evenly, reports of waiting requests and of idle servers don't come at the
 * same time.
 */
struct load_counters {
	struct counter *reports;
	struct counter *overrun; /* requests were waiting */
	struct counter *idle; /* at most the answered request was there */
};

void load_counters_init(struct load_counters *counters,
			struct counter_set *set);

/* Counts the report of an answer, if there is one. */
void load_counters_add(struct load_counters *counters,
		       const struct server_answer *answer);

/*
 * Adds the last report and its age to a log line, and the estimate where the
 * server reports how long work takes.
 */
void load_record_put(struct record *record, const struct fleet_load *load,
		     int64_t now_ns);

#endif
