#include "fleet/load_metrics.h"

void load_counters_init(struct load_counters *counters, struct counter_set *set)
{
	counters->reports = counter_get(set, "server_reports_total");
	counters->overrun = counter_get(set, "server_reports_overrun_total");
	counters->idle = counter_get(set, "server_reports_idle_total");
}

void load_counters_add(struct load_counters *counters,
		       const struct server_answer *answer)
{
	if (!answer->has_load)
		return;
	counter_add(counters->reports, 1);
	if (answer->waiting)
		counter_add(counters->overrun, 1);
	else if (answer->running <= 1)
		counter_add(counters->idle, 1);
}

void load_record_put(struct record *record, const struct fleet_load *load,
		     int64_t now_ns)
{
	const struct load_estimate *estimate = &load->estimate;

	record_int(record, "load", load->running + load->waiting);
	record_ms(record, "load_age_ms",
		  load->received_ns ? now_ns - load->received_ns : -1);
	if (!load_estimate_is_known(estimate))
		return;
	record_number(record, "others", load_estimate_others(estimate, now_ns));
	record_number(record, "slowdown",
		      load_estimate_slowdown(estimate, now_ns));
}
