#ifndef PORT_TOPIC_LOG_H
#define PORT_TOPIC_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "base/strbuf.h"

/*
 * A log with topics that are split into partitions, behind a vtable. Calls do
 * not block: each is an object of the caller that must live until its done()
 * is called, on the loop's thread and never from within the call itself.
 *
 * Offsets number the records of a partition from 0, without gaps.
 */
#define TOPIC_NAME_BYTES 64

enum topic_outcome {
	TOPIC_OK = 0,
	TOPIC_REFUSED, /* nothing was done: down, overloaded or limited */
	TOPIC_CONFLICT, /* the partition does not end where it should */
	TOPIC_FENCED, /* a writer with a higher epoch came first */
	TOPIC_BAD_SEQUENCE, /* not the writer's next one */
	TOPIC_FORGOTTEN, /* the records were dropped; `first` is set */
	TOPIC_FULL, /* the log takes no more */
	TOPIC_UNKNOWN, /* no answer: it may have been or may yet be done */
};

const char *topic_outcome_name(enum topic_outcome outcome);

/* Appends records all or none. */
struct topic_append {
	char topic[TOPIC_NAME_BYTES];
	uint32_t partition;
	/* Records as topic_add_record() writes them; the caller's. */
	const void *records;
	size_t records_len;
	int64_t expected_end; /* only if the partition ends here; -1: any */
	/* A repeat with the same three is carried out once; "": not used. */
	char writer[TOPIC_NAME_BYTES];
	uint64_t epoch;
	uint64_t sequence;
	int64_t timeout_ns;

	enum topic_outcome outcome;
	uint64_t offset; /* of the first record */
	uint64_t end;
	uint64_t next_sequence; /* with TOPIC_BAD_SEQUENCE */

	void (*done)(struct topic_append *append);
	void *arg;
	void *call; /* the port's */
};

/* Reads what stands from an offset on, waiting for a record to come. */
struct topic_read {
	char topic[TOPIC_NAME_BYTES];
	uint32_t partition;
	uint64_t from;
	uint32_t max_bytes;
	int64_t wait_ns;
	int64_t timeout_ns; /* beyond the wait */

	enum topic_outcome outcome;
	uint64_t first; /* the oldest that is kept */
	uint64_t end;
	struct strbuf records; /* as topic_next_record() takes them */

	void (*done)(struct topic_read *read);
	void *arg;
	void *call;
};

/* One page of the newest record of each key of a keyed topic. */
struct topic_newest {
	char topic[TOPIC_NAME_BYTES];
	uint32_t partition;
	struct strbuf after; /* key; empty: from the start */
	int64_t timeout_ns;
	/* Called for each record of the page, before done(). */
	void (*each)(struct topic_newest *newest, const char *key,
		     const void *value, size_t len, uint64_t offset);

	enum topic_outcome outcome;
	uint64_t end;
	int has_more; /* `after` is set for the next page */

	void (*done)(struct topic_newest *newest);
	void *arg;
	void *call;
};

struct topic_log;

struct topic_log_vtable {
	void (*append)(struct topic_log *log, struct topic_append *append);
	void (*read)(struct topic_log *log, struct topic_read *read);
	void (*newest)(struct topic_log *log, struct topic_newest *newest);
	/* Gives up a running call; its done() is not called. */
	void (*cancel)(struct topic_log *log, void *call);
};

struct topic_log {
	const struct topic_log_vtable *vt;
	uint32_t partitions; /* of each topic */
	uint32_t max_record_bytes;
	uint32_t max_append_bytes;
};

/* Of the length in front of each record in such a buffer. */
#define TOPIC_LENGTH_BYTES 4

/* Appends one record to a buffer for topic_append. */
void topic_add_record(struct strbuf *out, const void *data, size_t len);

/* The same for a keyed topic; a NULL value drops the key. */
void topic_add_keyed(struct strbuf *out, const char *key, const void *value,
		     size_t len);

/*
 * Takes the record at `*at` and moves on; returns 0 at the end or where the
 * bytes are no record.
 */
int topic_next_record(const struct strbuf *records, size_t *at,
		      const uint8_t **data, size_t *len);

/* Splits a record of a keyed topic; -1 if it is none. `key` is copied. */
int topic_split_keyed(const uint8_t *data, size_t len, char *key,
		      size_t key_size, const uint8_t **value,
		      size_t *value_len);

#endif
