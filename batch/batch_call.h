#ifndef BATCH_BATCH_CALL_H
#define BATCH_BATCH_CALL_H

#include "batch/batch_api.h"

/* Reads results of a batch or an item's body, or ends the batch. */
void batch_call_start(struct batch_api *api, struct net_request *request,
		      const struct caller_request *caller,
		      const struct caller_call *operation,
		      const struct entry_team *team);

/* See batch_api_answer_waiting() and batch_api_answer_all(). */
void batch_calls_answer_waiting(struct batch_api *api);
void batch_calls_answer_all(struct batch_api *api);

/* Aborts the requests of all open calls and frees the calls. */
void batch_calls_finish(struct batch_api *api);

#endif
