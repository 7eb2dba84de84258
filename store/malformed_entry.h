#ifndef STORE_MALFORMED_ENTRY_H
#define STORE_MALFORMED_ENTRY_H

#include "base/counter.h"
#include "base/record_log.h"

/* An entry of a keyed topic that cannot be parsed. */
struct malformed_entry {
	const char *part; /* of the program, in the log record */
	const char *name; /* of the log record's field that holds the key */
	const char *key;
	uint64_t offset;
	const char *reason; /* NULL: not logged */
};

/* Writes one log record and counts the entry. `counter` may be NULL. */
void malformed_entry_report(const struct malformed_entry *entry,
			    struct record_log *log, struct counter *counter);

#endif
