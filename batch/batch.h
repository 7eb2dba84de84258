#ifndef BATCH_BATCH_H
#define BATCH_BATCH_H

#include <stdint.h>

#include "proto/topic.pb-c.h"

/*
 * An accepted batch, as the records of its partition say. The same records
 * give the same batch on every daemon: the first submission of an id counts,
 * and results stand in the order of the first result of each item.
 */
enum batch_item_state {
	BATCH_ITEM_OPEN = 0,
	BATCH_ITEM_COMPLETE,
	BATCH_ITEM_GIVEN_UP,
};

/* Text and versions of a result. */
struct batch_result {
	char *text;
	size_t len;
	uint64_t *versions;
	uint32_t version_count;
};

struct batch_item {
	char *id;
	enum batch_item_state state;
	uint32_t position; /* among the results, once it is not open */
	uint64_t result_offset;
	struct batch_result *result; /* NULL: to be read from the log */
	/* What it was submitted with; NULL once that is not needed any more. */
	const Currant__Topic__BatchItem *spec;
	/* What runs had made when it was noted last; NULL: not noted. */
	Currant__Topic__BatchRecord *progress;
};

struct batch {
	char *id;
	char *team;
	char *host;
	char *path;
	char *model; /* "": none */
	uint64_t step;
	uint64_t min_version;
	uint32_t target_groups;
	int64_t accepted_ms; /* wall clock */
	uint32_t due_ms;
	uint32_t retention_ms;
	uint32_t max_attempts;
	int single_version;
	struct batch_item *items;
	uint32_t item_count;
	uint32_t *listed; /* item numbers by position */
	uint32_t listed_count;
	int ended; /* by its caller */
	uint64_t offset; /* of the record that completed it */
	int64_t applied_ns; /* when this daemon read that */
	/* The messages that the specs point into. */
	Currant__Topic__BatchRecord **messages;
	uint32_t message_count;
	struct batch *next; /* in its bucket */
	struct batch *newer; /* in order of the log */
	struct batch *older;
};

/* Whether no item is open and none will come. */
int batch_is_done(const struct batch *batch);

/* Frees what the items were submitted with, and what was noted of them. */
void batch_drop_specs(struct batch *batch);

/* Keeps the message in place of the one that was noted before. */
void batch_item_note_progress(struct batch_item *item,
			      Currant__Topic__BatchRecord *progress);

struct batch_item *batch_find_item(struct batch *batch, const char *id);

void batch_result_free(struct batch_result *result);

/* Frees the batch; the table must not hold it any more. */
void batch_free(struct batch *batch);

#endif
