#ifndef BLAME_LOSS_WINDOW_H
#define BLAME_LOSS_WINDOW_H

#include <stdint.h>

#include "base/clock.h"
#include "state/config.h"

/*
 * Recently lost backend servers, to distinguish crashes from evictions: if a
 * whole data centre is lost within a short time, no request is the cause.
 * Bounded; the oldest losses are overwritten.
 */
#define LOSS_WINDOW_MAX 1024

/* Losses at most this far apart may have one common cause. */
#define MASS_LOSS_WINDOW_NS (2 * NS_PER_S)

/*
 * A data centre counts as evicted when this share of its servers of one class
 * is lost together. Several requests that crash servers at the same time do
 * not reach that share.
 */
#define LOSS_MASS_NUMERATOR 3
#define LOSS_MASS_DENOMINATOR 4

struct loss {
	char server[NAME_BYTES];
	char data_centre[NAME_BYTES];
	uint32_t servers_there; /* of its class there; 0: unknown */
	int64_t at_ns;
};

struct loss_window {
	struct loss losses[LOSS_WINDOW_MAX]; /* a ring */
	uint64_t total;
};

void loss_window_init(struct loss_window *window);

/* Repeats for the same server within MASS_LOSS_WINDOW_NS count once. */
void loss_window_add(struct loss_window *window, const char *server,
		     const char *data_centre, uint32_t servers_there,
		     int64_t at_ns);

/* Whether a loss at this time was part of a mass loss (an eviction). */
int loss_window_is_mass(const struct loss_window *window,
			const char *data_centre, int64_t at_ns);

#endif
