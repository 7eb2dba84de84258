#ifndef PORT_ORDER_PORT_H
#define PORT_ORDER_PORT_H

#include <stdint.h>

#include "base/error.h"
#include "state/config.h"

/*
 * The platform's interface for ordering backend servers by data centre. An
 * order sets the number wanted of one pool and class, so a repeat changes
 * nothing. Some receivers ignore the fencing number.
 */
struct server_order {
	char data_centre[NAME_BYTES];
	char pool[NAME_BYTES];
	int cheap;
	uint32_t count;
	uint64_t epoch; /* fencing number of the lease it is sent under */
	uint64_t sequence;
};

struct server_count {
	char pool[NAME_BYTES];
	int cheap;
	uint32_t desired;
	uint32_t running;
	uint32_t cents_per_hour; /* price of one */
};

struct order_port;

struct order_port_vtable {
	/*
	 * Sends one order. `deadline_ns` is the lease's end: nothing may be
	 * sent after it. ERROR_UNKNOWN_OUTCOME if the answer was lost,
	 * ERROR_CONFLICT if the receiver has seen a higher epoch.
	 */
	int (*order)(struct order_port *port, const struct server_order *order,
		     int64_t deadline_ns, struct error *err);
	/* Reads back what a data centre has; the caller frees `*out`. */
	int (*read)(struct order_port *port, const char *data_centre,
		    struct server_count **out, uint32_t *count,
		    struct error *err);
	void (*finish)(struct order_port *port);
};

struct order_port {
	const struct order_port_vtable *vt;
};

#endif
