#ifndef APP_DAEMON_H
#define APP_DAEMON_H

/*
 * One daemon: every part, wired together. The parts decide; the files of
 * app/ only connect them to ports, timers and one another.
 */

#include <pthread.h>
#include <stdint.h>

#include "app/blame_events.h"
#include "app/host_poll.h"
#include "app/load_poll.h"
#include "app/order_demand.h"
#include "app/peer_events.h"
#include "app/sample_log.h"
#include "app/share_events.h"
#include "app/state_events.h"
#include "app/trace_writer.h"
#include "app/version_poll.h"
#include "app/withdrawal.h"
#include "backend/loop.h"
#include "backend/server_table.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/logger.h"
#include "base/timer.h"
#include "http/server.h"
#include "lease/lease_keeper.h"
#include "membership/membership.h"
#include "orders/order_loop.h"
#include "peer/denial.h"
#include "peer/peer_service.h"
#include "client/host_http.h"
#include "client/log_http.h"
#include "client/order_http.h"
#include "client/usage_http.h"
#include "client/weight_http.h"
#include "request/once_table.h"
#include "request/running_table.h"
#include "request/service_call.h"
#include "request/team_slots.h"
#include "request/ticket.h"
#include "sample/group_table.h"
#include "settings/settings.h"
#include "state/log_client.h"
#include "timeline/timeline.h"
#include "usage/usage_service.h"
#include "weights/version_table.h"
#include "weights/weight_loop.h"

#define DAEMON_LOOPS 2

struct identity;

/* What the callers' ports are handed. */
struct caller_port {
	struct daemon *daemon;
	enum route_class class_; /* routes that this port serves */
};

struct daemon {
	struct settings settings;
	uint64_t incarnation;
	struct clock clock;
	struct timer_service timers;
	struct counter_set counters;
	struct logger logger;
	struct log_part log_app;
	struct log_part log_peer;
	struct log_part log_log;
	struct timeline timeline;
	/* the log and what is derived from it */
	struct log_http log_port;
	struct log_client log_client;
	struct state_events state_events;
	struct version_table versions;
	struct log_http trace_port;
	struct trace_writer traces;
	struct sample_log samples;
	struct lease_keeper leases;
	struct usage_http usage_port;
	struct usage_service usage;
	struct order_http order_port;
	struct order_demand_source order_demand;
	struct order_loop orders;
	struct weight_loop weights;
	/* requests */
	struct server_table servers;
	struct backend_loop loops[DAEMON_LOOPS];
	struct pool_queues queues;
	struct job_env job_env;
	struct group_table groups;
	struct running_table running;
	struct team_slots team_slots;
	struct once_table once;
	struct blame_events blame;
	/* peers */
	struct membership *membership;
	struct peer_service peers;
	struct peer_events peer_events;
	struct share_events shares;
	struct denial_spread denials;
	struct withdrawals withdrawals;
	/* ports */
	struct caller_port batch_port;
	struct caller_port latency_port;
	struct http_server batch;
	struct http_server latency;
	struct http_server operators;
	/* what polls the outside systems */
	struct host_poll host_poll;
	struct load_poll load_poll;
	struct version_poll version_poll;
	struct timer upkeep_timer;
	int isolated; /* cannot know of withdrawn keys */
	int draining; /* leaving: no address answer names this host */
	int closed; /* refuses what still comes */
};

/* Starts everything; -1 leaves nothing running. */
int daemon_start(struct daemon *daemon, const struct settings *settings,
		 struct error *err);

/* Stops gracefully: no new work, running requests end, leases go back. */
void daemon_stop(struct daemon *daemon);

/* Whether the log and the host list have been read. */
int daemon_is_ready(struct daemon *daemon);

/*
 * Counts a request of the team in, to be given back to `team_slots`; -1 if
 * the team has all the requests in flight that it may have here.
 */
int daemon_take_team_slot(struct daemon *daemon, const char *team);

/* Callers' requests that run now, and how many are let in. */
uint32_t daemon_requests_running(struct daemon *daemon);
uint32_t daemon_request_capacity(const struct daemon *daemon);

/* The ticket that this run gives out now. */
void daemon_ticket(struct daemon *daemon, struct ticket *ticket);

/* Counts a call to a plain service for usage; `result`: 0 if answered. */
void daemon_count_service(struct daemon *daemon,
			  const struct identity *identity,
			  const struct service_call *call, int result);

#endif
