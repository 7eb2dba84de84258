#ifndef ENTRY_COLD_SENDERS_H
#define ENTRY_COLD_SENDERS_H

#include "batch/batch_partition.h"
#include "discovery/discovery.h"
#include "entry/config_holder.h"
#include "fleet/cold_limits.h"

/*
 * Tells the limits for cold servers which services of the configuration have
 * one and which hosts share it: those that run the items of a service's models
 * by their notices and, if a route sends single requests to it, all others.
 */
struct cold_senders {
	struct cold_limits *limits;
	const struct config_holder *config;
	const struct discovery *discovery;
	struct batch_set *batches;
};

void cold_senders_init(struct cold_senders *senders, struct cold_limits *limits,
		       const struct config_holder *config,
		       const struct discovery *discovery,
		       struct batch_set *batches);

/* Called after a change of the configuration or of the hosts, and regularly. */
void cold_senders_update(struct cold_senders *senders);

#endif
