#ifndef ENTRY_SERVICE_PORT_H
#define ENTRY_SERVICE_PORT_H

#include "base/rng.h"
#include "discovery/discovery.h"
#include "net/net_server.h"

/*
 * Request handler of two ports: whether this daemon is ready, and which entry
 * hosts callers may use.
 */
struct service_port {
	struct net_handler handler;
	struct discovery *discovery;
	struct rng rng;
	uint32_t address_ttl_ms; /* TTL of an answer with addresses */
	int ready;
	struct counter *address_answers;
	struct counter *displaced;
};

void service_port_init(struct service_port *port, struct discovery *discovery,
		       struct counter_set *counters, uint32_t address_ttl_ms,
		       uint64_t seed);

/* For the port's server; counts the connection. */
void service_port_on_displaced(void *arg,
			       const struct net_displacement *displacement);

#endif
