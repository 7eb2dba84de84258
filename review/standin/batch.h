/* Batch submissions as a requester sends and reads them. */
#ifndef REVIEW_BATCH_H
#define REVIEW_BATCH_H

#include "world.h"

#define BATCH_HOST "ficu95.example"
#define BATCH_KEY "2b9wu3fexd9dnn2ctnfz"
#define BATCH_TENANT "huka270"
/* Header lines of each call. */
#define BATCH_FIELDS "Host: " BATCH_HOST "\r\nApi-Key: " BATCH_KEY "\r\n"

/* The key that the calls below carry; BATCH_KEY at first. */
extern const char *batch_key;

struct batch_shape {
	const char *id;
	const char *item_ids; /* what they begin with; NULL: with `id` */
	const char *path; /* under which items lie; ends with a slash */
	const char *model; /* of a trainer's step; NULL: no trainer's */
	int step;
	int min_version; /* of a trainer's step; 0: 1 */
	const char *item_model; /* X-Model of items */
	int items;
	int group_size;
	int max_tokens; /* of an item's output; 0: 60 */
};

/* Name of an item, counted from 0. */
void batch_item_id(const struct batch_shape *shape, int item, char *out,
		   size_t size);
/* Submits to a daemon; returns the status, 0: no answer. */
int batch_submit(const char *front, const struct batch_shape *shape);
/* Reads from a position; NULL unless the status is 200. */
json_t *batch_read(const char *front, const char *id, int after, int wait_ms,
		   int *status);
int batch_end(const char *front, const char *id);

/* Head of an engine's answer to an item's run, with its receipt. */
void item_fields(const char *id, int version, char *out, size_t size);
/* Sends one event of an item's run, which has the id `event`. */
int item_event(struct channel *channel, int event, const void *data,
	       size_t len);
/* Last event that the request names; 0: none. */
int item_last_event(const struct message *request);

#endif
