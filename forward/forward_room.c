#include <string.h>

#include "forward/forward_private.h"
#include "policy/route_share.h"

static uint32_t running_of_route(const struct forward *forward)
{
	uint32_t running = 0;

	for (const struct forward *f = forward->forwarder->first; f;
	     f = f->next)
		running += f != forward &&
			   !strcmp(f->route->name, forward->route->name);
	return running;
}

int forward_find_room(const struct forward *forward)
{
	const struct net_pool *pool = forward->forwarder->pool;
	const struct net_descriptors *shared = pool->descriptors;

	if (!shared || !route_share_is_limited(shared->open, shared->max))
		return 1;
	if (!route_share_admits(running_of_route(forward), shared->max))
		return 0;
	net_pool_find_room(pool);
	return 1;
}
