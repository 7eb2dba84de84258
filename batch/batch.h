#ifndef BATCH_BATCH_H
#define BATCH_BATCH_H

#include <stdint.h>

#include "batch/batch_record.h"

/*
 * State of an accepted batch, built from the records of its partition. The
 * same records give the same state on every daemon: only the first submission
 * of an id is used, and results are ordered by the first result of each item.
 * Request bodies and result texts are not kept in memory; they are read from
 * the log when needed.
 */
enum batch_item_state {
	BATCH_ITEM_OPEN = 0,
	BATCH_ITEM_COMPLETE,
	BATCH_ITEM_GIVEN_UP,
};

struct batch_item {
	const char *id;
	uint64_t text_offset; /* log offset of the result's text */
	uint32_t text_bytes;
	uint32_t answer_bytes; /* size of the text in an answer */
	uint32_t position; /* among the results; not valid while open */
	uint8_t state; /* enum batch_item_state */
	uint8_t version_set; /* index into the batch's version_sets */
};

/* Limit of version sets per batch; an item stores the index in 8 bits. */
#define BATCH_VERSION_SETS_MAX 255

/*
 * Weight versions that generated a text. Most results of a batch share one of
 * a few sets.
 */
struct version_set {
	uint64_t *versions;
	uint32_t count;
};

/* The most recent progress record of an open item. */
struct batch_progress {
	uint32_t item;
	Currant__Topic__BatchRecord *record;
	struct batch_progress *next;
};

struct batch {
	const char *id;
	const char *team;
	const char *host;
	const char *path;
	const char *model; /* "": none */
	uint64_t step;
	uint64_t min_version;
	uint32_t target_groups;
	int64_t accepted_ms; /* wall clock */
	uint32_t due_ms;
	uint32_t retention_ms;
	uint32_t max_attempts;
	int single_version;
	uint64_t config_version; /* under which it was accepted; 0: unknown */
	/* Of the records with submitted items. */
	struct items_position items_position;
	struct batch_item *items;
	uint32_t item_count;
	uint32_t *result_items; /* numbers of the items with results, by
				   position */
	uint32_t result_count;
	int ended; /* ended by its caller */
	int64_t applied_ns; /* when this daemon applied the acceptance */
	struct version_set *version_sets;
	uint32_t version_set_count;
	struct batch_progress *progress;
	/* Owns the strings that the fields above point to. */
	Currant__Topic__BatchRecord *message;
	struct batch *next; /* in its hash bucket */
	struct batch *newer; /* neighbours in log order */
	struct batch *older;
};

/* Takes ownership of `message`, whose kind must be ACCEPTED. */
struct batch *batch_new(Currant__Topic__BatchRecord *message, int64_t now_ns);

/* The batch must have been removed from its table. */
void batch_free(struct batch *batch);

/* Whether the batch was ended or all its items have results. */
int batch_is_done(const struct batch *batch);

const struct batch_item *batch_find_item(const struct batch *batch,
					 const char *id);

/*
 * Adds the first result of an item and returns 1. Returns 0 and changes
 * nothing if the item has a result already or does not exist, if the batch was
 * ended, or if it has BATCH_VERSION_SETS_MAX sets of versions and this is
 * another.
 */
int batch_add_result(struct batch *batch,
		     const Currant__Topic__ItemResult *result);

const struct version_set *batch_item_versions(const struct batch *batch,
					      const struct batch_item *item);

/*
 * Stores a progress record, of which it takes ownership, and frees the item's
 * previous one.
 */
void batch_store_progress(struct batch *batch,
			  Currant__Topic__BatchRecord *record);

/* The latest progress of an item; NULL if there is none. */
const Currant__Topic__ItemProgress *
batch_find_progress(const struct batch *batch, uint32_t item);

/* Frees the progress records of all items. */
void batch_free_progress(struct batch *batch);

#endif
