#ifndef POLICY_KEY_TRUST_H
#define POLICY_KEY_TRUST_H

#include <stdint.h>

/*
 * Limits how long callers' keys are accepted while the configuration cannot be
 * read. Load pattern: callers still reach a host that is cut off from the
 * platform's store, among them one whose key operators have withdrawn in the
 * meantime. If the platform sets a bound, the host then rejects all keys rather
 * than accept one that may be withdrawn; callers move to a host that can read
 * the configuration.
 */

/*
 * Fraction of the platform's bound that is reserved for the delay between the
 * check of a key and the arrival at the backend server, including clock drift.
 */
#define KEY_TRUST_MARGIN_DENOMINATOR 10

struct key_trust {
	int64_t valid_ns; /* after the last successful read; 0: no limit */
	int64_t confirmed_ns; /* start of the last successful read */
};

/* `bound_ms`: how long a withdrawn key may still be accepted; 0: no limit. */
void key_trust_set_bound(struct key_trust *trust, uint32_t bound_ms);

/* The configuration was read successfully by a call that started at `at_ns`. */
void key_trust_confirm(struct key_trust *trust, int64_t at_ns);

/* Whether keys of the last configuration may be accepted. */
int key_trust_holds(const struct key_trust *trust, int64_t now_ns);

#endif
