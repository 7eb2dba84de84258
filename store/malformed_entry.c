#include "store/malformed_entry.h"

void malformed_entry_report(const struct malformed_entry *entry,
			    struct record_log *log, struct counter *counter)
{
	struct record record;

	if (counter)
		counter_add(counter, 1);
	record_begin(&record, log, entry->part, "malformed");
	record_text(&record, entry->name, entry->key);
	record_int(&record, "offset", (int64_t)entry->offset);
	if (entry->reason)
		record_text(&record, "reason", entry->reason);
	record_end(&record);
}
