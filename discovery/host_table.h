#ifndef DISCOVERY_HOST_TABLE_H
#define DISCOVERY_HOST_TABLE_H

#include <stdint.h>

#include "base/clock.h"

/*
 * The entry hosts according to their notices in the platform's store. A host
 * counts as alive while its notices are recent; time in which this daemon could
 * not read the store does not count towards their age.
 */
#define HOST_NAME_BYTES 64
#define HOST_ADDRESS_BYTES 32
#define HOST_PARTITIONS_MAX 64

struct entry_host {
	char name[HOST_NAME_BYTES];
	char data_centre[HOST_NAME_BYTES];
	char region[HOST_NAME_BYTES];
	char caller_address[HOST_ADDRESS_BYTES];
	uint64_t incarnation;
	int ready;
	int leaving;
	uint64_t partitions; /* bit set of those that it runs */
	uint32_t cpu_milli;
	uint32_t period_ms; /* between notices */
	uint64_t offset; /* of its newest notice */
	int64_t last_seen_ns; /* when that notice was read, plus outages since
			       */
	struct entry_host *next;
	struct entry_host *next_in_bucket;
};

#define HOST_TABLE_BUCKETS 128

struct host_table {
	struct entry_host *first;
	struct entry_host *buckets[HOST_TABLE_BUCKETS]; /* by name */
	uint32_t count;
};

void host_table_init(struct host_table *table);
void host_table_finish(struct host_table *table);

/* Applies a notice; ignores it unless it is newer than the current one. */
void host_table_put(struct host_table *table, const struct entry_host *notice,
		    int64_t now_ns);

/* Removes a host unless its newest notice is after `offset`. */
void host_table_drop(struct host_table *table, const char *name,
		     uint64_t offset);

/* Excludes a time in which the store could not be read from all ages. */
void host_table_exclude_outage(struct host_table *table, int64_t outage_ns);

const struct entry_host *host_table_find(const struct host_table *table,
					 const char *name);

/* Whether its newest notice is recent enough. */
int entry_host_is_alive(const struct entry_host *host, int64_t now_ns);

/* Alive, ready and not leaving: may be named to callers. */
int entry_host_takes_calls(const struct entry_host *host, int64_t now_ns);

/*
 * Removes hosts whose newest notice is so far behind `end`, the end of the log,
 * that they must have missed many periods in which the others wrote theirs.
 */
void host_table_drop_silent(struct host_table *table, uint64_t end);

/* Removes hosts without a notice for two minutes. */
void host_table_sweep(struct host_table *table, int64_t now_ns);

#endif
