#include "policy/observed_speed.h"

#include "policy/choice.h"

#define OBSERVED_EWMA_WEIGHT 0.2
#define DECAY_WEIGHT 0.02

void observed_speed_init(struct observed_speed *speed,
			 double nominal_tokens_per_s)
{
	speed->tokens_per_s = nominal_tokens_per_s;
	speed->nominal_tokens_per_s = nominal_tokens_per_s;
}

void observed_speed_add(struct observed_speed *speed, double tokens_per_s,
			uint32_t batch, uint32_t capacity)
{
	struct server_view view = { .capacity = capacity, .tokens_per_s = 1 };
	double alone = tokens_per_s / choice_speed(&view, batch);

	if (alone > speed->nominal_tokens_per_s)
		alone = speed->nominal_tokens_per_s;
	speed->tokens_per_s +=
		OBSERVED_EWMA_WEIGHT * (alone - speed->tokens_per_s);
}

void observed_speed_decay(struct observed_speed *speed)
{
	speed->tokens_per_s += DECAY_WEIGHT * (speed->nominal_tokens_per_s -
					       speed->tokens_per_s);
}
