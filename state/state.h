#ifndef STATE_STATE_H
#define STATE_STATE_H

#include <stdint.h>

#include "base/error.h"
#include "proto/record.pb-c.h"
#include "state/config.h"

/*
 * All that is derived from the log: configuration, verdicts on commands,
 * leases, usage windows, published weight versions and quarantines.
 * state_apply_entry() is deterministic: the same entries in offset order
 * give the same state on every daemon. The caller excludes other threads.
 */
#define POSITION_INDEX_BITS 12
#define MAX_BATCH_RECORDS ((1 << POSITION_INDEX_BITS) - 1)

/* `index` counts from 1 within the entry, so that no position is 0. */
static inline uint64_t position_make(uint64_t offset, uint32_t index)
{
	return offset << POSITION_INDEX_BITS | index;
}

static inline uint64_t position_offset(uint64_t position)
{
	return position >> POSITION_INDEX_BITS;
}

struct state;

struct verdict {
	char id[NAME_BYTES];
	int accepted;
	uint64_t position;
	struct error error; /* why it was rejected */
};

struct lease {
	char name[NAME_BYTES];
	char holder[NAME_BYTES]; /* "": released */
	uint64_t holder_incarnation;
	uint64_t epoch; /* fencing number: rises with each new holder */
	uint64_t position; /* of the last accepted record of this lease */
	uint64_t duration_ms;
	uint64_t epoch_position; /* of the claim that began the epoch */
};

struct usage_figure {
	char team[NAME_BYTES];
	char route[NAME_BYTES];
	char data_centre[NAME_BYTES];
	char backend_class[16];
	uint64_t requests;
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	uint64_t backend_us;
	uint64_t late_requests; /* of earlier windows, billed in this one */
};

struct usage_window {
	uint64_t start_s;
	char partition[NAME_BYTES];
	int closed;
	int acknowledged;
	uint64_t close_position;
	struct usage_figure *figures;
	uint32_t figure_count;
};

/* Late sums of closed windows, which the next close of the partition bills. */
struct usage_carry {
	char partition[NAME_BYTES];
	int has_closed;
	uint64_t newest_closed_s;
	struct usage_figure *figures;
	uint32_t figure_count;
};

/* What was passed over, and what bounds refused. */
struct state_counts {
	uint64_t entries;
	uint64_t records;
	uint64_t repeats; /* records that were applied before */
	uint64_t unknown_kinds; /* written by a newer version */
	uint64_t broken_entries; /* bytes that are no record batch */
	uint64_t invalid_records; /* without a valid origin */
	uint64_t refused_full; /* a table had reached its bound */
};

/*
 * Told of each record after it was applied, repeats left out; may be NULL.
 * `accepted` is 0 for a rejected command, a lease claim based on an old
 * position, a close that came second and whatever a full table refused.
 */
struct state_observer {
	void (*applied)(struct state_observer *observer,
			const Currant__Record *record, uint64_t position,
			int accepted, const struct error *why);
	/*
	 * A snapshot took the place of the records up to it, which are not
	 * shown; may be NULL.
	 */
	void (*restored)(struct state_observer *observer,
			 const struct state *state);
};

struct state *state_new(void);
void state_free(struct state *state);
void state_set_observer(struct state *state, struct state_observer *observer);

/*
 * Applies the entry at `offset`. Offsets at or below the last applied one
 * are ignored. Bytes that are no record batch are counted and passed over.
 * Returns -1 if entries are missing before it that no snapshot covers.
 */
int state_apply_entry(struct state *state, uint64_t offset, const void *data,
		      size_t len, struct error *err);

/* Next offset that state_apply_entry() expects. */
uint64_t state_next_offset(const struct state *state);
const struct config *state_config(const struct state *state);
void state_counts(const struct state *state, struct state_counts *out);

/* Newest sequence applied of a writer's incarnation; 0 if none is known. */
uint64_t state_newest_sequence(const struct state *state, const char *writer,
			       uint64_t incarnation);

/* Finds the verdict on a command id; -1 if the log does not hold it yet. */
int state_verdict(const struct state *state, const char *id,
		  struct verdict *out);
const struct lease *state_lease(const struct state *state, const char *name);
uint32_t state_leases(const struct state *state, const struct lease **first);
const struct usage_window *state_usage_window(const struct state *state,
					      const char *partition,
					      uint64_t start_s);
uint32_t state_usage_windows(const struct state *state,
			     const struct usage_window **first);

/* One carry for each partition that has had a partial sum or a close. */
uint32_t state_usage_carries(const struct state *state,
			     const struct usage_carry **first);

/* Calls `fn` for each pool that has a published weight version. */
void state_each_weight(const struct state *state,
		       void (*fn)(void *arg, const char *pool,
				  uint64_t version),
		       void *arg);

/* Calls `fn` for each request that is or was refused everywhere. */
void state_each_quarantine(const struct state *state,
			   void (*fn)(void *arg, uint64_t fingerprint,
				      uint64_t until_wall_ms),
			   void *arg);

/* Newest published weight version of a pool; 0 if none. */
uint64_t state_weight_version(const struct state *state, const char *pool);

/* Whether requests with this fingerprint are refused everywhere. */
int state_quarantined(const struct state *state, uint64_t fingerprint,
		      uint64_t wall_ms);

#endif
