#ifndef DISCOVERY_HOST_TABLE_H
#define DISCOVERY_HOST_TABLE_H

#include <stdint.h>

#include "base/clock.h"

/*
 * The entry hosts, as their notices in the platform's store show them. A host
 * counts as alive as long as its notices come; the time in which this daemon
 * could not read the store does not count against anybody.
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
	uint64_t partitions; /* bits: those that it runs */
	uint32_t cpu_milli;
	uint32_t period_ms;
	uint64_t offset; /* of its newest notice */
	int64_t heard_ns; /* when that was read */
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

/* Takes a notice over; an older one than is known is ignored. */
void host_table_put(struct host_table *table, const struct entry_host *notice,
		    int64_t now_ns);
void host_table_drop(struct host_table *table, const char *name,
		     uint64_t offset);

/* The store could not be read for `away_ns`. */
void host_table_excuse(struct host_table *table, int64_t away_ns);

const struct entry_host *host_table_find(const struct host_table *table,
					 const char *name);

/* Whether its notices come. */
int entry_host_is_alive(const struct entry_host *host, int64_t now_ns);

/* Alive, ready and not leaving: may be named to callers. */
int entry_host_takes_calls(const struct entry_host *host, int64_t now_ns);

/* Forgets hosts that are silent for long. */
void host_table_sweep(struct host_table *table, int64_t now_ns);

#endif
