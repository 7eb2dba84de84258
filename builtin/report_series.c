#include "builtin/report_series.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Longer spans are cut: a report is of hours. */
#define BUCKETS_MAX 100000

const char *report_series_name(enum report_series series)
{
	static const char *const names[SERIES_COUNT] = {
		"answered",  "refused",	  "unknown",  "denied",
		"batches",   "batch_ref", "runs",     "items",
		"runs_lost", "running",	  "no_store", "version",
	};

	return names[series];
}

/* A line that counts once in a series. */
struct counted {
	const char *part;
	const char *event;
	enum report_series series;
};

static const struct counted counted[] = {
	{ "forward", "answered", SERIES_ANSWERED },
	{ "callers", "denied", SERIES_DENIED },
	{ "batch", "accepted", SERIES_BATCHES },
	{ "batch", "refused", SERIES_BATCHES_REFUSED },
	{ "items", "run_started", SERIES_RUNS },
	{ "items", "complete", SERIES_ITEMS },
};

static int is_event(const struct record_line *record, const char *part,
		    const char *event)
{
	return record_line_is(record, "part", part) &&
	       record_line_is(record, "event", event);
}

static void count_line(struct report_bucket *bucket,
		       const struct record_line *record)
{
	for (uint32_t i = 0; i < ARRAY_SIZE(counted); i++)
		if (is_event(record, counted[i].part, counted[i].event))
			bucket->values[counted[i].series]++;
	if (is_event(record, "forward", "given_up"))
		bucket->values[record_line_int(record, "may_have_run", 0)
				       ? SERIES_UNKNOWN
				       : SERIES_REFUSED]++;
	if (is_event(record, "items", "run_ended") &&
	    !record_line_is(record, "outcome", "complete"))
		bucket->values[SERIES_RUNS_LOST]++;
}

/* What stands, rather than happens, in a moment. */
struct levels {
	int64_t running;
	int64_t store_lost;
	int64_t version;
};

static void follow_line(struct levels *levels, const struct record_line *record)
{
	int is_config = record_line_is(record, "topic", "keyed.op");
	int64_t version;

	if (is_event(record, "items", "run_started"))
		levels->running++;
	else if (is_event(record, "items", "run_ended") && levels->running)
		levels->running--;
	else if (is_event(record, "store", "lost") && is_config)
		levels->store_lost++;
	else if (is_event(record, "store", "regained") && is_config &&
		 levels->store_lost)
		levels->store_lost--;
	if (!is_event(record, "weights", "named"))
		return;
	version = record_line_int(record, "version", 0);
	if (version > levels->version)
		levels->version = version;
}

static void set_levels(struct report_bucket *bucket,
		       const struct levels *levels)
{
	bucket->values[SERIES_RUNNING] = levels->running;
	bucket->values[SERIES_STORE_LOST] = levels->store_lost;
	bucket->values[SERIES_VERSION] = levels->version;
}

static size_t bucket_of(const struct report *report,
			const struct record_line *record)
{
	size_t index =
		(size_t)((record->ts_ms - report->from_ms) / report->bucket_ms);

	return index < BUCKETS_MAX ? index : BUCKETS_MAX - 1;
}

void report_init(struct report *report, const struct log_lines *lines,
		 int64_t bucket_ms)
{
	struct levels levels = { 0 };
	size_t filled = 0;

	memset(report, 0, sizeof(*report));
	report->bucket_ms = bucket_ms;
	if (!lines->count)
		return;
	report->from_ms = lines->lines[0].record.ts_ms;
	report->count =
		bucket_of(report, &lines->lines[lines->count - 1].record) + 1;
	report->buckets = xcalloc(report->count, sizeof(*report->buckets));
	for (size_t i = 0; i < lines->count; i++) {
		const struct record_line *record = &lines->lines[i].record;
		size_t index = bucket_of(report, record);

		for (; filled < index; filled++)
			set_levels(&report->buckets[filled], &levels);
		count_line(&report->buckets[index], record);
		follow_line(&levels, record);
	}
	set_levels(&report->buckets[report->count - 1], &levels);
}

void report_finish(struct report *report)
{
	free(report->buckets);
}
