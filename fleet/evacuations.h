#ifndef FLEET_EVACUATIONS_H
#define FLEET_EVACUATIONS_H

#include "base/counter.h"
#include "base/record_log.h"
#include "fleet/server_entry.h"

/*
 * Data centres that operators have evacuated: nothing more is sent to their
 * servers until the request is withdrawn. Requests in flight may end. An outage
 * of the store changes nothing.
 */
struct fleet;

struct evacuation {
	char data_centre[SERVER_ID_BYTES];
	uint64_t offset; /* of the request in the store */
	int64_t began_ns;
	int listed; /* present in the listing in progress */
	struct evacuation *next;
};

struct evacuations {
	struct evacuation *first;
	struct fleet *fleet;
	struct record_log *log;
	struct counter *begun;
	struct counter *ended;
};

void evacuations_init(struct evacuations *evacuations, struct fleet *fleet,
		      struct record_log *log, struct counter_set *counters);
void evacuations_finish(struct evacuations *evacuations);

/* Returns -1 if the name is empty or too long; repeats have no effect. */
int evacuations_begin(struct evacuations *evacuations, const char *data_centre,
		      uint64_t offset, int64_t now_ns);

/* Ignored if it is older than the present request. */
void evacuations_end(struct evacuations *evacuations, const char *data_centre,
		     uint64_t offset, int64_t now_ns);

/*
 * Bracket a full listing of the store. The end lifts the evacuations that were
 * not listed and whose request is older than `offset`.
 */
void evacuations_begin_listing(struct evacuations *evacuations);
void evacuations_end_listing(struct evacuations *evacuations, uint64_t offset,
			     int64_t now_ns);

int evacuations_has(const struct evacuations *evacuations,
		    const char *data_centre);

#endif
