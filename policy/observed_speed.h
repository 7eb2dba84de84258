#ifndef POLICY_OBSERVED_SPEED_H
#define POLICY_OBSERVED_SPEED_H

#include <stdint.h>

/*
 * Measures the speed of a backend server from its streams. A server that slows
 * down without failing continues to report its nominal speed; the streams show
 * the actual one. The value is the speed of one request at an otherwise idle
 * server, so that it can be used in struct server_view.
 */
struct observed_speed {
	double tokens_per_s;
	double nominal_tokens_per_s;
};

void observed_speed_init(struct observed_speed *speed,
			 double nominal_tokens_per_s);

/* Records that a request streamed at `tokens_per_s` in a batch of `batch`. */
void observed_speed_add(struct observed_speed *speed, double tokens_per_s,
			uint32_t batch, uint32_t capacity);

/* Moves the speed towards the nominal one after a time without any stream. */
void observed_speed_decay(struct observed_speed *speed);

#endif
