#ifndef POLICY_CIRCUIT_H
#define POLICY_CIRCUIT_H

#include <stdint.h>

#include "base/rng.h"

/*
 * Circuit breaker of one backend server. Consecutive failures open it; after
 * a while that doubles with each failed probe, one request is let through,
 * and its outcome closes or opens it again. Not thread-safe: the server's
 * shard lock covers it.
 */
#define CIRCUIT_FAILURES_TO_OPEN 3

enum circuit_state { CIRCUIT_CLOSED = 0, CIRCUIT_OPEN, CIRCUIT_HALF_OPEN };

struct circuit {
	enum circuit_state state;
	uint32_t failures; /* in a row */
	uint32_t openings; /* in a row, without a success between */
	int64_t opened_ns;
	int64_t retry_at_ns; /* when a probe may go */
	int64_t probe_until_ns; /* a probe without an outcome counts as lost */
};

void circuit_init(struct circuit *circuit);

/* Whether a request may be sent now; for a half-open one: as the probe. */
int circuit_allows(const struct circuit *circuit, int64_t now_ns);

/*
 * Whether one may be sent where all other servers fail, too. What cut off all
 * servers for long is over at once, and the waiting times of their circuits
 * must not outlast it.
 */
int circuit_allows_last_resort(const struct circuit *circuit, int64_t now_ns);

/*
 * Tells that a request is sent now, the second one also as the last resort.
 * Returns 0 if it may not be: a probe that another thread took first.
 */
int circuit_begin(struct circuit *circuit, int64_t now_ns);
int circuit_begin_last_resort(struct circuit *circuit, int64_t now_ns);

/* The server answered, be it with a refusal of its own. */
void circuit_succeeded(struct circuit *circuit);

/* The connection failed or was cut, or the server did not answer in time. */
void circuit_failed(struct circuit *circuit, struct rng *rng, int64_t now_ns);

/* A request was withdrawn before it had an outcome; another may probe. */
void circuit_withdrawn(struct circuit *circuit, int64_t now_ns);

#endif
