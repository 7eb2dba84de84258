#ifndef DUTY_VERSION_DUTY_H
#define DUTY_VERSION_DUTY_H

#include "base/record_log.h"
#include "duty/duty_lease.h"
#include "duty/need_table.h"
#include "entry/config_holder.h"
#include "entry/named_versions.h"
#include "fleet/fleet.h"
#include "policy/load_pace.h"
#include "port/duty_port.h"

/*
 * Orders engines to load the weight versions that trainers have named, while
 * this daemon holds the duty lease. policy/version_plan.h chooses the loads;
 * each engine is polled until its load ends.
 */
struct duty_engine;

struct version_duty {
	struct duty_lease_listener lease_listener;
	struct weight_board_listener board_listener;
	struct fleet_listener fleet_listener;
	struct duty_lease *lease;
	struct weight_board *board;
	struct duty_port *port;
	struct fleet *fleet;
	struct config_holder *config;
	struct named_versions *named;
	struct timer_service *timers;
	struct clock *clock;
	struct record_log *log;
	const char *holder;
	struct duty_engine *engines;
	struct need_table needs;
	struct timer plan_timer;
	int plan_pending;
	uint32_t plan_turn; /* rotates the services */
	int active; /* holds the lease and was not fenced */
	uint64_t fence;
	double mean_load_ns; /* moving average of load times */
	struct load_pace pace;
	uint32_t loading_count; /* engines that load */
	/* Time that engines spent loading, up to `loading_as_of_ns`. */
	double loading_ns;
	int64_t loading_as_of_ns;
	uint32_t load_bound; /* of the last plan */
	struct counter *orders;
	struct counter *loads;
	struct counter *extra_orders; /* beyond the usual loads at once */
	struct counter *failed_orders;
};

void version_duty_init(struct version_duty *duty, struct timer_service *timers,
		       struct duty_lease *lease, struct weight_board *board,
		       struct duty_port *port, struct fleet *fleet,
		       struct config_holder *config,
		       struct named_versions *named, const char *holder,
		       struct record_log *log, struct counter_set *counters);
void version_duty_finish(struct version_duty *duty);

/*
 * Records the version in the table of named ones, and plans loads if it is
 * newer than the one there. `reason` says how it became known, for the log.
 */
void version_duty_name_version(struct version_duty *duty, const char *model,
			       uint64_t version, const char *reason);

#endif
