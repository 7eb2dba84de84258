#ifndef CLIENT_GUARDED_CALL_H
#define CLIENT_GUARDED_CALL_H

#include <jansson.h>

#include "client/http_call.h"

/*
 * Posts a JSON body that may only be sent before `deadline_ns` on
 * CLOCK_BOOTTIME, over a connection of its own. ERROR_UNAVAILABLE if it was
 * not sent, ERROR_UNKNOWN_OUTCOME if no answer came, else as
 * http_call_judge() with `what` as the receiver's name. Takes the reference
 * to `body`.
 */
int guarded_post(struct http_pool *pool, const char *path, json_t *body,
		 int64_t deadline_ns, const char *what, struct error *err);

#endif
