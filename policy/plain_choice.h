#ifndef POLICY_PLAIN_CHOICE_H
#define POLICY_PLAIN_CHOICE_H

#include <stdint.h>

#include "base/rng.h"
#include "policy/load_fill.h"

/*
 * Chooses a backend server of a plain service, or an engine for a single
 * request. Load pattern: many daemons with few requests each share a handful of
 * servers, so that a daemon's own count is a poor estimate and the load
 * reported in responses is some hundred ms old. The server with the least
 * expected load is chosen; among equal ones one of the own data centre, and
 * among those one at random, so that daemons do not all choose the same. Where
 * servers report how long work takes, the load of other hosts is estimated and
 * the choice is drawn (policy/load_fill.h). Pure functions.
 */
#define PLAIN_CHOICE_MAX LOAD_FILL_MAX

struct plain_server {
	uint32_t slots;
	uint32_t own_running; /* requests of this daemon */
	uint32_t reported; /* running and waiting, by its last response */
	int64_t reported_age_ns; /* -1: never reported */
	int same_data_centre;
	int tried; /* in an earlier attempt of this request */
	int usable; /* neither leaving nor with an open circuit */
	uint32_t cold_left_ms;
	/* By policy/load_estimate.h, if `is_estimated`: */
	int is_estimated;
	double others; /* expected requests of other hosts */
	double slowdown; /* expected duration of work, relative to usual */
	double weight; /* of the last report */
};

/*
 * Expected number of requests at the server: those of this daemon and the
 * estimated ones of others or, without an estimate, those of this daemon, or
 * more if its last response says so.
 */
double plain_server_requests(const struct plain_server *server);

/*
 * Index of the server, or -1 if none is usable. `count` is at most
 * PLAIN_CHOICE_MAX.
 */
int32_t plain_choice(const struct plain_server *servers, uint32_t count,
		     struct rng *rng);

#endif
