#ifndef LEASE_LEASE_KEEPER_H
#define LEASE_LEASE_KEEPER_H

#include "base/timer.h"
#include "lease/lease.h"
#include "state/log_client.h"

/*
 * Claims and renews the requested leases by appending records to the log, on
 * the timer service. Thread-safe, but must not be called from within
 * log_client_with_state() or an observer: the keeper calls the log client
 * while it holds its own lock.
 */
#define LEASE_KEEPER_MAX 128 /* leases */

/* Describes a lease that is held. */
struct lease_hold {
	uint64_t epoch; /* fencing token */
	uint64_t position; /* log position of this daemon's newest claim */
	int64_t deadline_ns; /* CLOCK_BOOTTIME; no order is sent from then on */
};

struct lease_entry {
	char name[NAME_BYTES];
	int is_requested; /* claimed and renewed, else released */
	struct lease_claimant claimant;
	struct log_waiter waiter;
};

struct lease_keeper {
	struct log_client *client;
	struct clock *clock;
	struct timer_service *timers;
	struct timer timer;
	struct log_part log;
	struct lease_timing timing;
	pthread_mutex_t lock;
	struct lease_entry entries[LEASE_KEEPER_MAX];
	uint32_t count;
};

/*
 * The caller keeps ownership of `client`, `clock` and `timers`. `clock` must be
 * the system clock.
 */
void lease_keeper_init(struct lease_keeper *keeper, struct log_client *client,
		       struct clock *clock, struct timer_service *timers,
		       const struct lease_timing *timing,
		       const struct log_part *log);

/* Stops claiming; leases that are held expire. */
void lease_keeper_finish(struct lease_keeper *keeper);

/*
 * Starts claiming `name`; claims other than renewals are delayed by
 * `extra_wait_ns` beyond the required wait. A further call updates that delay.
 * ERROR_FULL if there are LEASE_KEEPER_MAX leases already.
 */
int lease_keeper_request(struct lease_keeper *keeper, const char *name,
			 int64_t extra_wait_ns, struct error *err);

/*
 * Stops claiming and releases all leases, for a graceful shutdown: waits up to
 * 2 s until the releases are in the log. No order under these leases may be in
 * flight, since a successor does not wait for expiry after a release.
 */
void lease_keeper_release_all(struct lease_keeper *keeper);

/* Returns whether this daemon holds `name` at `now_ns`; fills `out` if so. */
int lease_keeper_held(struct lease_keeper *keeper, const char *name,
		      int64_t now_ns, struct lease_hold *out);

/*
 * Returns an extra wait for lease_keeper_request(), derived from a hash, that
 * staggers the daemons over one lease duration. Daemons that are not `near`,
 * for example in another data centre, wait two durations more.
 */
int64_t lease_keeper_spread_ns(const struct lease_keeper *keeper,
			       const char *name, int near);

/* Runs one round over all leases; called by the timer. */
void lease_keeper_tick(struct lease_keeper *keeper);

#endif
