#ifndef PORT_WEIGHT_PORT_H
#define PORT_WEIGHT_PORT_H

#include <stdint.h>

#include "base/error.h"

/* The rate-limited weight store, behind a vtable. */
struct weight_port;

struct weight_port_vtable {
	/* Newest version published for a pool; 0 if there is none. */
	int (*latest)(struct weight_port *port, const char *pool,
		      uint64_t *version, struct error *err);
	void (*finish)(struct weight_port *port);
};

struct weight_port {
	const struct weight_port_vtable *vt;
};

#endif
