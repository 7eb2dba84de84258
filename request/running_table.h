#ifndef REQUEST_RUNNING_TABLE_H
#define REQUEST_RUNNING_TABLE_H

#include <pthread.h>
#include <stdint.h>

#include "request/problem.h"
#include "state/config.h"

/*
 * The requests that run now, in shards by key, so that a withdrawn key cuts
 * them and operators can see them.
 */
#define RUNNING_SHARDS 16

struct running_request {
	char id[64];
	char team[NAME_BYTES];
	char key_id[NAME_BYTES]; /* "": no key */
	char route[NAME_BYTES];
	int64_t started_ns;
	/* Ends the request at once; called under the shard's lock. */
	void (*cancel)(struct running_request *request,
		       const struct problem *problem);
	void *arg;
	struct running_request *next;
	struct running_request **link;
};

struct running_shard {
	pthread_mutex_t lock;
	struct running_request *first;
	uint32_t count;
};

struct running_table {
	struct running_shard shards[RUNNING_SHARDS];
};

void running_table_init(struct running_table *table);
void running_table_finish(struct running_table *table);

/* The request's memory is the caller's and stays until it is removed. */
void running_table_add(struct running_table *table,
		       struct running_request *request);
void running_table_remove(struct running_table *table,
			  struct running_request *request);

/* Cancels all requests that came with a key; returns how many. */
uint32_t running_table_cancel_key(struct running_table *table,
				  const char *key_id,
				  const struct problem *problem);
/* Cancels all requests that came with a key for which `matches` holds. */
uint32_t running_table_cancel_if(struct running_table *table,
				 int (*matches)(void *arg, const char *key_id),
				 void *arg, const struct problem *problem);
uint32_t running_table_cancel_keyed(struct running_table *table,
				    const struct problem *problem);

/* Calls `fn` for each request, under its shard's lock. */
void running_table_each(struct running_table *table,
			void (*fn)(void *arg,
				   const struct running_request *request),
			void *arg);

#endif
