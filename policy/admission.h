#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

#include <stdint.h>

#include "base/rng.h"

/*
 * Admits a request if its estimated wait leaves enough time before its
 * deadline; otherwise rejects it at once with the time after which to retry.
 * That time is derived from the measured completion rate: rejected requests
 * reserve capacity one after another at that rate, so that a caller that
 * retries at the given time is admitted, and new requests do not take capacity
 * that is reserved. Each team has its own instance: how fast its queue drains
 * depends on the demand of the other teams, and the reservations of one team
 * must not block another.
 */
struct admission {
	double tokens_per_s; /* completed, while there was demand */
	int64_t window_start_ns;
	double window_tokens;
	int64_t reserved_until_ns; /* end of the last reservation */
	double grace_s; /* a reservation is valid this long after its start */
};

struct admission_request {
	double tokens; /* expected */
	double service_s; /* expected, from start to end of execution */
	int64_t deadline_ns; /* 0: none */
	int64_t reserved_at_ns; /* retry time that it was given; 0: new request
				 */
};

struct admission_verdict {
	int admitted;
	double wait_s; /* estimated, before execution starts */
	uint32_t retry_after_ms; /* if rejected */
};

/* `tokens_per_s` is the rate that is assumed until one has been measured. */
void admission_init(struct admission *admission, double tokens_per_s,
		    int64_t now_ns);

/*
 * Records that `tokens` were completed. `busy` is set if requests of the team
 * were waiting: the completion rate of an idle system reflects its demand, not
 * its capacity, so that only a higher rate is taken over from it.
 */
void admission_finished(struct admission *admission, double tokens, int busy,
			int64_t now_ns);

/*
 * `tokens_ahead` is the team's work that runs before the request. The retry
 * time is jittered with `rng`, so that callers do not return all at once.
 */
struct admission_verdict
admission_decide(struct admission *admission,
		 const struct admission_request *request, double tokens_ahead,
		 struct rng *rng, int64_t now_ns);

#endif
