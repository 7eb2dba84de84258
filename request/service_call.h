#ifndef REQUEST_SERVICE_CALL_H
#define REQUEST_SERVICE_CALL_H

#include "backend/call.h"
#include "backend/loop.h"
#include "request/job.h"

/*
 * One call to a plain service. The thread that serves the caller waits; a
 * call that may be repeated is tried again elsewhere, any other runs at most
 * once.
 */
#define SERVICE_ANSWER_MAX_BYTES (8 * 1024 * 1024)
#define SERVICE_TRIES_MAX 4

struct service_call {
	const struct job_env *env;
	struct backend_call call;
	struct request_life life;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	/* The next four are under `lock`. */
	int done;
	int cancelled; /* by a withdrawal */
	uint64_t call_id;
	struct problem problem; /* of the withdrawal */
	int too_large;
	struct strbuf answer;
	struct server_pick pick;
	char pool[NAME_BYTES];
	int64_t deadline_ns;
	uint32_t tries;
	int64_t took_ns; /* of the last try */
	char avoid[SERVICE_TRIES_MAX][NAME_BYTES];
};

/* What is sent; the headers are a whitelist that the caller chose. */
struct service_request {
	const char *method;
	const char *path; /* with its query */
	const struct strbuf *body;
	const char *const *headers; /* "Name: value" */
	uint32_t header_count;
};

void service_call_init(struct service_call *call, const struct job_env *env,
		       const struct route *route);
void service_call_finish(struct service_call *call);

/*
 * Runs the call. Returns 0 with call->call.status, content_type and
 * call->answer set, or -1 with the problem filled in.
 */
int service_call_run(struct service_call *call,
		     const struct service_request *request,
		     struct problem *problem);

/* Ends a running call at once; any thread. */
void service_call_cancel(struct service_call *call,
			 const struct problem *problem);

#endif
