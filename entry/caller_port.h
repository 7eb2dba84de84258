#ifndef ENTRY_CALLER_PORT_H
#define ENTRY_CALLER_PORT_H

#include "entry/config_holder.h"
#include "forward/forward.h"
#include "net/net_server.h"
#include "platform/calls.h"

/*
 * The port for callers: parses a request, checks its key and its route, and
 * dispatches it to the forwarder or to the handler of batch calls.
 */
struct batch_port;

struct batch_port_vtable {
	void (*submit)(struct batch_port *port, struct net_request *request,
		       const struct caller_request *caller,
		       const struct entry_route *route,
		       const struct entry_team *team);
	void (*call)(struct batch_port *port, struct net_request *request,
		     const struct caller_request *caller,
		     const struct caller_call *call,
		     const struct entry_team *team);
};

/* Handler of batch calls. */
struct batch_port {
	const struct batch_port_vtable *vt;
};

struct caller_port {
	struct net_handler handler;
	struct config_holder *config;
	struct forwarder *forwarder;
	struct batch_port *batches;
	struct record_log *log;
	struct counter *denied;
	struct counter *malformed;
	struct counter *displaced;
};

void caller_port_init(struct caller_port *port, struct config_holder *config,
		      struct forwarder *forwarder, struct batch_port *batches,
		      struct record_log *log, struct counter_set *counters);

/* For the port's server; logs and counts the connection. */
void caller_port_on_displaced(void *arg,
			      const struct net_displacement *displacement);

#endif
