#include "policy/item_move.h"

#include "base/clock.h"

/* A new connection, a place in the engine's steps, prompt and text read. */
#define MOVE_COST_NS (30.0 * NS_PER_MS)
/* Below this the estimates are worth less than the change. */
#define GAIN_MIN_NS (150.0 * NS_PER_MS)
#define GAIN_MIN_PART 0.2

double item_move_gain_ns(const struct item_move *move)
{
	double rest_ns = move->tokens_left * move->here_ns;
	double gain_ns =
		rest_ns - move->tokens_left * move->there_ns - MOVE_COST_NS;

	if (gain_ns < GAIN_MIN_NS || gain_ns < GAIN_MIN_PART * rest_ns)
		return 0;
	return gain_ns;
}
