#ifndef ENTRY_SERVICE_PORT_H
#define ENTRY_SERVICE_PORT_H

#include "base/rng.h"
#include "discovery/discovery.h"
#include "net/net_server.h"

/*
 * The ports for who asks about the system: whether this daemon is ready, and
 * which entry hosts to call.
 */
struct service_port {
	struct net_handler handler;
	struct discovery *discovery;
	struct rng rng;
	uint32_t keep_ms; /* how long an answer with addresses holds */
	int ready;
	struct counter *address_answers;
};

void service_port_init(struct service_port *port, struct discovery *discovery,
		       struct counter_set *counters, uint32_t keep_ms,
		       uint64_t seed);

#endif
