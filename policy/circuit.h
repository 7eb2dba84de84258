#ifndef POLICY_CIRCUIT_H
#define POLICY_CIRCUIT_H

#include <stdint.h>

#include "base/rng.h"

/*
 * Circuit breaker of one backend server. Consecutive failures open it; after a
 * backoff that doubles with each failed probe, one request is let through as a
 * probe, and its outcome closes the circuit or opens it again. Not thread-safe:
 * protected by the server's shard lock.
 */
#define CIRCUIT_FAILURES_TO_OPEN 3

enum circuit_state { CIRCUIT_CLOSED = 0, CIRCUIT_OPEN, CIRCUIT_HALF_OPEN };

struct circuit {
	enum circuit_state state;
	uint32_t failures; /* consecutive */
	uint32_t openings; /* consecutive, without a success in between */
	int64_t opened_ns;
	int64_t retry_at_ns; /* earliest time of a probe */
	int64_t probe_until_ns; /* a probe without an outcome is lost then */
};

void circuit_init(struct circuit *circuit);

/*
 * Whether a request may be sent now; if the circuit is half open, as a probe.
 */
int circuit_allows(const struct circuit *circuit, int64_t now_ns);

/*
 * Whether a request may be sent although all other servers fail, too. An outage
 * that cut off all servers ends for all at once, and the backoffs of their
 * circuits must not outlast it.
 */
int circuit_allows_last_resort(const struct circuit *circuit, int64_t now_ns);

/*
 * Records that a request is being sent, with the second function also as the
 * last resort. Returns 0 if it must not be sent because another thread has
 * started the probe.
 */
int circuit_begin(struct circuit *circuit, int64_t now_ns);
int circuit_begin_last_resort(struct circuit *circuit, int64_t now_ns);

/* The server responded, even if it rejected the request. */
void circuit_succeeded(struct circuit *circuit);

/*
 * The server answered, but did not do what was requested. Closes the circuit if
 * it is half open; unlike a success, it clears no failures of a closed one.
 */
void circuit_answered(struct circuit *circuit);

/* The connection failed or was cut, or the server did not respond in time. */
void circuit_failed(struct circuit *circuit, struct rng *rng, int64_t now_ns);

/* A request was cancelled before it had an outcome; another one may probe. */
void circuit_cancelled(struct circuit *circuit, int64_t now_ns);

#endif
