#include "policy/load_estimate.h"

#include "base/clock.h"

/* Age at which a report and the mean have the same weight. */
#define REPORT_HALF_AGE_NS (300 * NS_PER_MS)
/* Interval at which a new report and the mean so far have the same weight. */
#define MEAN_HALF_AGE_NS (5 * NS_PER_S)
/*
 * A request sent this shortly before a report came may have crossed it: more
 * than the two ways between data centres of a region and a new connection.
 */
#define CROSSING_NS (4 * NS_PER_MS)

void load_estimate_sent(struct load_estimate *estimate, int64_t now_ns)
{
	estimate->sent_ns[estimate->sends++ % LOAD_SENDS] = now_ns;
}

static uint32_t count_crossing(const struct load_estimate *estimate,
			       int64_t now_ns)
{
	uint32_t known = estimate->sends < LOAD_SENDS ? estimate->sends
						      : LOAD_SENDS;
	uint32_t count = 0;

	for (uint32_t i = 0; i < known; i++)
		count += now_ns - estimate->sent_ns[i] < CROSSING_NS;
	return count;
}

static void update_mean(double *mean, double value, int64_t interval_ns)
{
	double weight =
		(double)interval_ns / (double)(interval_ns + MEAN_HALF_AGE_NS);

	*mean += weight * (value - *mean);
}

void load_estimate_report(struct load_estimate *estimate,
			  const struct load_report *report, int64_t now_ns)
{
	double requests = (double)report->running + report->waiting;
	uint32_t crossing = count_crossing(estimate, now_ns);
	/* Crossing requests that have ended already are not in `own`. */
	uint32_t own = report->own > crossing ? report->own - crossing : 0;
	int64_t interval_ns = now_ns - estimate->reported_ns;

	estimate->others = requests > own ? requests - own : 0;
	estimate->slowdown = report->slowdown_percent / 100.0;
	if (estimate->reported_ns) {
		update_mean(&estimate->others_mean, estimate->others,
			    interval_ns);
	} else {
		estimate->others_mean = estimate->others;
		estimate->slowdown_mean = 1;
		interval_ns = REPORT_HALF_AGE_NS;
	}
	update_mean(&estimate->slowdown_mean, estimate->slowdown, interval_ns);
	estimate->reported_ns = now_ns;
}

int load_estimate_is_known(const struct load_estimate *estimate)
{
	return estimate->reported_ns != 0;
}

double load_estimate_weight(const struct load_estimate *estimate,
			    int64_t now_ns)
{
	int64_t age_ns = now_ns - estimate->reported_ns;

	if (!estimate->reported_ns)
		return 0;
	return (double)REPORT_HALF_AGE_NS /
	       (double)(REPORT_HALF_AGE_NS + age_ns);
}

double load_estimate_others(const struct load_estimate *estimate,
			    int64_t now_ns)
{
	return estimate->others_mean +
	       load_estimate_weight(estimate, now_ns) *
		       (estimate->others - estimate->others_mean);
}

double load_estimate_slowdown(const struct load_estimate *estimate,
			      int64_t now_ns)
{
	if (!estimate->reported_ns)
		return 1;
	return estimate->slowdown_mean +
	       load_estimate_weight(estimate, now_ns) *
		       (estimate->slowdown - estimate->slowdown_mean);
}
