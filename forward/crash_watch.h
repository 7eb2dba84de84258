#ifndef FORWARD_CRASH_WATCH_H
#define FORWARD_CRASH_WATCH_H

#include "base/record_log.h"
#include "discovery/discovery.h"
#include "fleet/fleet.h"
#include "policy/crash_list.h"

/* Runs that a host remembers to have got no answer; the oldest gives way. */
#define CRASH_UNANSWERED_MAX 64

/* A run that ended without an answer, while its server seemed to live. */
struct crash_unanswered {
	uint64_t request;
	int64_t at_ns; /* 0: not used */
	char id[SERVER_ID_BYTES]; /* of the request, for the log */
	char server[SERVER_ID_BYTES];
};

/*
 * Refuses requests that crash backend servers, by what this host and the
 * others have seen. See policy/crash_list.h and discovery/crash_board.h.
 */
struct crash_watch {
	struct discovery *discovery;
	struct fleet *fleet;
	struct fleet_listener servers;
	struct crash_unanswered unanswered[CRASH_UNANSWERED_MAX];
	uint32_t next_unanswered;
	struct clock *clock;
	struct record_log *log;
	struct counter *crashes;
	struct counter *refused;
};

void crash_watch_init(struct crash_watch *watch, struct discovery *discovery,
		      struct fleet *fleet, struct clock *clock,
		      struct record_log *log, struct counter_set *counters);
void crash_watch_finish(struct crash_watch *watch);

/* Whether no host suspects any request: then none needs to be hashed. */
int crash_watch_is_idle(const struct crash_watch *watch);

/*
 * How long the request (a hash) is still to be refused; 0: it may run. `id`
 * is the caller's, for the log.
 */
int64_t crash_watch_refuses_ns(const struct crash_watch *watch,
			       uint64_t request, const char *id);

/* A run was cut off at the server without an answer. */
void crash_watch_cut(struct crash_watch *watch, uint64_t request,
		     const char *id, const char *server);

/*
 * The request was given up while it may have run at the server: it is a crash
 * if the server turns out to have ended.
 */
void crash_watch_unanswered(struct crash_watch *watch, uint64_t request,
			    const char *id, const char *server);

/*
 * A run ended without an answer, and is not taken for a crash. `reason` is a
 * constant, for the log.
 */
void crash_watch_not_counted(struct crash_watch *watch, uint64_t request,
			     const char *id, const char *server,
			     const char *reason);

/* A run came to an answer, and not to a failure of the server (5xx). */
void crash_watch_answered(struct crash_watch *watch, uint64_t request,
			  const char *id, const char *server);

#endif
