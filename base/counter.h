#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <pthread.h>
#include <stdint.h>

#include "base/strbuf.h"

/*
 * Metric counters. A part asks the set once for a counter and then adds to
 * it without a lock. Names follow the usual text exposition format, with
 * labels as part of the name: requests_total{route="rollout"}.
 */
#define COUNTER_SHARDS 8
#define COUNTER_NAME_MAX 160

struct counter {
	char name[COUNTER_NAME_MAX];
	int is_gauge;
	struct {
		int64_t value;
		char pad[56];
	} shards[COUNTER_SHARDS];
	struct counter *next;
};

struct counter_set {
	pthread_mutex_t lock;
	struct counter *first;
	uint32_t count;
};

void counter_set_init(struct counter_set *set);
void counter_set_finish(struct counter_set *set);

/* Finds or makes a counter; it lives as long as the set. */
struct counter *counter_get(struct counter_set *set, const char *name);

/* The same for a value that may fall. */
struct counter *gauge_get(struct counter_set *set, const char *name);

/* `counter` may be NULL, which counts nothing. */
void counter_add(struct counter *counter, int64_t by);
void gauge_set(struct counter *counter, int64_t value);
int64_t counter_value(const struct counter *counter);

/* Writes all of them in the text exposition format, sorted by name. */
void counter_set_print(struct counter_set *set, struct strbuf *out);

#endif
