#ifndef FLEET_PLAIN_SERVERS_H
#define FLEET_PLAIN_SERVERS_H

#include "fleet/fleet.h"
#include "policy/plain_choice.h"

/* Servers of one service that a choice samples. */
#define PLAIN_SERVERS_MAX PLAIN_CHOICE_MAX

/*
 * Candidates for a request: the usable servers of a service, with the views
 * that policy/plain_choice.h takes as input.
 */
struct plain_servers {
	struct fleet_server *servers[PLAIN_SERVERS_MAX];
	struct plain_server views[PLAIN_SERVERS_MAX];
	uint32_t count;
	int last_resort; /* none is usable; their breakers opened a while ago */
};

/* Parameters of a choice. */
struct plain_chooser {
	const char *data_centre; /* of this host */
	uint64_t sample_seed; /* selects the servers that this host samples */
	int64_t now_ns;
	/* Whether the request excludes the server; NULL: excludes none. */
	int (*is_excluded)(const void *arg, const struct fleet_server *server);
	const void *arg;
};

/* Fills the list; it takes no references to the servers. */
void plain_servers_list(struct plain_servers *list, const struct fleet *fleet,
			const char *service,
			const struct plain_chooser *chooser);

/* Updates the views, after a request was sent to one of the servers. */
void plain_servers_refresh(struct plain_servers *list,
			   const struct plain_chooser *chooser);

#endif
