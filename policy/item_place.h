#ifndef POLICY_ITEM_PLACE_H
#define POLICY_ITEM_PLACE_H

#include <stdint.h>

/*
 * Chooses the engine for an item. Load pattern: an engine generates tokens for
 * all its runs in steps that take longer the more runs there are, so the last
 * long items of a step end sooner where few others run. An item is placed where
 * it is expected to end first. Pure functions.
 */
struct place_engine {
	int usable; /* has suitable weights, accepts work, has room */
	uint32_t slots;
	uint32_t running; /* estimated */
	uint32_t waiting; /* queued at the engine */
	double memory_tokens; /* free KV cache */
	double speed; /* measured, relative to a normal engine; 1 if unknown */
	int same_data_centre;
	int holds_prefix; /* recently ran another item of the group */
	int cheap; /* may be evicted */
	int failed_before; /* the item's last attempt failed there */
	int cold; /* it has just started */
};

struct place_item {
	double tokens_left;
	double memory_tokens; /* prompt and expected output */
	int needs_dear; /* must not be evicted */
};

/* Index of the engine, or -1 if none is suitable. */
int32_t item_place(const struct place_engine *engines, uint32_t count,
		   const struct place_item *item);

/* Time of a step with `running` runs, relative to a step with one. */
double place_step_time(uint32_t running);

/* Time of a token at this engine in the same unit, given its speed. */
double place_token_time(const struct place_engine *engine, uint32_t running);

#endif
