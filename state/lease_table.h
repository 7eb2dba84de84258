#ifndef STATE_LEASE_TABLE_H
#define STATE_LEASE_TABLE_H

#include "state/state.h"

/*
 * The leases as the log orders them. A claim or a release counts only if it
 * is based on the last accepted record of its lease; who waits how long
 * before it claims is decided in lease/. Leases are never forgotten, since
 * an epoch must not come again.
 */
#define LEASES_MAX 1024
#define LEASE_MAX_DURATION_MS (UINT64_C(3600) * 1000)

struct lease_table {
	struct lease *leases;
	uint32_t count;
};

void lease_table_init(struct lease_table *table);
void lease_table_finish(struct lease_table *table);
struct lease *lease_table_find(const struct lease_table *table,
			       const char *name);

/* Adds an empty lease; NULL if the table is full. */
struct lease *lease_table_add(struct lease_table *table, const char *name);

/* Return 0 if the record is accepted, else -1 with the reason. */
int lease_table_claim(struct lease_table *table,
		      const Currant__LeaseClaim *claim, uint64_t position,
		      struct error *err);
int lease_table_release(struct lease_table *table,
			const Currant__LeaseRelease *release, uint64_t position,
			struct error *err);

#endif
