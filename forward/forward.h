#ifndef FORWARD_FORWARD_H
#define FORWARD_FORWARD_H

#include "base/histogram.h"
#include "base/record_log.h"
#include "base/rng.h"
#include "entry/caller_request.h"
#include "entry/config_holder.h"
#include "fleet/load_metrics.h"
#include "forward/crash_watch.h"
#include "net/net_client.h"
#include "net/net_server.h"
#include "policy/stop_admission.h"

/*
 * Forwards single requests to backend servers: selects a server, retries where
 * the route's kind permits it, and answers each request exactly once. Method,
 * path and body are forwarded unchanged, and so are the status and the body of
 * the server's answer. The caller's port has matched the route and the team.
 */
struct forward;

/* Counts the attempts that may have run, by team. */
struct attempt_counter {
	void (*add)(struct attempt_counter *counter, const char *team,
		    int64_t began_wall_ms);
};

struct forwarder {
	struct reactor *reactor;
	struct net_pool *pool;
	struct fleet *fleet;
	struct config_holder *config;
	struct record_log *log;
	struct attempt_counter *team_attempts; /* may be NULL */
	struct crash_watch *crashes; /* may be NULL */
	struct stop_times stop; /* of this host */
	const char *data_centre;
	uint64_t sample_seed; /* selects the servers that this host samples */
	struct rng rng;
	struct forward *first;
	uint32_t running;
	struct counter *answered;
	struct counter *refused;
	struct counter *unknown;
	struct counter *abandoned;
	struct counter *attempts;
	struct load_counters load_counters;
	struct counter *hedged_attempts;
	struct histogram duration;
};

void forwarder_init(struct forwarder *forwarder, struct reactor *reactor,
		    struct net_pool *pool, struct fleet *fleet,
		    struct config_holder *config, struct record_log *log,
		    struct counter_set *counters, const char *data_centre,
		    uint64_t seed);

/*
 * Answers all requests whose answer has not begun: they did not run, or may
 * have run. Streams in progress go on.
 */
void forwarder_answer_unstarted(struct forwarder *forwarder);

/*
 * Aborts all requests in flight. The connection pool remains owned by the
 * caller.
 */
void forwarder_finish(struct forwarder *forwarder);

/*
 * Forwards the request and answers it, possibly before this function returns.
 * `caller` holds the request's parsed header fields, `route` the matched route
 * and `team` the authenticated team (NULL on a public route).
 */
void forward_start(struct forwarder *forwarder, struct net_request *request,
		   const struct caller_request *caller,
		   const struct entry_route *route,
		   const struct entry_team *team);

#endif
