#include "state/lease_table.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void lease_table_init(struct lease_table *table)
{
	table->leases = xcalloc(LEASES_MAX, sizeof(*table->leases));
	table->count = 0;
}

void lease_table_finish(struct lease_table *table)
{
	free(table->leases);
}

struct lease *lease_table_find(const struct lease_table *table,
			       const char *name)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (!strcmp(table->leases[i].name, name))
			return &table->leases[i];
	return NULL;
}

struct lease *lease_table_add(struct lease_table *table, const char *name)
{
	struct lease *lease;

	if (table->count == LEASES_MAX)
		return NULL;
	lease = &table->leases[table->count++];
	memset(lease, 0, sizeof(*lease));
	copy_text(lease->name, sizeof(lease->name), name);
	return lease;
}

static int check_claim(const Currant__LeaseClaim *claim, struct error *err)
{
	if (!claim->name[0] || strlen(claim->name) >= NAME_BYTES)
		return error_set(err, ERROR_INVALID,
				 "a lease needs a name of 1 to %d bytes",
				 NAME_BYTES - 1);
	if (!claim->holder[0] || strlen(claim->holder) >= NAME_BYTES)
		return error_set(err, ERROR_INVALID,
				 "lease '%s': the holder needs a name",
				 claim->name);
	if (!claim->duration_ms || claim->duration_ms > LEASE_MAX_DURATION_MS)
		return error_set(err, ERROR_INVALID,
				 "lease '%s': a duration of %" PRIu64
				 " ms is out of range",
				 claim->name, claim->duration_ms);
	return 0;
}

static int check_based_on(const char *name, uint64_t based_on,
			  uint64_t position, struct error *err)
{
	if (based_on == position)
		return 0;
	return error_set(err, ERROR_CONFLICT,
			 "lease '%s' stands at %" PRIu64 ", not at %" PRIu64,
			 name, position, based_on);
}

static int same_holder(const struct lease *lease, const char *holder,
		       uint64_t incarnation)
{
	return lease->holder_incarnation == incarnation &&
	       !strcmp(lease->holder, holder);
}

int lease_table_claim(struct lease_table *table,
		      const Currant__LeaseClaim *claim, uint64_t position,
		      struct error *err)
{
	struct lease *lease = lease_table_find(table, claim->name);

	if (check_claim(claim, err) ||
	    check_based_on(claim->name, claim->based_on,
			   lease ? lease->position : 0, err))
		return -1;
	if (!lease)
		lease = lease_table_add(table, claim->name);
	if (!lease)
		return error_set(err, ERROR_FULL, "there are %d leases already",
				 LEASES_MAX);
	if (!same_holder(lease, claim->holder, claim->holder_incarnation)) {
		lease->epoch++;
		lease->epoch_position = position;
	}
	copy_text(lease->holder, sizeof(lease->holder), claim->holder);
	lease->holder_incarnation = claim->holder_incarnation;
	lease->duration_ms = claim->duration_ms;
	lease->position = position;
	return 0;
}

int lease_table_release(struct lease_table *table,
			const Currant__LeaseRelease *release, uint64_t position,
			struct error *err)
{
	struct lease *lease = lease_table_find(table, release->name);

	if (!lease)
		return error_set(err, ERROR_NOT_FOUND,
				 "lease '%.64s' does not exist", release->name);
	if (check_based_on(lease->name, release->based_on, lease->position,
			   err))
		return -1;
	if (!same_holder(lease, release->holder, release->holder_incarnation))
		return error_set(err, ERROR_CONFLICT,
				 "lease '%s' is held by '%s'", lease->name,
				 lease->holder);
	lease->holder[0] = '\0';
	lease->holder_incarnation = 0;
	lease->position = position;
	return 0;
}
