#ifndef POLICY_RETRY_BUDGET_H
#define POLICY_RETRY_BUDGET_H

#include <stdint.h>

/*
 * Limits the retries of a pool to a fraction of its first attempts, so that
 * retries cannot multiply the load during an outage. Counts in thousandths of a
 * retry; thread-safe and lock-free.
 */
struct retry_budget {
	uint32_t per_mille; /* retries earned by 1000 first attempts */
	int64_t max_milli; /* upper bound of `milli` */
	int64_t milli;
};

/* Starts with `reserve` retries, which is also the upper bound. */
void retry_budget_init(struct retry_budget *budget, uint32_t per_mille,
		       uint32_t reserve);

/* Records that a first attempt was sent. */
void retry_budget_first_attempt(struct retry_budget *budget);

/* Takes one retry; returns 0 if none is left and nothing may be sent. */
int retry_budget_take(struct retry_budget *budget);

#endif
