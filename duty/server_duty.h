#ifndef DUTY_SERVER_DUTY_H
#define DUTY_SERVER_DUTY_H

#include "base/record_log.h"
#include "duty/duty_lease.h"
#include "duty/need_table.h"
#include "entry/config_holder.h"
#include "fleet/fleet.h"
#include "policy/server_count.h"
#include "port/duty_port.h"

/*
 * Orders cheap (preemptible) engines for the open batches while this daemon
 * holds the duty lease. The regular servers of a service are not changed; cheap
 * ones are added to them, spread over the data centres. Their number follows
 * from policy/server_count.h and the items of the newest batches.
 */
#define SERVER_DUTY_PLACES_MAX 16 /* data centres of a service */
#define SERVER_DUTY_SERVICES_MAX 8

struct server_duty;

/* Order of cheap servers for a service in one data centre. */
struct server_order {
	struct server_duty *duty;
	const char *service; /* owned by ordered_service */
	struct server_place *place;
	struct server_number number;
	int in_flight;
	int64_t accepted_count; /* of the last accepted order; -1: unknown */
	int64_t accepted_ns;
	int64_t not_before_ns; /* of the next order */
};

struct ordered_service {
	char name[WEIGHT_NAME_BYTES];
	struct server_place places[SERVER_DUTY_PLACES_MAX];
	struct server_order orders[SERVER_DUTY_PLACES_MAX];
	uint32_t place_count;
};

struct server_duty {
	struct duty_lease_listener lease_listener;
	struct weight_board_listener board_listener;
	struct duty_lease *lease;
	struct duty_port *port;
	struct fleet *fleet;
	struct config_holder *config;
	struct timer_service *timers;
	struct record_log *log;
	const char *holder;
	int enabled; /* the platform accepts server orders */
	struct server_count_policy policy;
	struct need_table needs;
	struct ordered_service services[SERVER_DUTY_SERVICES_MAX];
	uint32_t service_count;
	struct timer timer;
	uint64_t fence;
	struct counter *orders;
	struct counter *rejections;
};

void server_duty_init(struct server_duty *duty, struct timer_service *timers,
		      struct duty_lease *lease, struct weight_board *board,
		      struct duty_port *port, struct fleet *fleet,
		      struct config_holder *config, const char *holder,
		      int enabled, struct record_log *log,
		      struct counter_set *counters);
void server_duty_finish(struct server_duty *duty);

#endif
