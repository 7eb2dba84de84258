#include "blame/loss_window.h"

#include <string.h>

#include "base/alloc.h"

void loss_window_init(struct loss_window *window)
{
	memset(window, 0, sizeof(*window));
}

static uint64_t stored_count(const struct loss_window *window)
{
	return window->total < LOSS_WINDOW_MAX ? window->total
					       : LOSS_WINDOW_MAX;
}

static int is_together(int64_t a_ns, int64_t b_ns)
{
	int64_t distance_ns = a_ns > b_ns ? a_ns - b_ns : b_ns - a_ns;

	return distance_ns <= MASS_LOSS_WINDOW_NS;
}

void loss_window_add(struct loss_window *window, const char *server,
		     const char *data_centre, uint32_t servers_there,
		     int64_t at_ns)
{
	struct loss *loss;

	for (uint64_t i = 0; i < stored_count(window); i++) {
		loss = &window->losses[i];
		if (!is_together(loss->at_ns, at_ns) ||
		    strcmp(loss->server, server))
			continue;
		if (loss->servers_there < servers_there)
			loss->servers_there = servers_there;
		return;
	}
	loss = &window->losses[window->total++ % LOSS_WINDOW_MAX];
	copy_text(loss->server, sizeof(loss->server), server);
	copy_text(loss->data_centre, sizeof(loss->data_centre), data_centre);
	loss->servers_there = servers_there;
	loss->at_ns = at_ns;
}

int loss_window_is_mass(const struct loss_window *window,
			const char *data_centre, int64_t at_ns)
{
	uint32_t together = 0;
	uint32_t servers_there = 0;

	for (uint64_t i = 0; i < stored_count(window); i++) {
		const struct loss *loss = &window->losses[i];

		if (!is_together(loss->at_ns, at_ns) ||
		    strcmp(loss->data_centre, data_centre))
			continue;
		together++;
		if (servers_there < loss->servers_there)
			servers_there = loss->servers_there;
	}
	return servers_there && together >= 2 &&
	       together * LOSS_MASS_DENOMINATOR >=
		       servers_there * LOSS_MASS_NUMERATOR;
}
