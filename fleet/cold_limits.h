#ifndef FLEET_COLD_LIMITS_H
#define FLEET_COLD_LIMITS_H

#include "base/counter.h"
#include "base/record_log.h"
#include "fleet/server_entry.h"
#include "policy/cold_rate.h"

/*
 * Rates that the cold servers of a service take, from the configuration, and
 * the hosts that share them (policy/cold_rate.h). A service without a rate has
 * no limit, as has a server that is warm.
 */
struct fleet;
struct fleet_server;

/* A host that may send requests to the servers of a service. */
struct cold_sender {
	char name[SERVER_ID_BYTES];
	int runs_items; /* of the service; ranks before hosts that don't */
};

struct cold_service {
	char name[SERVER_ID_BYTES];
	double per_s; /* 0: no limit */
	int64_t cold_ns; /* duration after a start */
	struct cold_sender *senders;
	uint32_t sender_count;
	struct cold_limits *limits;
	struct cold_service *next;
};

struct cold_limits {
	struct cold_service *first;
	struct fleet *fleet;
	struct record_log *log;
	const char *host; /* name of this host; the caller's memory */
	struct counter *sent;
	struct counter *reached;
};

/* What a server's entry in the fleet has for its service's limit. */
struct server_cold {
	const struct cold_service *service; /* NULL: no limit */
	struct cold_window window;
	/* Of this host among the senders; their number if it is not listed. */
	uint32_t rank;
	/* May have become cold while nothing was sent to it. */
	int64_t assumed_until_ns;
	/* May have restarted, as it failed before: this host's requests. */
	int64_t suspect_until_ns;
	int logged_cold; /* its last entry said so */
};

void cold_limits_init(struct cold_limits *limits, struct fleet *fleet,
		      struct record_log *log, struct counter_set *counters,
		      const char *host);
void cold_limits_finish(struct cold_limits *limits);

/*
 * Sets a service's rate and takes over `senders`, unless they are the present
 * ones.
 */
void cold_limits_set(struct cold_limits *limits, const char *service,
		     double per_s, int64_t cold_ns, struct cold_sender *senders,
		     uint32_t count);

/* Removes the rates of services that the predicate doesn't name. */
void cold_limits_keep(struct cold_limits *limits,
		      int (*is_kept)(const void *arg, const char *service),
		      const void *arg);

/* Applies the rate of its service to a server whose entry is new. */
void cold_limits_apply(const struct cold_limits *limits,
		       struct fleet_server *server);

/* The server may be cold from now on, whatever its entry said before. */
void fleet_server_assume_cold(struct fleet_server *server, int64_t now_ns);

/* Remaining time for which the server is cold, as far as is known. */
int64_t fleet_server_cold_left_ns(const struct fleet_server *server,
				  int64_t now_ns);

/* Whether the server is limited as a cold one now. */
int fleet_server_is_limited(const struct fleet_server *server, int64_t now_ns);

/* Whether the limit permits one more request of this host. */
int fleet_server_cold_allows(const struct fleet_server *server, int64_t now_ns);

/* A request is being sent to the server. */
void fleet_server_note_sent(struct fleet_server *server, int64_t now_ns);

#endif
