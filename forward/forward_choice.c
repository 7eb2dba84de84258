#include <string.h>

#include "base/alloc.h"
#include "fleet/plain_servers.h"
#include "forward/forward_private.h"

static int was_tried(const struct forward *forward, const char *id)
{
	for (uint32_t i = 0; i < forward->tried_count; i++)
		if (!strcmp(forward->tried[i], id))
			return 1;
	return 0;
}

void forward_note_tried(struct forward *forward, const char *id)
{
	if (forward->tried_count == FORWARD_TRIED_MAX || was_tried(forward, id))
		return;
	copy_text(forward->tried[forward->tried_count++], SERVER_ID_BYTES, id);
}

static int skips(const void *arg, const struct fleet_server *server)
{
	return was_tried(arg, server->entry.id);
}

struct fleet_server *forward_choose(struct forward *forward)
{
	struct forwarder *forwarder = forward->forwarder;
	const struct plain_chooser chooser = {
		.data_centre = forwarder->data_centre,
		.sample_seed = forwarder->sample_seed,
		.now_ns = reactor_now_ns(forwarder->reactor),
		.is_excluded = skips,
		.arg = forward,
	};
	struct plain_servers list;
	int32_t chosen;

	plain_servers_list(&list, forwarder->fleet, forward->service, &chooser);
	chosen = plain_choice(list.views, list.count, &forwarder->rng);
	return chosen < 0 ? NULL : list.servers[chosen];
}
