#ifndef POLICY_PLAIN_CHOICE_H
#define POLICY_PLAIN_CHOICE_H

#include <stdint.h>

#include "base/rng.h"

/*
 * Chooses a backend server of a plain service, or of engines for a single
 * request. Load pattern: many daemons with few requests each before a handful
 * of servers, so that a daemon's own count says little and the load that
 * answers report is some hundred ms old. The server with the least expected
 * load goes first; among equal ones one of the own data centre; among those
 * one at random, so that daemons don't all choose the same. Pure.
 */
struct plain_server {
	uint32_t slots;
	uint32_t own_running; /* requests of this daemon */
	uint32_t reported; /* running and waiting, by its last answer */
	int64_t reported_age_ns; /* -1: never */
	int same_data_centre;
	int tried; /* by this request already */
	int usable; /* neither leaving nor with an open circuit */
	uint32_t cold_left_ms;
};

/*
 * Requests that are expected to be at the server: this daemon's, or more by
 * its last answer.
 */
double plain_server_taken(const struct plain_server *server);

/* Index of the server, or -1 if none is usable. */
int32_t plain_choice(const struct plain_server *servers, uint32_t count,
		     struct rng *rng);

#endif
