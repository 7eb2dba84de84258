#ifndef MEMBERSHIP_SUMMARY_H
#define MEMBERSHIP_SUMMARY_H

#include <stdint.h>

#include "proto/peer.pb-c.h"
#include "state/config.h"

/*
 * Summaries of whole data centres. Relays receive the summary of another data
 * centre from its own daemons and forward it within theirs, but no further,
 * so that summaries cannot loop.
 */
struct data_centre_summary {
	char data_centre[NAME_BYTES];
	uint32_t daemons; /* alive ones */
	uint32_t requests_in_flight;
	uint32_t request_capacity;
	uint64_t log_head;
	int64_t aggregated_ns; /* by this daemon's clock */
	int direct; /* received from a daemon of that data centre */
};

struct summary_table {
	struct data_centre_summary *entries;
	uint32_t count;
};

/* Maximum number of data centres in the table. */
#define SUMMARY_TABLE_MAX 256

void summary_table_init(struct summary_table *table);
void summary_table_finish(struct summary_table *table);

/*
 * Stores a summary if it is newer than the existing one. `direct`: its sender
 * belongs to the summarized data centre.
 */
void summary_table_update(struct summary_table *table,
			  const Currant__DataCentreSummary *summary, int direct,
			  int64_t now_ns);

/* Removes summaries older than `max_age_ns`. */
void summary_table_expire(struct summary_table *table, int64_t max_age_ns,
			  int64_t now_ns);

/* Fills a protocol message; its strings point into `entry`. */
void summary_to_message(struct data_centre_summary *entry, int64_t now_ns,
			Currant__DataCentreSummary *message);

#endif
