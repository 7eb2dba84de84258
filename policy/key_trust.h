#ifndef POLICY_KEY_TRUST_H
#define POLICY_KEY_TRUST_H

#include <stdint.h>

/*
 * How long callers' keys count while the configuration can't be read. Answers
 * this load: callers still reach a host that is cut off from the platform's
 * store, and among them one whose key operators have withdrawn meanwhile.
 * Where the platform wants it, the host then refuses all keys rather than
 * take one that may be withdrawn; callers go to a host that can read.
 */

/*
 * Part of the platform's bound that is kept for the way from the check of a
 * key to the backend server, clocks that run apart included.
 */
#define KEY_TRUST_MARGIN_DENOMINATOR 10

struct key_trust {
	int64_t keep_ns; /* from the last good read on; 0: for ever */
	int64_t confirmed_ns; /* when the last good read began */
};

/* `bound_ms`: a withdrawn key may be taken no longer; 0: no bound. */
void key_trust_set_bound(struct key_trust *trust, uint32_t bound_ms);

/* The configuration was read by a call that began then. */
void key_trust_confirm(struct key_trust *trust, int64_t at_ns);

/* Whether a key of the configuration may be taken for valid. */
int key_trust_holds(const struct key_trust *trust, int64_t now_ns);

#endif
