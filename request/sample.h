#ifndef REQUEST_SAMPLE_H
#define REQUEST_SAMPLE_H

#include <jansson.h>
#include <stdint.h>

#include "backend/call.h"
#include "backend/server_table.h"
#include "base/timer.h"
#include "policy/dispatch_queue.h"
#include "request/spec.h"
#include "request/sse.h"
#include "request/transition.h"

/*
 * One sample of a completion: what a backend server has generated so far,
 * with the weight version behind every span of tokens as that server named
 * it. Guarded by the lock of its job.
 */
#define SAMPLE_SPANS_MAX 32
#define SAMPLE_AVOID_MAX 4
#define BACKEND_REQUEST_ID_BYTES 64

struct job;

struct version_span {
	uint64_t version;
	uint32_t tokens;
};

struct sample {
	struct job *job;
	uint32_t index;
	struct request_life life;
	/* the try that runs now */
	struct backend_call call;
	struct backend_loop *loop; /* that drives the call */
	uint64_t call_id;
	int call_active;
	int alone; /* a suspect that keeps its server to itself */
	int broken; /* the answer broke the protocol */
	int saw_end;
	struct server_pick pick;
	uint32_t run; /* number of the run, see struct job_env */
	char backend_request_id[BACKEND_REQUEST_ID_BYTES];
	int64_t dispatched_ns;
	double expected_tokens;
	struct sse_parser sse;
	struct strbuf raw; /* body of an answer that is not a stream */
	/* over all tries */
	struct strbuf text;
	struct version_span spans[SAMPLE_SPANS_MAX];
	uint32_t span_count;
	uint32_t tokens;
	uint32_t prompt_tokens;
	char finish_reason[16];
	uint32_t tries;
	uint32_t stale_tries;
	char avoid[SAMPLE_AVOID_MAX][NAME_BYTES];
	uint32_t avoid_count;
	struct timer retry_timer;
	int retry_waiting;
	int queued; /* in the queue of its pool, or on the way out of it */
	struct dispatch_entry entry;
	struct sample *next_evicted;
	int64_t backend_ns; /* time that backend servers spent on it */
	int done;
};

void sample_init(struct sample *sample, struct job *job, uint32_t index,
		 int repeatable);
void sample_finish(struct sample *sample);

/* Forgets what was generated, so that the sample starts anew. */
void sample_restart(struct sample *sample);

/*
 * Takes one event of a stream. Returns 1 if it added text, 0 if not, -1 if
 * it breaks the protocol (malformed, or another request's answer).
 */
int sample_take_event(struct sample *sample, const char *text, size_t len,
		      struct strbuf *added);

/* Takes a whole unstreamed answer; -1 if it breaks the protocol. */
int sample_take_answer(struct sample *sample, const char *text, size_t len);

/* Oldest weight version among the spans; 0 if none is named. */
uint64_t sample_oldest_version(const struct sample *sample);

/* Whether the spans account for every token, each with a version. */
int sample_is_traced(const struct sample *sample);

#endif
