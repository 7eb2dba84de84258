#ifndef STANDIN_FENCE_H
#define STANDIN_FENCE_H

#include <jansson.h>
#include <stdint.h>

#include "standin/server.h"

/*
 * A receiver of orders that carry a fencing number ("epoch"). It keeps each
 * order that came in with its own time stamp, and refuses an older number
 * if it checks them. The caller excludes other threads.
 */
struct fence {
	int checks;
	json_t *highest; /* epoch by scope */
	json_t *received;
};

void fence_init(struct fence *fence, int checks);

/*
 * Records an order. Returns 1 if it may be carried out; else the reply is
 * 409 with the highest number of the same `scope`.
 */
int fence_pass(struct fence *fence, const char *scope, const json_t *order,
	       struct reply *reply);

/* Everything received: [{"at_ns", "accepted", "order"}], oldest first. */
json_t *fence_received(const struct fence *fence);

#endif
