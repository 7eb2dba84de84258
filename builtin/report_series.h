#ifndef BUILTIN_REPORT_SERIES_H
#define BUILTIN_REPORT_SERIES_H

#include "builtin/log_lines.h"

/* What is counted over time in the lines of daemons. */
enum report_series {
	SERIES_ANSWERED = 0, /* single requests */
	SERIES_REFUSED, /* not run */
	SERIES_UNKNOWN, /* given up, and may have run */
	SERIES_DENIED,
	SERIES_BATCHES,
	SERIES_BATCHES_REFUSED,
	SERIES_RUNS, /* of items, begun */
	SERIES_ITEMS, /* complete */
	SERIES_RUNS_LOST, /* cut off, failed or moved */
	SERIES_RUNNING, /* items at the bucket's end */
	SERIES_STORE_LOST, /* hosts without the store at the bucket's end */
	SERIES_VERSION, /* highest weight version that was named */
	SERIES_COUNT,
};

const char *report_series_name(enum report_series series);

struct report_bucket {
	int64_t values[SERIES_COUNT];
};

struct report {
	int64_t from_ms; /* wall clock of the first line */
	int64_t bucket_ms;
	struct report_bucket *buckets;
	size_t count;
};

void report_init(struct report *report, const struct log_lines *lines,
		 int64_t bucket_ms);
void report_finish(struct report *report);

/* Writes plots as one SVG; -1 if the file can't be written, errno says why. */
int report_write_svg(const struct report *report, const char *path);

#endif
