#include "discovery/host_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

/* A host counts as dead after this many periods without a notice. */
#define DEAD_AFTER_PERIODS 2.5
#define REMOVE_AFTER_NS (120 * NS_PER_S)
/*
 * Periods that a host misses at the least before its notice counts as left over
 * by the records behind it. Several times DEAD_AFTER_PERIODS, as hosts also
 * write where something changes.
 */
#define LEFT_OVER_PERIODS 10

void host_table_init(struct host_table *table)
{
	memset(table, 0, sizeof(*table));
}

static uint32_t bucket_of(const char *name)
{
	return hash_text(name, 0) % HOST_TABLE_BUCKETS;
}

static void remove_at(struct host_table *table, struct entry_host **at)
{
	struct entry_host *host = *at;
	struct entry_host **in_bucket = &table->buckets[bucket_of(host->name)];

	while (*in_bucket != host)
		in_bucket = &(*in_bucket)->next_in_bucket;
	*in_bucket = host->next_in_bucket;
	*at = host->next;
	free(host);
	table->count--;
}

void host_table_finish(struct host_table *table)
{
	while (table->first)
		remove_at(table, &table->first);
}

static struct entry_host *find(const struct host_table *table, const char *name)
{
	struct entry_host *host = table->buckets[bucket_of(name)];

	while (host && strcmp(host->name, name))
		host = host->next_in_bucket;
	return host;
}

const struct entry_host *host_table_find(const struct host_table *table,
					 const char *name)
{
	return find(table, name);
}

static struct entry_host *add_host(struct host_table *table, const char *name)
{
	struct entry_host **bucket = &table->buckets[bucket_of(name)];
	struct entry_host **at = &table->first;
	struct entry_host *host = xcalloc(1, sizeof(*host));

	while (*at)
		at = &(*at)->next;
	*at = host;
	host->next_in_bucket = *bucket;
	*bucket = host;
	table->count++;
	return host;
}

void host_table_put(struct host_table *table, const struct entry_host *notice,
		    int64_t now_ns)
{
	struct entry_host *host = find(table, notice->name);
	struct entry_host *next, *next_in_bucket;

	if (host && notice->offset <= host->offset)
		return;
	if (!host)
		host = add_host(table, notice->name);
	next = host->next;
	next_in_bucket = host->next_in_bucket;
	*host = *notice;
	host->next = next;
	host->next_in_bucket = next_in_bucket;
	host->last_seen_ns = now_ns;
}

void host_table_drop(struct host_table *table, const char *name,
		     uint64_t offset)
{
	const struct entry_host *host = find(table, name);
	struct entry_host **at = &table->first;

	if (!host || offset < host->offset)
		return;
	while (*at != host)
		at = &(*at)->next;
	remove_at(table, at);
}

void host_table_exclude_outage(struct host_table *table, int64_t outage_ns)
{
	for (struct entry_host *host = table->first; host; host = host->next)
		host->last_seen_ns += outage_ns;
}

int entry_host_is_alive(const struct entry_host *host, int64_t now_ns)
{
	return now_ns - host->last_seen_ns <
	       (int64_t)(DEAD_AFTER_PERIODS * host->period_ms * NS_PER_MS);
}

int entry_host_takes_calls(const struct entry_host *host, int64_t now_ns)
{
	return host->ready && !host->leaving &&
	       entry_host_is_alive(host, now_ns);
}

void host_table_drop_silent(struct host_table *table, uint64_t end)
{
	uint64_t records_max = (uint64_t)LEFT_OVER_PERIODS * table->count;
	struct entry_host **at = &table->first;

	while (*at) {
		if (end > (*at)->offset && end - (*at)->offset > records_max)
			remove_at(table, at);
		else
			at = &(*at)->next;
	}
}

void host_table_sweep(struct host_table *table, int64_t now_ns)
{
	struct entry_host **at = &table->first;

	while (*at) {
		if (now_ns - (*at)->last_seen_ns > REMOVE_AFTER_NS)
			remove_at(table, at);
		else
			at = &(*at)->next;
	}
}
