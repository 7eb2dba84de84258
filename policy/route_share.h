#ifndef POLICY_ROUTE_SHARE_H
#define POLICY_ROUTE_SHARE_H

#include <stdint.h>

/*
 * Limits the requests of one route while connections run out. Load pattern: the
 * answers of one route come late or aren't read, its requests pile up, and each
 * of them holds two connections, the caller's and the backend server's, until
 * callers of all other routes find none. While a fourth of the connections is
 * left, a route may use all it needs. Pure functions.
 */
#define ROUTE_SHARE_PRESSURE_NUMERATOR 3
#define ROUTE_SHARE_PRESSURE_DENOMINATOR 4
/* Two connections for each request, and half of all requests to one route. */
#define ROUTE_SHARE_DIVISOR 4

/* Whether connections run out, so that routes are limited to their share. */
int route_share_is_limited(uint32_t open_connections, uint32_t max_connections);

/* Whether a limited route may run another request beside so many. */
int route_share_admits(uint32_t running, uint32_t max_connections);

#endif
