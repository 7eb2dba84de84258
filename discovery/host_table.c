#include "discovery/host_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Periods without a notice after which a host counts as dead. */
#define MISSED_PERIODS 2.5
#define FORGET_NS (120 * NS_PER_S)

void host_table_init(struct host_table *table)
{
	memset(table, 0, sizeof(*table));
}

static void remove_at(struct host_table *table, struct entry_host **at)
{
	struct entry_host *host = *at;

	*at = host->next;
	free(host);
	table->count--;
}

void host_table_finish(struct host_table *table)
{
	while (table->first)
		remove_at(table, &table->first);
}

static struct entry_host **find_place(struct host_table *table,
				      const char *name)
{
	struct entry_host **at = &table->first;

	while (*at && strcmp((*at)->name, name))
		at = &(*at)->next;
	return at;
}

const struct entry_host *host_table_find(const struct host_table *table,
					 const char *name)
{
	const struct entry_host *host = table->first;

	while (host && strcmp(host->name, name))
		host = host->next;
	return host;
}

void host_table_put(struct host_table *table, const struct entry_host *notice,
		    int64_t now_ns)
{
	struct entry_host **at = find_place(table, notice->name);
	struct entry_host *next = NULL;

	if (*at && notice->offset <= (*at)->offset)
		return;
	if (*at) {
		next = (*at)->next;
	} else {
		*at = xcalloc(1, sizeof(**at));
		table->count++;
	}
	**at = *notice;
	(*at)->next = next;
	(*at)->heard_ns = now_ns;
}

void host_table_drop(struct host_table *table, const char *name,
		     uint64_t offset)
{
	struct entry_host **at = find_place(table, name);

	if (*at && offset >= (*at)->offset)
		remove_at(table, at);
}

void host_table_excuse(struct host_table *table, int64_t away_ns)
{
	for (struct entry_host *host = table->first; host; host = host->next)
		host->heard_ns += away_ns;
}

int entry_host_is_alive(const struct entry_host *host, int64_t now_ns)
{
	return now_ns - host->heard_ns <
	       (int64_t)(MISSED_PERIODS * host->period_ms * NS_PER_MS);
}

int entry_host_takes_calls(const struct entry_host *host, int64_t now_ns)
{
	return host->ready && !host->leaving &&
	       entry_host_is_alive(host, now_ns);
}

void host_table_sweep(struct host_table *table, int64_t now_ns)
{
	struct entry_host **at = &table->first;

	while (*at) {
		if (now_ns - (*at)->heard_ns > FORGET_NS)
			remove_at(table, at);
		else
			at = &(*at)->next;
	}
}
