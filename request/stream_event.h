#ifndef REQUEST_STREAM_EVENT_H
#define REQUEST_STREAM_EVENT_H

#include "base/strbuf.h"
#include "request/job.h"

/* Server-sent events towards the caller, and whole answers. */

/* One event with text that a backend server just generated. */
void stream_event_add(struct strbuf *out, const struct job *job,
		      const struct sample *sample, const struct strbuf *added);

/* The last event of a sample: finish reason and weight versions. */
void stream_event_add_end(struct strbuf *out, const struct job *job,
			  const struct sample *sample);

/* An event that says that the answer is not whole. */
void stream_event_add_problem(struct strbuf *out,
			      const struct problem *problem);

/* The whole answer of an unstreamed request; `latest`: newest version. */
json_t *answer_json(const struct job *job, uint64_t latest);

#endif
