#include "membership/summary.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/clock.h"

void summary_table_init(struct summary_table *table)
{
	memset(table, 0, sizeof(*table));
}

void summary_table_finish(struct summary_table *table)
{
	free(table->entries);
	summary_table_init(table);
}

static struct data_centre_summary *find_or_add(struct summary_table *table,
					       const char *data_centre)
{
	struct data_centre_summary *entry;

	for (uint32_t i = 0; i < table->count; i++)
		if (!strcmp(table->entries[i].data_centre, data_centre))
			return &table->entries[i];
	if (table->count >= SUMMARY_TABLE_MAX ||
	    strlen(data_centre) >= NAME_BYTES)
		return NULL;
	table->entries =
		xrealloc(table->entries, (table->count + 1) * sizeof(*entry));
	entry = &table->entries[table->count++];
	memset(entry, 0, sizeof(*entry));
	copy_text(entry->data_centre, sizeof(entry->data_centre), data_centre);
	entry->aggregated_ns = INT64_MIN;
	return entry;
}

void summary_table_update(struct summary_table *table,
			  const Currant__DataCentreSummary *summary, int direct,
			  int64_t now_ns)
{
	int64_t aggregated_ns = now_ns - summary->age_ms * NS_PER_MS;
	struct data_centre_summary *entry =
		find_or_add(table, summary->data_centre);

	if (!entry || aggregated_ns <= entry->aggregated_ns)
		return;
	entry->daemons = summary->daemons;
	entry->requests_in_flight = summary->requests_in_flight;
	entry->request_capacity = summary->request_capacity;
	entry->log_head = summary->log_head;
	entry->aggregated_ns = aggregated_ns;
	entry->direct = direct;
}

void summary_table_expire(struct summary_table *table, int64_t max_age_ns,
			  int64_t now_ns)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < table->count; i++)
		if (now_ns - table->entries[i].aggregated_ns <= max_age_ns)
			table->entries[kept++] = table->entries[i];
	table->count = kept;
}

void summary_to_message(struct data_centre_summary *entry, int64_t now_ns,
			Currant__DataCentreSummary *message)
{
	currant__data_centre_summary__init(message);
	message->data_centre = entry->data_centre;
	message->daemons = entry->daemons;
	message->requests_in_flight = entry->requests_in_flight;
	message->request_capacity = entry->request_capacity;
	message->log_head = entry->log_head;
	message->age_ms =
		(uint32_t)((now_ns - entry->aggregated_ns) / NS_PER_MS);
}
