#include "app/run_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void run_table_init(struct run_table *table)
{
	memset(table, 0, sizeof(*table));
	table->runs = xcalloc(RUNS_MAX, sizeof(*table->runs));
	table->first_free = NO_RUN;
}

void run_table_finish(struct run_table *table)
{
	free(table->runs);
	table->runs = NULL;
}

static uint32_t take_slot(struct run_table *table)
{
	uint32_t slot = table->first_free;

	if (slot != NO_RUN) {
		table->first_free = table->runs[slot].next_free;
		return slot;
	}
	return table->count < RUNS_MAX ? table->count++ : NO_RUN;
}

static void free_slot(struct run_table *table, uint32_t slot)
{
	table->runs[slot].state = RUN_FREE;
	table->runs[slot].next_free = table->first_free;
	table->first_free = slot;
}

uint32_t run_table_begin(struct run_table *table, uint64_t fingerprint,
			 const char *server, int alone)
{
	uint32_t slot = take_slot(table);
	struct backend_run *run;

	if (slot == NO_RUN)
		return NO_RUN;
	run = &table->runs[slot];
	run->state = RUN_ACTIVE;
	run->fingerprint = fingerprint;
	run->alone = alone;
	run->counted = 0;
	copy_text(run->server, sizeof(run->server), server);
	return slot;
}

void run_table_end(struct run_table *table, uint32_t slot, int well)
{
	uint64_t fingerprint;

	if (slot == NO_RUN || table->runs[slot].state != RUN_ACTIVE)
		return;
	fingerprint = table->runs[slot].fingerprint;
	if (well)
		table->proven[fingerprint % PROVEN_MAX] = fingerprint;
	free_slot(table, slot);
}

void run_table_lose(struct run_table *table, uint32_t slot, int64_t now_ns)
{
	if (slot == NO_RUN || table->runs[slot].state != RUN_ACTIVE)
		return;
	if (table->runs[slot].counted) {
		free_slot(table, slot);
		return;
	}
	table->runs[slot].state = RUN_LOST;
	table->runs[slot].lost_ns = now_ns;
}

const struct backend_run *run_table_find(const struct run_table *table,
					 uint64_t fingerprint)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (table->runs[i].state == RUN_ACTIVE &&
		    table->runs[i].fingerprint == fingerprint)
			return &table->runs[i];
	return NULL;
}

int run_table_has_suspect(const struct run_table *table, const char *server)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (table->runs[i].state == RUN_ACTIVE &&
		    table->runs[i].alone &&
		    !strcmp(table->runs[i].server, server))
			return 1;
	return 0;
}

int run_table_is_proven(const struct run_table *table, uint64_t fingerprint)
{
	return table->proven[fingerprint % PROVEN_MAX] == fingerprint;
}

static int add_once(uint64_t *fingerprints, uint32_t count, uint64_t one)
{
	for (uint32_t i = 0; i < count; i++)
		if (fingerprints[i] == one)
			return 0;
	fingerprints[count] = one;
	return 1;
}

uint32_t run_table_take_lost(struct run_table *table, const char *server,
			     uint64_t *fingerprints, uint32_t max)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table->count && count < max; i++) {
		struct backend_run *run = &table->runs[i];

		if (run->state == RUN_FREE || run->counted ||
		    strcmp(run->server, server))
			continue;
		count += (uint32_t)add_once(fingerprints, count,
					    run->fingerprint);
		run->counted = 1;
		if (run->state == RUN_LOST)
			free_slot(table, i);
	}
	return count;
}

void run_table_expire(struct run_table *table, int64_t before_ns)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (table->runs[i].state == RUN_LOST &&
		    table->runs[i].lost_ns < before_ns)
			free_slot(table, i);
}

int run_table_has_lost(const struct run_table *table, uint64_t fingerprint)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (table->runs[i].state == RUN_LOST &&
		    table->runs[i].fingerprint == fingerprint)
			return 1;
	return 0;
}

void run_table_clear_lost(struct run_table *table, const char *server)
{
	for (uint32_t i = 0; i < table->count; i++)
		if (table->runs[i].state == RUN_LOST &&
		    !strcmp(table->runs[i].server, server))
			free_slot(table, i);
}
