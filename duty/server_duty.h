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
 * Orders cheap engines for the batches that are open, while this daemon holds
 * the duty. The servers that a service has without an order are left alone;
 * cheap ones come on top, spread over the data centres, as many as
 * policy/server_count.h says for the runs that the newest batches make.
 */
#define SERVER_DUTY_PLACES 16 /* data centres of a service */
#define SERVER_DUTY_SERVICES 8

struct server_duty;

/* Orders for a service in one data centre. */
struct server_order {
	struct server_duty *duty;
	const char *service; /* of the duty's table */
	struct server_place *place;
	struct server_number number;
	int in_flight;
	int64_t ordered; /* the last number that was taken; -1: not known */
	int64_t taken_ns; /* when */
	int64_t not_before_ns; /* no order is sent earlier */
};

struct ordered_service {
	char name[WEIGHT_NAME_BYTES];
	struct server_place places[SERVER_DUTY_PLACES];
	struct server_order orders[SERVER_DUTY_PLACES];
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
	int enabled; /* the platform takes such orders */
	struct server_count_policy policy;
	struct need_table needs;
	struct ordered_service services[SERVER_DUTY_SERVICES];
	uint32_t service_count;
	struct timer timer;
	uint64_t fence;
	struct counter *orders;
	struct counter *refusals;
};

void server_duty_init(struct server_duty *duty, struct timer_service *timers,
		      struct duty_lease *lease, struct weight_board *board,
		      struct duty_port *port, struct fleet *fleet,
		      struct config_holder *config, const char *holder,
		      int enabled, struct record_log *log,
		      struct counter_set *counters);
void server_duty_finish(struct server_duty *duty);

#endif
