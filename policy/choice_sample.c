#include "policy/choice_sample.h"

void choice_sample_begin(struct choice_sample *sample, uint32_t limit)
{
	sample->limit = limit;
	sample->count = 0;
	sample->highest = 0;
}

static void find_highest(struct choice_sample *sample)
{
	sample->highest = 0;
	for (uint32_t i = 1; i < sample->count; i++)
		if (sample->ranks[i] > sample->ranks[sample->highest])
			sample->highest = i;
}

int32_t choice_sample_offer(struct choice_sample *sample, uint64_t rank)
{
	uint32_t slot = sample->highest;

	if (sample->count < sample->limit) {
		slot = sample->count++;
		sample->ranks[slot] = rank;
		if (rank > sample->ranks[sample->highest])
			sample->highest = slot;
		return (int32_t)slot;
	}
	if (rank >= sample->ranks[slot])
		return -1;
	sample->ranks[slot] = rank;
	find_highest(sample);
	return (int32_t)slot;
}
