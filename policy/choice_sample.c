#include "policy/choice_sample.h"

void choice_sample_begin(struct choice_sample *sample, uint32_t limit)
{
	sample->limit = limit;
	sample->count = 0;
	sample->offered = 0;
}

int32_t choice_sample_place(struct choice_sample *sample, struct rng *rng)
{
	uint64_t place = sample->offered++;

	if (sample->count < sample->limit)
		return (int32_t)sample->count++;
	place = rng_below(rng, place + 1);
	return place < sample->limit ? (int32_t)place : -1;
}
