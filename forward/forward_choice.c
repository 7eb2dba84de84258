#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"
#include "forward/forward_private.h"
#include "policy/choice_sample.h"
#include "policy/plain_choice.h"

/* Servers of one service that a choice looks at. */
#define CHOICE_MAX 64

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

static void view_server(const struct forward *forward,
			const struct fleet_server *server,
			struct plain_server *view)
{
	int64_t now = reactor_now_ns(forward->forwarder->reactor);

	view->slots = server->entry.slots;
	view->own_running = server->running;
	view->reported = server->load.running + server->load.waiting;
	view->reported_age_ns =
		server->load.seen_ns ? now - server->load.seen_ns : -1;
	view->same_data_centre = !strcmp(server->entry.data_centre,
					 forward->forwarder->data_centre);
	view->tried = was_tried(forward, server->entry.id);
	view->usable = fleet_server_usable(server, now);
	view->cold_left_ms = server->entry.cold_left_ms;
}

struct fleet_server *forward_choose(struct forward *forward)
{
	struct fleet *fleet = forward->forwarder->fleet;
	struct fleet_server *servers[CHOICE_MAX];
	struct plain_server views[CHOICE_MAX];
	uint64_t seed = forward->forwarder->sample_seed;
	struct choice_sample sample;
	int32_t chosen;

	choice_sample_begin(&sample, CHOICE_MAX);
	for (struct fleet_server *s = fleet->first; s; s = s->next) {
		struct plain_server view;
		int32_t place;

		if (strcmp(s->entry.service, forward->service))
			continue;
		view_server(forward, s, &view);
		if (!view.usable || view.tried)
			continue;
		place = choice_sample_place(&sample,
					    hash_text(s->entry.id, seed));
		if (place < 0)
			continue;
		views[place] = view;
		servers[place] = s;
	}
	chosen = plain_choice(views, sample.count, &forward->forwarder->rng);
	return chosen < 0 ? NULL : servers[chosen];
}
