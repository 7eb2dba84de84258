#include "policy/item_move.h"

#include "base/clock.h"

/*
 * A new connection, waiting for the engine's next step, and prefill of prompt
 * and generated text.
 */
#define MOVE_COST_NS (30.0 * NS_PER_MS)
/* Smaller gains are within the error of the estimates. */
#define GAIN_MIN_NS (150.0 * NS_PER_MS)
#define GAIN_MIN_FRACTION 0.2

double item_move_gain_ns(const struct item_move *move)
{
	double remaining_ns = move->tokens_left * move->current_token_ns;
	double gain_ns = remaining_ns -
			 move->tokens_left * move->target_token_ns -
			 MOVE_COST_NS;

	if (gain_ns < GAIN_MIN_NS || gain_ns < GAIN_MIN_FRACTION * remaining_ns)
		return 0;
	return gain_ns;
}
