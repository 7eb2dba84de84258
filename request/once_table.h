#ifndef REQUEST_ONCE_TABLE_H
#define REQUEST_ONCE_TABLE_H

#include <pthread.h>
#include <stdint.h>

#include "base/strbuf.h"
#include "state/config.h"

/*
 * Requests that may run at most once, by idempotency key, for as long as
 * their tickets are taken. The first arrival runs; later ones wait for its
 * answer and get the same. When a shard is full, new ones are refused.
 */
#define ONCE_SHARDS 16
#define ONCE_PER_SHARD_MAX 4096
#define ONCE_KEY_BYTES 128

enum once_state { ONCE_RUNNING = 0, ONCE_ANSWERED, ONCE_UNKNOWN };

struct once_answer {
	int status;
	char content_type[128];
	struct strbuf body;
};

struct once_entry {
	char key[ONCE_KEY_BYTES];
	char scope[2 * NAME_BYTES]; /* team and route */
	uint64_t fingerprint; /* of method, path and body */
	uint64_t generation;
	enum once_state state;
	struct once_answer answer;
	struct once_entry *next;
};

struct once_shard {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct once_entry *first;
	uint32_t count;
};

struct once_table {
	struct once_shard shards[ONCE_SHARDS];
};

enum once_begin_result {
	ONCE_BEGUN = 0, /* the caller runs it, then calls once_table_end */
	ONCE_REPLAY, /* `out` holds the answer of the first run */
	ONCE_LOST, /* it ran, its outcome is unknown */
	ONCE_FULL, /* no room: not run */
	ONCE_MISMATCH, /* the key was used for another request */
};

void once_table_init(struct once_table *table);
void once_table_finish(struct once_table *table);

/* Waits while the same request runs on another connection. */
enum once_begin_result once_table_begin(struct once_table *table,
					const char *scope, const char *key,
					uint64_t fingerprint,
					uint64_t generation,
					struct once_answer *out);

/* Records the answer, or with NULL that the outcome is unknown. */
void once_table_end(struct once_table *table, const char *scope,
		    const char *key, const struct once_answer *answer);

/* Forgets a request that surely did not run, so that it may come again. */
void once_table_forget(struct once_table *table, const char *scope,
		       const char *key);

/* Drops entries of generations before `oldest`; running ones stay. */
void once_table_expire(struct once_table *table, uint64_t oldest);

#endif
