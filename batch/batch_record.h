#ifndef BATCH_BATCH_RECORD_H
#define BATCH_BATCH_RECORD_H

#include "batch/batch_draft.h"
#include "port/topic_log.h"
#include "proto/topic.pb-c.h"

/* Encodes records of the batch and text topics. */

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
	uint64_t items_offset; /* first items record in the text topic */
	uint32_t items_records; /* number of items records */
	const char *by_host; /* host that accepts the batch */
	uint64_t by_incarnation;
};

/*
 * Appends the items of a submission as records of at most `max_record_bytes`
 * each and sets `*record_count`. Returns -1 if an item does not fit.
 */
int batch_record_add_items(struct strbuf *out, const char *batch,
			   const struct batch_draft *draft,
			   uint32_t max_record_bytes, uint32_t *record_count);

/* Appends the acceptance record of a batch; -1 if it is too large. */
int batch_record_add_accepted(struct strbuf *out,
			      const struct batch_draft *draft,
			      const struct batch_acceptance *acceptance,
			      uint32_t max_record_bytes);

/* Appends the result text of an item; `score` is "" if it has none. */
void batch_record_add_text(struct strbuf *out, const char *batch, uint32_t item,
			   const void *text, size_t len, const char *score);

#endif
