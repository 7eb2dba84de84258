#include "base/counter.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Each thread adds to one shard, so that threads do not share a line. */
static __thread uint32_t thread_shard;
static uint32_t next_thread_shard;

static uint32_t own_shard(void)
{
	if (!thread_shard)
		thread_shard = __atomic_add_fetch(&next_thread_shard, 1,
						  __ATOMIC_RELAXED);
	return thread_shard % COUNTER_SHARDS;
}

void counter_set_init(struct counter_set *set)
{
	memset(set, 0, sizeof(*set));
	pthread_mutex_init(&set->lock, NULL);
}

void counter_set_finish(struct counter_set *set)
{
	struct counter *counter = set->first;

	while (counter) {
		struct counter *next = counter->next;

		free(counter);
		counter = next;
	}
	pthread_mutex_destroy(&set->lock);
}

static struct counter *find_or_make(struct counter_set *set, const char *name,
				    int is_gauge)
{
	struct counter **at;
	struct counter *counter;

	pthread_mutex_lock(&set->lock);
	for (at = &set->first; *at; at = &(*at)->next)
		if (strcmp((*at)->name, name) >= 0)
			break;
	counter = *at;
	if (!counter || strcmp(counter->name, name)) {
		counter = xcalloc(1, sizeof(*counter));
		copy_text(counter->name, sizeof(counter->name), name);
		counter->is_gauge = is_gauge;
		counter->next = *at;
		*at = counter;
		set->count++;
	}
	pthread_mutex_unlock(&set->lock);
	return counter;
}

struct counter *counter_get(struct counter_set *set, const char *name)
{
	return find_or_make(set, name, 0);
}

struct counter *gauge_get(struct counter_set *set, const char *name)
{
	return find_or_make(set, name, 1);
}

void counter_add(struct counter *counter, int64_t by)
{
	if (counter)
		__atomic_add_fetch(&counter->shards[own_shard()].value, by,
				   __ATOMIC_RELAXED);
}

void gauge_set(struct counter *counter, int64_t value)
{
	if (counter)
		__atomic_store_n(&counter->shards[0].value, value,
				 __ATOMIC_RELAXED);
}

int64_t counter_value(const struct counter *counter)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < COUNTER_SHARDS; i++)
		sum += __atomic_load_n(&counter->shards[i].value,
				       __ATOMIC_RELAXED);
	return sum;
}

static size_t base_name_len(const char *name)
{
	return strcspn(name, "{");
}

void counter_set_print(struct counter_set *set, struct strbuf *out)
{
	const struct counter *last = NULL;

	pthread_mutex_lock(&set->lock);
	for (struct counter *c = set->first; c; c = c->next) {
		size_t len = base_name_len(c->name);
		int same = last && base_name_len(last->name) == len &&
			   !strncmp(last->name, c->name, len);

		if (!same)
			strbuf_addf(out, "# TYPE %.*s %s\n", (int)len, c->name,
				    c->is_gauge ? "gauge" : "counter");
		strbuf_addf(out, "%s %" PRId64 "\n", c->name, counter_value(c));
		last = c;
	}
	pthread_mutex_unlock(&set->lock);
}
