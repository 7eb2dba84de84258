#ifndef POLICY_STOP_ADMISSION_H
#define POLICY_STOP_ADMISSION_H

#include <stdint.h>

/*
 * Decides which requests a host takes during its graceful stop. Load pattern:
 * several hosts stop in turn, callers keep their addresses for some seconds,
 * and long streams that they send late are cut when the host ends. Later than
 * an address answer is used, the host takes only what its time limit ends
 * before the stop; other callers retry elsewhere at once. Pure functions.
 */

/* Callers use an answer with addresses no longer than this. */
#define STOP_ADDRESSES_USED_MS 3000

/* Times of a stop; all are 0 while the host does not stop. */
struct stop_times {
	int64_t began_ns;
	int64_t ends_ns; /* no request runs any longer */
};

/*
 * Whether to take a request that arrives at `now_ns` and ends at `limit_ns` at
 * the latest. With a short grace period all are taken for half of it only.
 */
int stop_admits(const struct stop_times *stop, int64_t now_ns,
		int64_t limit_ns);

#endif
