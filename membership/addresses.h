#ifndef MEMBERSHIP_ADDRESSES_H
#define MEMBERSHIP_ADDRESSES_H

#include <stdint.h>

#include "base/rng.h"
#include "membership/membership.h"

/*
 * Selects the entry host addresses that a caller should use, without I/O.
 * Callers cache the answer, so load reports lag behind it. Hosts are therefore
 * drawn at random, weighted by free capacity, instead of sending all callers
 * to the least loaded one. Requests of one group use the same host as long as
 * it is reachable and not full. Suspect, gone and leaving hosts are excluded.
 */
#define ADDRESS_ANSWER_MAX 3

struct address_request {
	const char *data_centre; /* of the caller */
	const char *region;
	const char *group; /* "" or NULL: none */
	int latency_bound; /* use the address for latency-bound routes */
};

struct address {
	char name[NAME_BYTES];
	char address[NAME_BYTES];
};

struct address_answer {
	struct address addresses[ADDRESS_ANSWER_MAX]; /* best first */
	uint32_t count;
	uint32_t keep_ms; /* validity of the answer */
};

/*
 * `members` must include the own host. `keep_ms` gets a jitter of 20 % to
 * either side, so that callers do not return at the same time, and is halved
 * while a host of the data centre is suspect.
 * ERROR_UNAVAILABLE if no host is eligible.
 */
int addresses_choose(const struct member *members, uint32_t count,
		     const struct address_request *request, uint32_t keep_ms,
		     struct rng *rng, struct address_answer *answer,
		     struct error *err);

#endif
