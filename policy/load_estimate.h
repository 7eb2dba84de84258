#ifndef POLICY_LOAD_ESTIMATE_H
#define POLICY_LOAD_ESTIMATE_H

#include <stdint.h>

/*
 * Estimates the load of a backend server from the reports in its answers. Load
 * pattern: many hosts share the servers of a service, and each sees a server's
 * load only when an answer of its own comes back, so that what it knows is some
 * ms to seconds old; other work at a server's host slows it down for some
 * hundred ms at a time. This host's own requests are known exactly and are not
 * part of the estimate: it covers the requests of other hosts and the slowdown.
 * As a report ages, both return to the server's mean. Pure functions.
 */

/* Own sends that are remembered to tell which of them a report includes. */
#define LOAD_SENDS 8

struct load_report {
	uint32_t running; /* requests of all hosts at the server */
	uint32_t waiting;
	uint32_t slowdown_percent; /* 100: as usual */
	uint32_t own; /* in flight from this host when the report came */
};

struct load_estimate {
	int64_t reported_ns; /* time of the last report; 0: none */
	double others; /* requests of other hosts, by the last report */
	double others_mean;
	double slowdown; /* duration of work relative to usual */
	double slowdown_mean;
	int64_t sent_ns[LOAD_SENDS]; /* of the last own sends, as a ring */
	uint32_t sends;
};

/* Records a request that this host sends to the server. */
void load_estimate_sent(struct load_estimate *estimate, int64_t now_ns);

void load_estimate_report(struct load_estimate *estimate,
			  const struct load_report *report, int64_t now_ns);

/* Whether there was a report. */
int load_estimate_is_known(const struct load_estimate *estimate);

/* Weight of the last report now, from 1 to 0; the mean has the rest. */
double load_estimate_weight(const struct load_estimate *estimate,
			    int64_t now_ns);

/* Expected requests of other hosts; 0 if there was no report. */
double load_estimate_others(const struct load_estimate *estimate,
			    int64_t now_ns);

/* Expected duration of work relative to usual; 1 if there was no report. */
double load_estimate_slowdown(const struct load_estimate *estimate,
			      int64_t now_ns);

#endif
