#ifndef BATCH_BATCH_CALL_H
#define BATCH_BATCH_CALL_H

#include "batch/batch_api.h"

/* Reads results of a batch or an item's body, or ends the batch. */
void batch_call_start(struct batch_api *api, struct net_request *request,
		      const struct caller_request *caller,
		      const struct caller_call *operation,
		      const struct entry_team *team);

/* Aborts the requests of all open calls and frees the calls. */
void batch_calls_finish(struct batch_api *api);

#endif
