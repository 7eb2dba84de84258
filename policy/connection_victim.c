#include "policy/connection_victim.h"

void connection_pace_begin(struct connection_pace *pace, int64_t now_ns)
{
	pace->began_ns = now_ns;
	pace->moved_bytes = 0;
	pace->lag_ns = 0;
	pace->updated_ns = now_ns;
}

void connection_pace_moved(struct connection_pace *pace, uint64_t bytes,
			   int64_t now_ns)
{
	double made_up_ns = (double)bytes * (double)NS_PER_S /
			    CONNECTION_PROGRESS_BYTES_PER_S;
	double lag_ns = (double)connection_lag_ns(pace, now_ns) - made_up_ns;

	pace->moved_bytes += bytes;
	pace->lag_ns = lag_ns > 0 ? (int64_t)lag_ns : 0;
	pace->updated_ns = now_ns;
}

int64_t connection_lag_ns(const struct connection_pace *pace, int64_t now_ns)
{
	return pace->lag_ns + now_ns - pace->updated_ns;
}

int32_t connection_victim_for_slot(const struct connection_progress *list,
				   uint32_t count, int64_t now_ns)
{
	int64_t most_ns = -1;
	int32_t victim = -1;

	for (uint32_t i = 0; i < count; i++) {
		int64_t lag_ns = connection_lag_ns(&list[i].pace, now_ns);

		if (list[i].is_waiting || lag_ns <= most_ns)
			continue;
		most_ns = lag_ns;
		victim = (int32_t)i;
	}
	return victim;
}

/* Positive for a connection that lags, negative for others. */
static double memory_score(const struct connection_progress *progress,
			   int64_t now_ns)
{
	const struct connection_pace *pace = &progress->pace;
	int64_t lag_ns = connection_lag_ns(pace, now_ns);
	int64_t taken_ns = now_ns - pace->began_ns + CONNECTION_RATE_MARGIN_NS;

	if (lag_ns >= CONNECTION_LAG_MIN_NS)
		return (double)lag_ns * (double)progress->held_bytes;
	return -(double)(pace->moved_bytes + CONNECTION_RATE_MARGIN_BYTES) /
	       (double)taken_ns;
}

int32_t connection_victim_for_memory(const struct connection_progress *list,
				     uint32_t count, int64_t now_ns)
{
	double most = 0;
	int32_t victim = -1;

	for (uint32_t i = 0; i < count; i++) {
		double score;

		if (list[i].is_waiting || !list[i].held_bytes)
			continue;
		score = memory_score(&list[i], now_ns);
		if (victim >= 0 && score <= most)
			continue;
		most = score;
		victim = (int32_t)i;
	}
	return victim;
}
