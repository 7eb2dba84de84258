#ifndef BATCH_BATCH_SUBMISSION_H
#define BATCH_BATCH_SUBMISSION_H

#include "batch/batch_api.h"

/* Stores a submitted batch and answers the request, now or later. */
void batch_submission_start(struct batch_api *api, struct net_request *request,
			    const struct caller_request *caller,
			    const struct entry_route *route,
			    const struct entry_team *team);

/* See batch_api_answer_all(). */
void batch_submissions_answer_all(struct batch_api *api);

/* Aborts the requests of all open submissions and frees the submissions. */
void batch_submissions_finish(struct batch_api *api);

#endif
