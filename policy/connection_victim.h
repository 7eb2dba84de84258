#ifndef POLICY_CONNECTION_VICTIM_H
#define POLICY_CONNECTION_VICTIM_H

#include <stdint.h>

#include "base/clock.h"

/*
 * Selects the connection to close when connections or their memory reach a
 * limit. Load pattern: a crowd of clients opens many connections and stays on
 * them: silent, in the middle of a head or a body, or without reading the
 * answer. Each of them looks like an ordinary caller at first, and the limit is
 * full when ordinary callers arrive. Ordinary callers send and read at the pace
 * of their network, so the crowd is what has made least progress for the time
 * that it took. A connection whose complete request waits for its answer is
 * never selected: its request may be running. Pure functions.
 */

/* Progress at this rate makes up for the time that it takes. */
#define CONNECTION_PROGRESS_BYTES_PER_S 65536

/* Shorter lags come about while the host itself is busy. */
#define CONNECTION_LAG_MIN_NS (250 * NS_PER_MS)
/*
 * Added to the time and bytes of a connection's rate, so that a connection that
 * has just begun isn't the slowest.
 */
#define CONNECTION_RATE_MARGIN_NS (10 * NS_PER_MS)
#define CONNECTION_RATE_MARGIN_BYTES 65536

/*
 * How far a connection lags behind that rate. Progress isn't saved up: a body
 * that came fast and then stops lags from that moment on.
 */
struct connection_pace {
	int64_t began_ns;
	uint64_t moved_bytes; /* since then */
	int64_t lag_ns; /* at `updated_ns`; not negative */
	int64_t updated_ns;
};

/* A silence, a request or an answer begins. */
void connection_pace_begin(struct connection_pace *pace, int64_t now_ns);
void connection_pace_moved(struct connection_pace *pace, uint64_t bytes,
			   int64_t now_ns);
int64_t connection_lag_ns(const struct connection_pace *pace, int64_t now_ns);

struct connection_progress {
	int is_waiting; /* for the answer to a complete request */
	struct connection_pace pace;
	uint64_t held_bytes; /* memory */
};

/* Index of the connection that gives way to a new one; -1: none does. */
int32_t connection_victim_for_slot(const struct connection_progress *list,
				   uint32_t count, int64_t now_ns);

/*
 * Index of the connection whose memory is freed for the others: the one that
 * holds most for the longest time without progress or, while none lags, the one
 * that has been slowest. -1: none can be.
 */
int32_t connection_victim_for_memory(const struct connection_progress *list,
				     uint32_t count, int64_t now_ns);

#endif
