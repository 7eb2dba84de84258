#ifndef DUTY_VERSION_DUTY_PRIVATE_H
#define DUTY_VERSION_DUTY_PRIVATE_H

#include "duty/version_duty.h"

/* What the parts of the duty share: its view of the engines, and orders. */

enum engine_phase {
	PHASE_IDLE = 0,
	PHASE_ORDERING, /* an order is in flight */
	PHASE_LOADING,
	PHASE_QUERYING, /* a query of its load and version is in flight */
};

struct duty_engine {
	struct version_duty *duty;
	struct fleet_server *server; /* referenced */
	enum engine_phase phase;
	char assigned_model[WEIGHT_NAME_BYTES]; /* "": none yet */
	char model[WEIGHT_NAME_BYTES]; /* of the newest order */
	uint64_t version;
	int64_t ordered_ns;
	int is_order_taken; /* the engine answered so */
	double loading_ns_at_order; /* version_duty_loading_ns() then */
	int64_t not_before_ns; /* of the next order */
	int64_t order_count; /* accepted since its start; -1: unknown */
	/* The last load that this daemon saw complete. */
	char loaded_model[WEIGHT_NAME_BYTES];
	uint64_t loaded_version;
	struct weight_order order;
	struct engine_report report;
	struct timer timer;
	struct duty_engine *next;
};

/* The duty's view of the server, which is added if missing. */
struct duty_engine *version_duty_engine(struct version_duty *duty,
					struct fleet_server *server);

/* Orders the engine to load the newest named version of the need's model. */
void version_duty_send_order(struct duty_engine *engine,
			     const struct weight_need *need);

/* Orders the loads that the needs and the engines' versions ask for now. */
void version_duty_plan_loads(struct version_duty *duty);

/* The only way to change the phase, as it counts the time of loads. */
void version_duty_set_phase(struct duty_engine *engine,
			    enum engine_phase phase);

/* Sum of the times that engines have spent loading until now. */
double version_duty_loading_ns(struct version_duty *duty);

/*
 * To be called at the end of a load. An engine that already held the version
 * shows no load time.
 */
void version_duty_learn_load_time(struct duty_engine *engine);

/* Of the next load; with more loads at once each may take longer. */
int64_t version_duty_expected_load_ns(const struct version_duty *duty);

#endif
