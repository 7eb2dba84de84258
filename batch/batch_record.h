#ifndef BATCH_BATCH_RECORD_H
#define BATCH_BATCH_RECORD_H

#include "batch/batch_draft.h"
#include "port/topic_log.h"
#include "proto/topic.pb-c.h"

/* Encodes records of the batch and text topics. */

/* Where the records with the items of a batch are in the text topic. */
struct items_position {
	uint64_t offset; /* of the first record */
	uint32_t records; /* number of records that follow on one another */
	uint64_t *runs; /* further ones: offset and number of each run */
	uint32_t run_values;
};

/* Values of an acceptance record that do not come from the draft. */
struct batch_acceptance {
	const char *batch;
	int64_t accepted_ms; /* wall clock */
	const char *team;
	const char *host;
	const char *path;
	uint32_t due_ms;
	uint32_t retention_ms;
	uint32_t max_attempts;
	int single_version;
	uint64_t config_version; /* of the configuration that has the route */
	struct items_position items;
	const char *by_host; /* host that accepts the batch */
	uint64_t by_incarnation;
};

/*
 * Appends the items of a submission from `*next_item` on, as many as one call
 * of the log takes, and sets `*next_item` and `*record_count`. Returns -1 if an
 * item does not fit into a record.
 */
int batch_record_add_items(struct strbuf *out, const char *batch,
			   const struct batch_draft *draft,
			   const struct topic_log *log, uint32_t *next_item,
			   uint32_t *record_count);

/* Appends the acceptance record of a batch; -1 if it is too large. */
int batch_record_add_accepted(struct strbuf *out,
			      const struct batch_draft *draft,
			      const struct batch_acceptance *acceptance,
			      uint32_t max_record_bytes);

/* Size limit of the score of a text; a record has room for both. */
#define BATCH_SCORE_MAX_BYTES 4096

/* Size limit of the text of an item, which the log takes as one record. */
uint32_t batch_record_max_text_bytes(const struct topic_log *log,
				     const char *batch);

/* Appends the result text of an item; `score` is "" if it has none. */
void batch_record_add_text(struct strbuf *out, const char *batch, uint32_t item,
			   const void *text, size_t len, const char *score);

#endif
