#ifndef BATCH_BATCH_RECORD_H
#define BATCH_BATCH_RECORD_H

#include "batch/batch_draft.h"
#include "port/topic_log.h"
#include "proto/topic.pb-c.h"

/* The records of the batch topic, as they are appended. */

/* What a submission is accepted with, beside the draft. */
struct batch_acceptance {
	const char *batch;
	uint64_t writer; /* of all parts of this submission */
	int64_t accepted_ms; /* wall clock */
	const char *team;
	const char *host;
	const char *path;
	uint32_t due_ms;
	uint32_t retention_ms;
	uint32_t max_attempts;
	int single_version;
};

/*
 * Appends the submission as records of at most `max_record_bytes` and counts
 * them. -1 if one item does not fit.
 */
int batch_record_add_submission(struct strbuf *out,
				const struct batch_draft *draft,
				const struct batch_acceptance *acceptance,
				uint32_t max_record_bytes,
				uint32_t *record_count);

/* Appends one record of any other kind. */
void batch_record_add(struct strbuf *out,
		      const Currant__Topic__BatchRecord *record);

#endif
