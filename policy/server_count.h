#ifndef POLICY_SERVER_COUNT_H
#define POLICY_SERVER_COUNT_H

#include <stdint.h>

#include "state/config.h"

/*
 * Computes how many dear and cheap backend servers of a pool are wanted in each
 * data centre. Cheap servers may be evicted by their provider; dear ones are
 * not. Latency-bound work gets dear servers, spread so that the loss of any one
 * data centre leaves enough; the rest gets the least expensive ones that
 * budgets, evictions and boot time allow. Counts rise at once when they are too
 * low, and fall only after the demand was lower for a while; headroom is added
 * when they change, so that noise within it orders no server.
 */
struct server_place {
	char data_centre[NAME_BYTES];
	uint32_t max_dear; /* by the budget */
	uint32_t max_cheap;
	uint32_t max_cents_per_hour; /* 0: no limit */
	uint32_t dear_cents_per_hour;
	uint32_t cheap_cents_per_hour;
	int lost; /* no server there can be reached */

	/* State between calls; initially zero. */
	uint32_t wanted_dear; /* out */
	uint32_t wanted_cheap; /* out */
	int64_t dear_lower_since_ns; /* 0: demand is not lower */
	int64_t cheap_lower_since_ns;
	uint32_t evictions; /* consecutive */
	int64_t no_cheap_until_ns; /* backoff after an eviction */
};

struct server_demand {
	double latency_servers; /* busy servers that latency-bound work needs */
	double batch_servers; /* busy servers that the rest needs */
	double dear_fraction; /* of the batch work: must not be evicted */
	int64_t boot_ns; /* until an ordered server accepts work */
};

struct server_count_policy {
	double headroom; /* servers per busy server */
	int64_t scale_down_delay_ns; /* of lower demand, in addition to boot_ns
				      */
	int64_t first_backoff_ns; /* without cheap servers after an eviction */
	int64_t max_backoff_ns;
};

void server_count_policy_init(struct server_count_policy *policy);

/*
 * The cheap servers of the data centre were evicted, or none could be started.
 */
void server_place_evicted(const struct server_count_policy *policy,
			  struct server_place *place, int64_t now_ns);

/* Cheap servers have run there for long enough to reset the backoff. */
void server_place_steady(struct server_place *place);

/*
 * Sets the wanted counts; returns the number of busy servers that no budget
 * covers.
 */
double server_count_decide(const struct server_count_policy *policy,
			   const struct server_demand *demand,
			   struct server_place *places, uint32_t count,
			   int64_t now_ns);

#endif
