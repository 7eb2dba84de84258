#include <string.h>

#include "policy/circuit.h"

#include "base/backoff.h"
#include "base/clock.h"

#define FIRST_OPEN_NS (NS_PER_S / 2)
#define MAX_OPEN_NS (32 * NS_PER_S)
#define PROBE_TIMEOUT_NS (10 * NS_PER_S)
/*
 * As after a first failure: a step of a trainer tolerates the loss of that much
 * time.
 */
#define LAST_RESORT_DELAY_NS FIRST_OPEN_NS

void circuit_init(struct circuit *circuit)
{
	memset(circuit, 0, sizeof(*circuit));
}

int circuit_allows(const struct circuit *circuit, int64_t now_ns)
{
	switch (circuit->state) {
	case CIRCUIT_CLOSED:
		return 1;
	case CIRCUIT_OPEN:
		return now_ns >= circuit->retry_at_ns;
	case CIRCUIT_HALF_OPEN:
		break;
	}
	return now_ns >= circuit->probe_until_ns;
}

int circuit_allows_last_resort(const struct circuit *circuit, int64_t now_ns)
{
	return circuit_allows(circuit, now_ns) ||
	       (circuit->state == CIRCUIT_OPEN &&
		now_ns - circuit->opened_ns >= LAST_RESORT_DELAY_NS);
}

int circuit_begin(struct circuit *circuit, int64_t now_ns)
{
	if (!circuit_allows(circuit, now_ns))
		return 0;
	if (circuit->state == CIRCUIT_CLOSED)
		return 1;
	circuit->state = CIRCUIT_HALF_OPEN;
	circuit->probe_until_ns = now_ns + PROBE_TIMEOUT_NS;
	return 1;
}

int circuit_begin_last_resort(struct circuit *circuit, int64_t now_ns)
{
	if (!circuit_allows_last_resort(circuit, now_ns))
		return 0;
	if (circuit->state == CIRCUIT_OPEN)
		circuit->retry_at_ns = now_ns;
	return circuit_begin(circuit, now_ns);
}

void circuit_succeeded(struct circuit *circuit)
{
	/*
	 * A response to a request sent before the failures does not show the
	 * current state.
	 */
	if (circuit->state == CIRCUIT_OPEN)
		return;
	circuit_init(circuit);
}

void circuit_answered(struct circuit *circuit)
{
	if (circuit->state == CIRCUIT_HALF_OPEN)
		circuit_succeeded(circuit);
}

void circuit_failed(struct circuit *circuit, struct rng *rng, int64_t now_ns)
{
	int64_t open_ns;

	circuit->failures++;
	if (circuit->state == CIRCUIT_OPEN)
		return;
	if (circuit->state == CIRCUIT_CLOSED &&
	    circuit->failures < CIRCUIT_FAILURES_TO_OPEN)
		return;
	open_ns = backoff_ns(FIRST_OPEN_NS, MAX_OPEN_NS, circuit->openings);
	circuit->openings++;
	circuit->state = CIRCUIT_OPEN;
	circuit->opened_ns = now_ns;
	/* Jittered, so that daemons do not all probe at once. */
	circuit->retry_at_ns =
		now_ns + open_ns +
		(int64_t)rng_below(rng, (uint64_t)open_ns / 4 + 1);
}

void circuit_cancelled(struct circuit *circuit, int64_t now_ns)
{
	if (circuit->state != CIRCUIT_HALF_OPEN)
		return;
	circuit->state = CIRCUIT_OPEN;
	circuit->retry_at_ns = now_ns;
}
