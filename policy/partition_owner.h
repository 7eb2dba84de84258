#ifndef POLICY_PARTITION_OWNER_H
#define POLICY_PARTITION_OWNER_H

#include <stdint.h>

/*
 * Chooses the host that runs the items of a partition. Load pattern: few
 * partitions have batches at a time, each for one model, and a trainer's next
 * batch arrives seconds after its last; so an owner keeps the partition as long
 * as it is alive, and with it its connections and its state of the engines.
 * Ownership is a hint: correctness depends on the order of the log. Pure
 * functions.
 */
struct owner_candidate {
	const char *name;
	uint32_t cpu_milli; /* thousandths of a core */
	int takes_calls; /* alive, ready and not leaving */
};

/*
 * Index of the preferred owner of the partition, by weighted rendezvous
 * hashing; -1 if no candidate takes calls. The more processor a host has, the
 * more partitions it gets.
 */
int32_t partition_owner_rank(const struct owner_candidate *candidates,
			     uint32_t count, uint32_t partition);

/* Number of candidates that precede `name` in that ranking. */
uint32_t partition_owner_position(const struct owner_candidate *candidates,
				  uint32_t count, uint32_t partition,
				  const char *name);

/*
 * Clears `takes_calls` of hosts that have too little processor, compared with
 * the largest one, to run the batches of a model: each event of each run passes
 * through the owner.
 */
void partition_owner_drop_weak(struct owner_candidate *candidates,
			       uint32_t count);

struct owner_view {
	int is_ready; /* this host */
	int owner_is_self; /* this process, according to the log */
	int owner_is_alive; /* according to its notices, and not leaving */
	int is_first; /* this host ranks first */
	int has_new_batch; /* this host has just accepted a batch there */
	uint32_t own_cpu_milli;
	uint32_t best_cpu_milli; /* of all hosts that take calls */
};

/* Whether this host should claim the partition now. */
int partition_owner_claims(const struct owner_view *view);

#endif
