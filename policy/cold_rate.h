#ifndef POLICY_COLD_RATE_H
#define POLICY_COLD_RATE_H

#include <stdint.h>

/*
 * Limits the requests sent to a cold backend server, one that has just started
 * and crashes under its usual load. Load pattern: all servers of a data centre
 * return at the same moment while many hosts hold work for them, and none of
 * the hosts sees what the others send. Each host has a share of the server's
 * rate, a whole number of requests in any window; the shares add up to the
 * rate. Where there are more hosts than requests, those that rank first for the
 * server share it, and the others send theirs to other servers. Pure functions.
 */

/* Maximum share; a larger one is cut to it. */
#define COLD_SHARE_MAX 16

/* Times of the last requests that this host sent to one server. */
struct cold_window {
	int64_t sent_ns[COLD_SHARE_MAX];
	uint64_t count; /* of all requests so far */
};

/*
 * Requests per second that the server takes from all hosts together: its rate
 * while it is cold, twice that for a second after, then 0: any number.
 */
double cold_rate_at(double per_s, int64_t cold_until_ns, int64_t now_ns);

/*
 * The part of the rate of the host ranking `rank`, from 0, of `hosts`. A host
 * that is not one of them ranks behind all and has none: the parts of the
 * others are the whole rate.
 */
uint32_t cold_rate_share(double per_s, uint32_t hosts, uint32_t rank);

/* Whether the host may send one more of its share of `per_s`. */
int cold_rate_allows(const struct cold_window *window, double per_s,
		     uint32_t share, int64_t now_ns);

void cold_window_add(struct cold_window *window, int64_t now_ns);

#endif
