#ifndef ENTRY_STATUS_PORT_H
#define ENTRY_STATUS_PORT_H

#include "entry/status_page.h"
#include "net/net_server.h"

/*
 * The port for operators and their monitoring, which callers cannot reach:
 * counters under /metrics, and the daemon's view of the system under /status.
 */
struct status_port {
	struct net_handler handler;
	const struct status_sources *sources;
	struct counter_set *counters;
};

void status_port_init(struct status_port *port,
		      const struct status_sources *sources,
		      struct counter_set *counters);

#endif
