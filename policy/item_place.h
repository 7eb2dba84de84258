#ifndef POLICY_ITEM_PLACE_H
#define POLICY_ITEM_PLACE_H

#include <stdint.h>

/*
 * At which engine an item runs. Load pattern: an engine makes tokens for all
 * its runs in steps that take longer the more runs there are, so the last
 * long items of a step end sooner where few others run. An item goes where
 * its rest is expected to end first. Pure.
 */
struct place_engine {
	int usable; /* has fitting weights, takes work, has room */
	uint32_t slots;
	uint32_t running; /* runs there, as far as known */
	uint32_t waiting; /* behind them */
	double memory_tokens; /* free */
	double speed; /* observed, relative to a sound engine; 1 if unknown */
	int same_data_centre;
	int holds_prefix; /* ran another item of the group lately */
	int cheap; /* may be taken away */
	int failed_it; /* the item's last run failed there */
};

struct place_item {
	double tokens_left;
	double memory_tokens; /* prompt and expected output */
	int needs_dear; /* must not be lost */
};

/* Index of the engine, or -1 if none has room. */
int32_t item_place(const struct place_engine *engines, uint32_t count,
		   const struct place_item *item);

/* Time of a step with `running` runs, relative to that of a single one. */
double place_step_time(uint32_t running);

/* The same of a token at this engine, by its speed. */
double place_token_time(const struct place_engine *engine, uint32_t running);

#endif
