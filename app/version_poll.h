#ifndef APP_VERSION_POLL_H
#define APP_VERSION_POLL_H

#include "base/poll_thread.h"
#include "client/weight_http.h"

/*
 * Learns of new weight versions from the weight store and has them recorded
 * in the log, so that all daemons judge staleness alike. The store is rate
 * limited: each pool is asked for by the daemon that rendezvous hashing
 * names; recording a version twice changes nothing.
 */
#define VERSION_POLL_MS 200

struct daemon;

struct version_poll {
	struct daemon *daemon;
	struct weight_http port;
	struct poll_thread poll;
};

int version_poll_start(struct version_poll *poll, struct daemon *daemon,
		       struct error *err);
void version_poll_stop(struct version_poll *poll);

#endif
