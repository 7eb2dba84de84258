#ifndef APP_OPERATOR_API_H
#define APP_OPERATOR_API_H

#include "app/daemon.h"
#include "http/exchange.h"

/* What the operators' port serves (docs/api.md); `arg` is the daemon. */
void operator_api_handle(void *arg, struct http_exchange *exchange);

/* POST /v1/statements from an operator who was recognised. */
void statement_api_handle(struct daemon *daemon,
			  const struct operator_settings *operator_,
			  struct http_exchange *exchange);

#endif
