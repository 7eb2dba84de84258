#ifndef FORWARD_CRASH_WATCH_H
#define FORWARD_CRASH_WATCH_H

#include "base/record_log.h"
#include "discovery/discovery.h"
#include "fleet/fleet.h"
#include "policy/crash_list.h"

/* Size of the ring of unanswered attempts; the oldest is overwritten. */
#define CRASH_UNANSWERED_MAX 64

/* An attempt without an answer whose server still appeared to be up. */
struct crash_unanswered {
	uint64_t request; /* hash */
	int64_t ended_ns; /* 0: unused slot */
	char id[SERVER_ID_BYTES]; /* of the request, for the log */
	char server[SERVER_ID_BYTES];
};

/*
 * Rejects requests that crash backend servers, based on the crashes that this
 * host and the other hosts have recorded. See policy/crash_list.h and
 * discovery/crash_board.h.
 */
struct crash_watch {
	struct discovery *discovery;
	struct fleet *fleet;
	struct fleet_listener listener;
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

/* Whether no host lists any crash, so that no request need be hashed. */
int crash_watch_is_idle(const struct crash_watch *watch);

/*
 * Remaining time for which the request (a hash) is rejected; 0 if it may run.
 * Sets `*is_suspect` if so many servers were lost under it that it has been
 * rejected. `id` is the caller's request id, for the log.
 */
int64_t crash_watch_refuses_ns(const struct crash_watch *watch,
			       uint64_t request, const char *id,
			       int *is_suspect);

/*
 * A suspect request is sent to the server: all hosts reject it until its
 * outcome is known.
 */
void crash_watch_note_sent(struct crash_watch *watch, uint64_t request,
			   const char *id, const char *server);

/* The attempt did not run, so that another one may be let through. */
void crash_watch_note_not_run(struct crash_watch *watch, uint64_t request);

/*
 * Records a suspected crash: the server exited, or the connection broke off,
 * during an attempt that got no answer.
 */
void crash_watch_note_crash(struct crash_watch *watch, uint64_t request,
			    const char *id, const char *server);

/*
 * Records that the request was abandoned while it may have run at the server;
 * `id` is that of the caller's attempt, NULL: none.
 * It becomes a crash if the server is found to have exited soon afterwards.
 */
void crash_watch_note_unanswered(struct crash_watch *watch, uint64_t request,
				 const char *id, const char *server);

/*
 * Logs an attempt that ended without an answer but is not counted as a crash.
 * `reason` is a constant, for the log.
 */
void crash_watch_log_uncounted(struct crash_watch *watch, uint64_t request,
			       const char *id, const char *server,
			       const char *reason);

/*
 * The server answered the request with a status other than 5xx: clears the
 * crashes recorded for the request.
 */
void crash_watch_note_answer(struct crash_watch *watch, uint64_t request,
			     const char *id, const char *server);

#endif
