#include "policy/route_share.h"

int route_share_is_limited(uint32_t open_connections, uint32_t max_connections)
{
	return (uint64_t)open_connections * ROUTE_SHARE_PRESSURE_DENOMINATOR >=
	       (uint64_t)max_connections * ROUTE_SHARE_PRESSURE_NUMERATOR;
}

int route_share_admits(uint32_t running, uint32_t max_connections)
{
	return running < max_connections / ROUTE_SHARE_DIVISOR;
}
