#include "policy/choice_sample.h"

void choice_sample_begin(struct choice_sample *sample, uint32_t limit)
{
	sample->limit = limit;
	sample->count = 0;
	sample->last = 0;
}

static void find_last(struct choice_sample *sample)
{
	sample->last = 0;
	for (uint32_t i = 1; i < sample->count; i++)
		if (sample->ranks[i] > sample->ranks[sample->last])
			sample->last = i;
}

int32_t choice_sample_place(struct choice_sample *sample, uint64_t rank)
{
	uint32_t place = sample->last;

	if (sample->count < sample->limit) {
		place = sample->count++;
		sample->ranks[place] = rank;
		if (rank > sample->ranks[sample->last])
			sample->last = place;
		return (int32_t)place;
	}
	if (rank >= sample->ranks[place])
		return -1;
	sample->ranks[place] = rank;
	find_last(sample);
	return (int32_t)place;
}
