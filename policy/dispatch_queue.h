#ifndef POLICY_DISPATCH_QUEUE_H
#define POLICY_DISPATCH_QUEUE_H

#include <stdint.h>

#include "state/config.h"

/*
 * Bounded queue of admitted requests for which no backend server has room yet.
 * Order: latency-bound requests first; then the team that has received the
 * least service for its weight (start-time fair queueing by tokens); within a
 * team the oldest request. On overflow the lowest-ranked request is returned
 * for rejection. Not thread-safe: protected by a shard lock.
 */

enum dispatch_part {
	DISPATCH_NO_PRIORITIES = 1,
	DISPATCH_NO_FAIRNESS = 2,
};

/* Embedded in the caller's request; the caller sets the first fields. */
struct dispatch_entry {
	const char *team; /* must stay valid while the entry is queued */
	uint32_t weight; /* the team's share; 0 counts as 1 */
	int latency_bound;
	double tokens; /* expected, of this request */
	int64_t queued_at_ns; /* for a retry: when first queued */
	void *owner;

	uint64_t arrival; /* private from here on */
	uint32_t slot;
	struct dispatch_team *queued_in;
};

struct dispatch_team {
	uint64_t name_hash;
	char name[NAME_BYTES];
	uint32_t weight;
	double start_tag; /* virtual start time of its next request */
	double queued_tokens;
	struct dispatch_entry **heap;
	uint32_t count;
	uint32_t alloc;
};

/* Teams of one class of requests. */
struct dispatch_class {
	struct dispatch_team **teams;
	uint32_t team_count;
	uint32_t team_alloc;
	double virtual_time; /* start tag of the request served last */
};

struct dispatch_queue {
	struct dispatch_class classes[2]; /* latency-bound, batch */
	uint32_t count;
	uint32_t max_count;
	uint32_t disabled_parts; /* bits of enum dispatch_part */
	uint64_t arrivals;
	double queued_tokens;
};

void dispatch_queue_init(struct dispatch_queue *queue, uint32_t max_count);

/* Frees the queue's own memory; entries still queued belong to the caller. */
void dispatch_queue_finish(struct dispatch_queue *queue);

/*
 * Queues the entry. Returns NULL, or, if the queue is full, the entry to be
 * rejected, which is no longer queued and may be `entry` itself.
 */
struct dispatch_entry *dispatch_queue_push(struct dispatch_queue *queue,
					   struct dispatch_entry *entry);

/* Returns the next entry and leaves it queued; NULL if empty. */
struct dispatch_entry *dispatch_queue_peek(const struct dispatch_queue *queue);

/* Removes the next entry and charges its team for it; NULL if empty. */
struct dispatch_entry *dispatch_queue_pop(struct dispatch_queue *queue);

/*
 * Removes the next entry of the next team whose entry `allowed` accepts, so
 * that a team at its limit does not block others. NULL if there is none.
 */
struct dispatch_entry *dispatch_queue_pop_allowed(
	struct dispatch_queue *queue,
	int (*allowed)(void *arg, const struct dispatch_entry *entry),
	void *arg);

/* Removes a cancelled entry, which must be queued. */
void dispatch_queue_remove(struct dispatch_queue *queue,
			   struct dispatch_entry *entry);

int dispatch_entry_queued(const struct dispatch_entry *entry);

/* Corrects the charge of a team once the actual number of tokens is known. */
void dispatch_queue_charge(struct dispatch_queue *queue, const char *team,
			   int latency_bound, double more_tokens);

/* Expected tokens of the team's queued batch requests. */
double dispatch_queue_team_tokens(const struct dispatch_queue *queue,
				  const char *team);

#endif
