#ifndef APP_CALLER_API_H
#define APP_CALLER_API_H

#include "app/daemon.h"
#include "http/exchange.h"

/* What callers may ask on the two callers' ports (docs/api.md). */

/* Handles one request; an http_handler whose argument is a caller_port. */
void caller_api_handle(void *arg, struct http_exchange *exchange);

/* POST /v1/completions and /v1/chat/completions. */
void completion_api_handle(struct caller_port *port,
			   struct http_exchange *exchange, int chat);

/* Any path of a plain service. */
void service_api_handle(struct caller_port *port,
			struct http_exchange *exchange);

/* GET /v1/addresses. */
void address_api_handle(struct daemon *daemon, struct http_exchange *exchange);

/* The team has all the requests in flight that it may have here. */
extern const struct problem problem_team_limit;

/* Refuses a route that the other port serves; returns -1 if it did. */
int caller_api_check_port(const struct caller_port *port,
			  const struct route *route,
			  struct http_exchange *exchange);

/* Whether the daemon takes new work; answers the request itself if not. */
int caller_api_check_open(struct daemon *daemon,
			  struct http_exchange *exchange);

#endif
