#include "base/histogram.h"

#include <stdio.h>

#include "base/clock.h"

static const double bounds_s[HISTOGRAM_BUCKETS] = {
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
	0.25,  0.5,    1,     2.5,  5,	   10,	 30,
};

static struct counter *get(struct counter_set *set, const char *name,
			   const char *suffix, const char *labels,
			   const char *le)
{
	char full[COUNTER_NAME_MAX];
	const char *comma = *labels && *le ? "," : "";

	if (*labels || *le)
		snprintf(full, sizeof(full), "%s_%s{%s%s%s}", name, suffix,
			 labels, comma, le);
	else
		snprintf(full, sizeof(full), "%s_%s", name, suffix);
	return counter_get(set, full);
}

void histogram_init(struct histogram *histogram, struct counter_set *set,
		    const char *name, const char *labels)
{
	char le[32];

	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		snprintf(le, sizeof(le), "le=\"%g\"", bounds_s[i]);
		histogram->buckets[i] = get(set, name, "bucket", labels, le);
	}
	histogram->buckets[HISTOGRAM_BUCKETS] =
		get(set, name, "bucket", labels, "le=\"+Inf\"");
	histogram->sum_us = get(set, name, "sum_us", labels, "");
	histogram->count = get(set, name, "count", labels, "");
}

void histogram_add(struct histogram *histogram, int64_t duration_ns)
{
	double duration_s = (double)duration_ns / NS_PER_S;

	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++)
		if (duration_s <= bounds_s[i])
			counter_add(histogram->buckets[i], 1);
	counter_add(histogram->buckets[HISTOGRAM_BUCKETS], 1);
	counter_add(histogram->sum_us, duration_ns / NS_PER_US);
	counter_add(histogram->count, 1);
}
