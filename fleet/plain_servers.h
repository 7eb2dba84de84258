#ifndef FLEET_PLAIN_SERVERS_H
#define FLEET_PLAIN_SERVERS_H

#include "fleet/fleet.h"
#include "policy/plain_choice.h"

/* Servers of one service that a choice looks at. */
#define PLAIN_SERVERS_MAX 64

/* The servers of a service that may take a request now, as policy/ sees them.
 */
struct plain_servers {
	struct fleet_server *servers[PLAIN_SERVERS_MAX];
	struct plain_server views[PLAIN_SERVERS_MAX];
	uint32_t count;
	int last_resort; /* no server is usable; these failed a while ago */
};

/* Whose choice it is. */
struct plain_chooser {
	const char *data_centre; /* of this host */
	uint64_t sample_seed; /* which servers this host looks at */
	int64_t now_ns;
	/* Servers that this request leaves out; NULL: none. */
	int (*skips)(const void *arg, const struct fleet_server *server);
	const void *arg;
};

void plain_servers_list(struct plain_servers *list, const struct fleet *fleet,
			const char *service,
			const struct plain_chooser *chooser);

/* Views the listed servers again, after one of them was sent a request. */
void plain_servers_refresh(struct plain_servers *list,
			   const struct plain_chooser *chooser);

#endif
