#ifndef REQUEST_JOB_H
#define REQUEST_JOB_H

#include <pthread.h>
#include <stdint.h>

#include "backend/loop.h"
#include "backend/server_table.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/timer.h"
#include "request/pool_queue.h"
#include "request/problem.h"
#include "request/sample.h"
#include "request/spec.h"
#include "state/config.h"

/*
 * A completion with its n samples. Backend servers are driven by callbacks
 * on the backend loops; the thread that serves the caller only waits, and
 * another may take its place (a trainer that asks again). The job is
 * counted: each waiter, each running call and the group table hold one.
 */
#define JOB_RETRY_DELAY_NS (50 * NS_PER_MS)
#define JOB_TRIES_MAX 6
#define JOB_STALE_TRIES_MAX 3

/* Where a request may run, as far as crashes of backend servers tell. */
enum job_rule {
	JOB_RULE_ANY = 0,
	JOB_RULE_BESIDE, /* on the server where the same request runs */
	JOB_RULE_ALONE, /* a suspect: on this server, alone */
	JOB_RULE_WAIT, /* not now */
	JOB_RULE_REFUSE, /* nowhere */
};

/* What jobs need of the daemon; the same for all of them. */
struct job_env {
	struct server_table *servers;
	struct pool_queues *queues;
	struct backend_loop *loops;
	uint32_t loop_count;
	struct clock *clock;
	struct timer_service *timers;
	const char *data_centre;
	struct counter *retries;
	struct counter *samples_ok;
	struct counter *samples_refused;
	struct counter *stale;
	struct counter *tokens;
	/* Newest published weight version of a pool; 0 if unknown. */
	uint64_t (*latest_version)(void *arg, const char *pool);
	/*
	 * Where a request may run now: fills `server` for JOB_RULE_ALONE and
	 * JOB_RULE_BESIDE, the problem for JOB_RULE_REFUSE.
	 */
	enum job_rule (*rule)(void *arg, const char *pool, uint64_t fingerprint,
			      char server[NAME_BYTES], struct problem *why);
	/* A call goes to a backend server; returns a number for its end. */
	uint32_t (*run_begun)(void *arg, const char *server,
			      uint64_t fingerprint, int alone);
	/* It never reached its server, which may be gone. */
	void (*run_not_begun)(void *arg, uint32_t run, const char *pool,
			      const struct server_pick *server);
	/* It ended, `well` or cancelled. */
	void (*run_ended)(void *arg, uint32_t run, uint64_t fingerprint,
			  int well);
	/* It was lost; its server may be gone. */
	void (*run_lost)(void *arg, uint32_t run, const char *pool,
			 const struct server_pick *server);
	/* A sample is whole. */
	void (*backend_used)(void *arg, const struct job *job,
			     const struct sample *sample);
	void *arg;
};

enum job_wait_result {
	JOB_DONE = 0, /* all samples ended */
	JOB_DATA, /* streamed text is there */
	JOB_SUPERSEDED, /* another connection waits for this job now */
};

struct job {
	const struct job_env *env;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	uint32_t refs;
	struct completion_spec spec;
	char team[NAME_BYTES];
	char key_id[NAME_BYTES];
	char route[NAME_BYTES];
	char pool[NAME_BYTES];
	int latency_bound;
	uint32_t weight; /* the team's share */
	int repeatable;
	int has_bound;
	uint32_t bound; /* versions */
	int64_t started_ns;
	int64_t deadline_ns;
	struct timer deadline_timer;
	struct sample *samples;
	uint32_t done_count;
	int failed;
	struct problem problem; /* why it failed */
	char problem_text[ERROR_TEXT_MAX];
	struct strbuf out; /* streamed events that the waiter takes */
	int streams; /* events are to be written to `out` */
	uint64_t checked_version; /* newest one at the check for delivery */
	uint64_t waiter; /* number of the connection that waits */
};

/* Takes the spec over; the caller gets the first reference. */
struct job *job_new(const struct job_env *env, struct completion_spec *spec,
		    const struct route *route, const char *team,
		    uint32_t weight, const char *key_id);
void job_ref(struct job *job);
void job_unref(struct job *job);

/* Sends all samples out. */
void job_start(struct job *job);

/* Ends the job at once; running calls are cancelled. */
void job_fail(struct job *job, const struct problem *problem);

/* Becomes the waiter in place of an earlier one; returns its number. */
uint64_t job_take_over(struct job *job);

/*
 * Waits until the job is done, streamed data is there (moved to `out`, which
 * may be NULL) or another waiter took over.
 */
enum job_wait_result job_wait(struct job *job, uint64_t waiter,
			      struct strbuf *out);

/* Ends the deadline of a job that is done; called by its last waiter. */
void job_end_deadline(struct job *job);

/*
 * Checks every sample against the bound, at the moment of delivery. Samples
 * that are too old start anew; returns 0 if all may be delivered, 1 if the
 * caller must wait again, -1 if the job failed for it.
 */
int job_check_staleness(struct job *job);

/* Sends a sample to a backend server; the job's lock is held. */
void job_dispatch(struct job *job, struct sample *sample);

/* Ends one sample with a refusal of the whole job; the lock is held. */
void job_refuse_locked(struct job *job, int status, const char *type,
		       enum run_status run, int64_t retry_after_ns,
		       const char *detail);

#endif
