#include "request/once_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash.h"

void once_table_init(struct once_table *table)
{
	memset(table, 0, sizeof(*table));
	for (uint32_t i = 0; i < ONCE_SHARDS; i++) {
		pthread_mutex_init(&table->shards[i].lock, NULL);
		pthread_cond_init(&table->shards[i].changed, NULL);
	}
}

static void remove_at(struct once_shard *shard, struct once_entry **at)
{
	struct once_entry *entry = *at;

	*at = entry->next;
	shard->count--;
	strbuf_finish(&entry->answer.body);
	free(entry);
}

void once_table_finish(struct once_table *table)
{
	for (uint32_t i = 0; i < ONCE_SHARDS; i++) {
		struct once_shard *shard = &table->shards[i];

		while (shard->first)
			remove_at(shard, &shard->first);
		pthread_cond_destroy(&shard->changed);
		pthread_mutex_destroy(&shard->lock);
	}
}

static struct once_shard *shard_of(struct once_table *table, const char *scope,
				   const char *key)
{
	uint64_t hash = hash_text(key, hash_text(scope, 0));

	return &table->shards[hash % ONCE_SHARDS];
}

static struct once_entry **find(struct once_shard *shard, const char *scope,
				const char *key)
{
	struct once_entry **at = &shard->first;

	while (*at && (strcmp((*at)->key, key) || strcmp((*at)->scope, scope)))
		at = &(*at)->next;
	return at;
}

static enum once_begin_result begin_new(struct once_shard *shard,
					const char *scope, const char *key,
					uint64_t fingerprint,
					uint64_t generation)
{
	struct once_entry *entry;

	if (shard->count == ONCE_PER_SHARD_MAX)
		return ONCE_FULL;
	entry = xcalloc(1, sizeof(*entry));
	copy_text(entry->key, sizeof(entry->key), key);
	copy_text(entry->scope, sizeof(entry->scope), scope);
	entry->fingerprint = fingerprint;
	entry->generation = generation;
	strbuf_init(&entry->answer.body);
	entry->next = shard->first;
	shard->first = entry;
	shard->count++;
	return ONCE_BEGUN;
}

static void copy_answer(struct once_answer *dst, const struct once_answer *src)
{
	dst->status = src->status;
	copy_text(dst->content_type, sizeof(dst->content_type),
		  src->content_type);
	strbuf_reset(&dst->body);
	strbuf_add(&dst->body, src->body.buf, src->body.len);
}

static enum once_begin_result
begin_locked(struct once_shard *shard, const char *scope, const char *key,
	     uint64_t fingerprint, uint64_t generation, struct once_answer *out)
{
	struct once_entry *entry;

	while ((entry = *find(shard, scope, key))) {
		if (entry->fingerprint != fingerprint)
			return ONCE_MISMATCH;
		if (entry->state == ONCE_UNKNOWN)
			return ONCE_LOST;
		if (entry->state == ONCE_ANSWERED) {
			copy_answer(out, &entry->answer);
			return ONCE_REPLAY;
		}
		pthread_cond_wait(&shard->changed, &shard->lock);
	}
	return begin_new(shard, scope, key, fingerprint, generation);
}

enum once_begin_result once_table_begin(struct once_table *table,
					const char *scope, const char *key,
					uint64_t fingerprint,
					uint64_t generation,
					struct once_answer *out)
{
	struct once_shard *shard = shard_of(table, scope, key);
	enum once_begin_result result;

	pthread_mutex_lock(&shard->lock);
	result = begin_locked(shard, scope, key, fingerprint, generation, out);
	pthread_mutex_unlock(&shard->lock);
	return result;
}

void once_table_end(struct once_table *table, const char *scope,
		    const char *key, const struct once_answer *answer)
{
	struct once_shard *shard = shard_of(table, scope, key);
	struct once_entry *entry;

	pthread_mutex_lock(&shard->lock);
	entry = *find(shard, scope, key);
	if (entry) {
		entry->state = answer ? ONCE_ANSWERED : ONCE_UNKNOWN;
		if (answer)
			copy_answer(&entry->answer, answer);
	}
	pthread_cond_broadcast(&shard->changed);
	pthread_mutex_unlock(&shard->lock);
}

void once_table_forget(struct once_table *table, const char *scope,
		       const char *key)
{
	struct once_shard *shard = shard_of(table, scope, key);
	struct once_entry **at;

	pthread_mutex_lock(&shard->lock);
	at = find(shard, scope, key);
	if (*at)
		remove_at(shard, at);
	pthread_cond_broadcast(&shard->changed);
	pthread_mutex_unlock(&shard->lock);
}

void once_table_expire(struct once_table *table, uint64_t oldest)
{
	for (uint32_t i = 0; i < ONCE_SHARDS; i++) {
		struct once_shard *shard = &table->shards[i];
		struct once_entry **at = &shard->first;

		pthread_mutex_lock(&shard->lock);
		while (*at) {
			if ((*at)->generation < oldest &&
			    (*at)->state != ONCE_RUNNING)
				remove_at(shard, at);
			else
				at = &(*at)->next;
		}
		pthread_mutex_unlock(&shard->lock);
	}
}
