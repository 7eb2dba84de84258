#ifndef POLICY_PARTITION_OWNER_H
#define POLICY_PARTITION_OWNER_H

#include <stdint.h>

/*
 * Who runs the items of a partition. Load pattern: few partitions have
 * batches at a time, each for one model, and a trainer's next batch comes
 * seconds after its last; so an owner stays as long as it lives, and keeps
 * its connections and its knowledge of the engines. Ownership is a hint:
 * correctness rests on the order of the log. Pure.
 */
struct owner_candidate {
	const char *name;
	uint32_t cpu_milli; /* thousandths of a core */
	int takes_calls; /* alive, ready and not leaving */
};

/*
 * Index of the candidate that is to own the partition, by weighted rendezvous
 * hashing; -1 if none takes calls. The larger part of a core a host has, the
 * more partitions it gets.
 */
int32_t partition_owner_rank(const struct owner_candidate *candidates,
			     uint32_t count, uint32_t partition);

/* How many candidates come before `name` by that rank. */
uint32_t partition_owner_position(const struct owner_candidate *candidates,
				  uint32_t count, uint32_t partition,
				  const char *name);

struct owner_view {
	int is_ready; /* this host */
	int owner_is_self; /* by the log, and this very process */
	int owner_is_alive; /* by its notices, and not leaving */
	int is_first; /* this host is the one by rank */
	int has_new_batch; /* this host has just accepted one there */
	uint32_t own_cpu_milli;
	uint32_t best_cpu_milli; /* of all hosts that take calls */
};

/* Whether to claim the partition now. */
int partition_owner_claims(const struct owner_view *view);

#endif
