#ifndef APP_BLAME_EVENTS_H
#define APP_BLAME_EVENTS_H

#include <pthread.h>

#include "app/run_table.h"
#include "base/counter.h"
#include "blame/blame.h"
#include "request/job.h"
#include "state/quarantine_table.h"

/*
 * Connects the blame decisions to runs, load probes, peers and the log. A
 * lost call alone says nothing of its server: the server is asked for its
 * load at once, and only if it is gone, or another process answers, does
 * what ran there become suspect.
 *
 * A request is refused once the log holds the verdict, or VERDICT_LOG_NS
 * after it if the log does not take it: a daemon that dies with a verdict of
 * its own alone would come back without it. A verdict that only daemons know
 * is brought to the log by one of them, see blame_events_tick().
 */
#define VERDICT_LOG_NS (1 * NS_PER_S)
#define VERDICTS_PENDING_MAX 16

struct daemon;

struct blame_events {
	struct blame_listener base;
	struct daemon *daemon;
	pthread_mutex_t lock; /* guards the rest */
	struct blame blame;
	struct run_table runs;
	struct quarantine_table logged;
	uint64_t pending[VERDICTS_PENDING_MAX]; /* for the log */
	uint32_t pending_count;
	int64_t unlogged_due_ns; /* of the tick only */
	struct counter *losses;
	struct counter *refused;
};

void blame_events_init(struct blame_events *events, struct daemon *daemon);
void blame_events_finish(struct blame_events *events);

/* Where a request may run now; see struct job_env. */
enum job_rule blame_events_rule(struct blame_events *events, const char *pool,
				uint64_t fingerprint, char server[NAME_BYTES],
				struct problem *why);

uint32_t blame_events_begin(struct blame_events *events, const char *server,
			    uint64_t fingerprint, int alone);
void blame_events_end(struct blame_events *events, uint32_t slot,
		      uint64_t fingerprint, int well);
void blame_events_lose(struct blame_events *events, uint32_t slot);

/*
 * A backend server is gone, or another process stands in its place. Told
 * again for calls that end later; `is_news` the first time.
 */
void blame_events_on_server_lost(struct blame_events *events, const char *pool,
				 const char *server, int is_news);

/* A server that lost a run was asked and answered: it lives. */
void blame_events_on_server_alive(struct blame_events *events,
				  const char *server);

void blame_events_on_hint(struct blame_events *events,
			  const Currant__QuarantineHint *hint);

/* The log holds a verdict. */
void blame_events_on_logged(struct blame_events *events, uint64_t fingerprint,
			    uint64_t until_wall_ms);

/* Tells a peer that has just started all that is known here. */
void blame_events_tell(struct blame_events *events, const char *peer);
void blame_events_tick(struct blame_events *events, int64_t now_ns);

#endif
