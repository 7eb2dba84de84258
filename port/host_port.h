#ifndef PORT_HOST_PORT_H
#define PORT_HOST_PORT_H

#include <stdint.h>

#include "base/error.h"
#include "state/config.h"

/* The platform's lagging list of live and leaving hosts, behind a vtable. */
enum host_role { HOST_ENTRY = 0, HOST_ENGINE, HOST_SERVICE };

struct host {
	char name[NAME_BYTES];
	enum host_role role;
	char data_centre[NAME_BYTES];
	char region[NAME_BYTES];
	char pool[NAME_BYTES]; /* backend servers only */
	char address[NAME_BYTES]; /* ip:port; of an entry host: callers */
	char peer_address[NAME_BYTES]; /* entry hosts only */
	int leaving;
	int cheap; /* may be evicted with its data centre */
	int checks_fencing; /* refuses orders with an old number */
};

struct host_list {
	uint64_t generation;
	struct host *hosts;
	uint32_t host_count;
	uint32_t host_alloc;
	uint32_t skipped; /* malformed or of an unknown role, since the start
			   * or the last answer that held all hosts */
};

/* What a fetch says of the list, beside -1 for an error. */
enum host_news {
	HOST_LIST_SAME = 0, /* as at the last fetch that succeeded */
	HOST_LIST_CHANGED,
};

struct host_port;

struct host_port_vtable {
	/*
	 * Brings the port's list up to date. Returns an enum host_news, with
	 * `*list` set to the port's own list until the next fetch, or -1 with
	 * ERROR_UNAVAILABLE, ERROR_FULL or ERROR_PROTOCOL; the list is then
	 * as it was. One thread at a time.
	 */
	int (*fetch)(struct host_port *port, const struct host_list **list,
		     struct error *err);
	void (*finish)(struct host_port *port);
};

struct host_port {
	const struct host_port_vtable *vt;
};

void host_list_finish(struct host_list *list);

/* Adds a host, or replaces the one of its name. */
void host_list_put(struct host_list *list, const struct host *host);

/* Does nothing if there is no host of that name. */
void host_list_remove(struct host_list *list, const char *name);

#endif
