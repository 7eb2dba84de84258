#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include "base/histogram.h"
#include "base/record_log.h"
#include "base/rng.h"
#include "entry/caller_request.h"
#include "entry/config_holder.h"
#include "fleet/fleet.h"
#include "forward/crash_watch.h"
#include "net/net_client.h"
#include "net/net_server.h"

/*
 * Passes single requests on to backend servers: finds the route and the team,
 * chooses a server, repeats what may be repeated, and gives each request its
 * one answer. Method, path and body go on unchanged, and so do the server's
 * status and body.
 */
struct forward;

/* Who counts what ran for which team. */
struct run_counter {
	void (*add)(struct run_counter *counter, const char *team,
		    int64_t began_wall_ms);
};

struct forwarder {
	struct reactor *reactor;
	struct net_pool *pool;
	struct fleet *fleet;
	struct config_holder *config;
	struct record_log *log;
	struct run_counter *runs; /* may be NULL */
	struct crash_watch *crashes; /* may be NULL */
	const char *data_centre;
	uint64_t sample_seed; /* which servers this host looks at */
	struct rng rng;
	struct forward *first;
	uint32_t running;
	struct counter *answered;
	struct counter *refused;
	struct counter *unknown;
	struct counter *abandoned;
	struct counter *tries;
	struct counter *second_tries;
	struct histogram duration;
};

void forwarder_init(struct forwarder *forwarder, struct reactor *reactor,
		    struct net_pool *pool, struct fleet *fleet,
		    struct config_holder *config, struct record_log *log,
		    struct counter_set *counters, const char *data_centre,
		    uint64_t seed);

/* Gives up what runs; the connections are the caller's. */
void forwarder_finish(struct forwarder *forwarder);

/*
 * Answers the request now or later. `caller`, `route` and `team` (NULL on a
 * public route) are what the request says and what it is allowed.
 */
void forward_start(struct forwarder *forwarder, struct net_request *request,
		   const struct caller_request *caller,
		   const struct entry_route *route,
		   const struct entry_team *team);

#endif
