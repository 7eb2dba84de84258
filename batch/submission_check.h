#ifndef BATCH_SUBMISSION_CHECK_H
#define BATCH_SUBMISSION_CHECK_H

#include "batch/batch_api.h"
#include "batch/batch_draft.h"
#include "entry/answers.h"

/* Checks of a submission before anything of it is stored. */

/* Counts and logs the refusal, and answers the request with it. */
void batch_submission_refuse(struct batch_api *api, struct net_request *request,
			     const char *batch, const struct refusal *refusal);

/*
 * Rejects a submission whose decoded form would take too much memory, alone or
 * with those in flight; returns 0 with its size in bytes if it may be decoded.
 * 503 in either case, since another host may have more memory.
 */
int batch_submission_reject_for_memory(struct batch_api *api,
				       struct net_request *request,
				       const char *batch,
				       uint64_t *draft_bytes);

/*
 * Decodes and checks the submission. Answers the request with a permanent
 * error and returns -1 if it is not valid.
 */
int batch_submission_decode(struct batch_api *api, struct net_request *request,
			    const char *batch, struct batch_draft *draft);

#endif
