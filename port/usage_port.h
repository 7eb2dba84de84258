#ifndef PORT_USAGE_PORT_H
#define PORT_USAGE_PORT_H

#include "state/state.h"

/*
 * The platform's interface for usage reports. A window is reported with the
 * same figures again and again until it is acknowledged.
 */
struct usage_port;

struct usage_port_vtable {
	/*
	 * Sends a closed window under the lease with `epoch`; nothing may be
	 * sent after `deadline_ns`. ERROR_UNKNOWN_OUTCOME if the answer was
	 * lost, ERROR_CONFLICT if other figures are held.
	 */
	int (*report)(struct usage_port *port,
		      const struct usage_window *window, uint64_t epoch,
		      int64_t deadline_ns, struct error *err);
	void (*finish)(struct usage_port *port);
};

struct usage_port {
	const struct usage_port_vtable *vt;
};

#endif
