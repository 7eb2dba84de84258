#ifndef APP_SAMPLE_LOG_H
#define APP_SAMPLE_LOG_H

#include <pthread.h>
#include <stdint.h>

#include "port/log_port.h"
#include "state/config.h"
#include "state/dedupe.h"

/*
 * The newest sample traces that were read from their stream of the log, in a
 * ring. The stream is read when somebody asks, from where it was read last.
 */
#define SAMPLE_LOG_ENTRIES 20000
#define SAMPLE_LOG_VERSIONS_BYTES 96

struct sample_entry {
	char trainer[NAME_BYTES];
	char team[NAME_BYTES];
	char route[NAME_BYTES];
	char backend_server[NAME_BYTES];
	char versions[SAMPLE_LOG_VERSIONS_BYTES]; /* "4:30,5:34" */
	uint64_t step;
	uint64_t group;
	uint64_t wall_ms;
	uint64_t staleness;
	uint32_t index;
};

struct sample_log {
	pthread_mutex_t lock;
	struct sample_entry *ring;
	uint32_t allocated;
	uint64_t total;
	pthread_mutex_t read_lock; /* taken before `lock`; guards the rest */
	struct dedupe seen;
	uint64_t next; /* offset in the stream */
};

void sample_log_init(struct sample_log *log);
void sample_log_finish(struct sample_log *log);

/*
 * Reads what has been appended to the stream since the last call, the newest
 * SAMPLE_LOG_ENTRIES entries at most. Returns -1 if the log cannot be read;
 * what was read before stays.
 */
int sample_log_refresh(struct sample_log *log, struct log_port *port,
		       struct error *err);

/* Calls `fn` for each entry, oldest first, under the lock. */
void sample_log_each(struct sample_log *log,
		     void (*fn)(void *arg, const struct sample_entry *entry),
		     void *arg);

#endif
