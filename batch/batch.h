#ifndef BATCH_BATCH_H
#define BATCH_BATCH_H

#include <stdint.h>

#include "proto/topic.pb-c.h"

/*
 * An accepted batch, as the records of its partition say. The same records
 * give the same batch on every daemon: the first submission of an id counts,
 * and results stand in the order of the first result of each item. Bodies and
 * texts are not kept; they are read from the log where they are needed.
 */
enum batch_item_state {
	BATCH_ITEM_OPEN = 0,
	BATCH_ITEM_COMPLETE,
	BATCH_ITEM_GIVEN_UP,
};

struct batch_item {
	const char *id;
	uint64_t text_offset; /* of its result */
	uint32_t text_bytes;
	uint32_t answer_bytes; /* that the text takes in an answer */
	uint32_t position; /* among the results, once it is not open */
	uint8_t state; /* enum batch_item_state */
	uint8_t version_set; /* of its result */
};

/* Versions that made a text; most results of a batch share one of a few. */
#define BATCH_VERSION_SETS 255

struct version_set {
	uint64_t *versions;
	uint32_t count;
};

/* What runs of an open item had made when it was noted last. */
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
	uint64_t items_offset; /* of what it was submitted with */
	uint32_t items_records;
	struct batch_item *items;
	uint32_t item_count;
	uint32_t *listed; /* item numbers by position */
	uint32_t listed_count;
	int ended; /* by its caller */
	int64_t applied_ns; /* when this daemon read it */
	struct version_set *version_sets;
	uint32_t version_set_count;
	struct batch_progress *progress;
	/* The message that the texts above point into. */
	Currant__Topic__BatchRecord *message;
	struct batch *next; /* in its bucket */
	struct batch *newer; /* in order of the log */
	struct batch *older;
};

/* Takes the message, which holds an accepted batch. */
struct batch *batch_new(Currant__Topic__BatchRecord *message, int64_t now_ns);

/* The table must not hold it any more. */
void batch_free(struct batch *batch);

/* Whether no item is open and none will come. */
int batch_is_done(const struct batch *batch);

const struct batch_item *batch_find_item(const struct batch *batch,
					 const char *id);

/* The first result of an item; later ones change nothing. Returns 1 if so. */
int batch_list_item(struct batch *batch,
		    const Currant__Topic__ItemResult *result);

const struct version_set *batch_item_versions(const struct batch *batch,
					      const struct batch_item *item);

/* Keeps the message in place of the one that was noted before. */
void batch_note_progress(struct batch *batch,
			 Currant__Topic__BatchRecord *record);

/* What was noted of an item; NULL if nothing was. */
const Currant__Topic__ItemProgress *
batch_find_progress(const struct batch *batch, uint32_t item);

/* Drops what was noted of items. */
void batch_drop_progress(struct batch *batch);

#endif
