#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>

#include "base/counter.h"

/*
 * Durations in buckets, in the usual text exposition format:
 * NAME_bucket{le="0.1"} with bounds in seconds, NAME_sum_us and NAME_count.
 */
#define HISTOGRAM_BUCKETS 14

struct histogram {
	struct counter *buckets[HISTOGRAM_BUCKETS + 1]; /* the last: +Inf */
	struct counter *sum_us;
	struct counter *count;
};

/* `labels` is "" or like `route="x"`. */
void histogram_init(struct histogram *histogram, struct counter_set *set,
		    const char *name, const char *labels);
void histogram_add(struct histogram *histogram, int64_t duration_ns);

#endif
