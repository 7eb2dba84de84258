#include "request/running_table.h"

#include <string.h>

#include "base/hash.h"

void running_table_init(struct running_table *table)
{
	memset(table, 0, sizeof(*table));
	for (uint32_t i = 0; i < RUNNING_SHARDS; i++)
		pthread_mutex_init(&table->shards[i].lock, NULL);
}

void running_table_finish(struct running_table *table)
{
	for (uint32_t i = 0; i < RUNNING_SHARDS; i++)
		pthread_mutex_destroy(&table->shards[i].lock);
}

static struct running_shard *shard_of(struct running_table *table,
				      const char *key_id)
{
	return &table->shards[hash_text(key_id, 0) % RUNNING_SHARDS];
}

void running_table_add(struct running_table *table,
		       struct running_request *request)
{
	struct running_shard *shard = shard_of(table, request->key_id);

	pthread_mutex_lock(&shard->lock);
	request->next = shard->first;
	request->link = &shard->first;
	if (shard->first)
		shard->first->link = &request->next;
	shard->first = request;
	shard->count++;
	pthread_mutex_unlock(&shard->lock);
}

void running_table_remove(struct running_table *table,
			  struct running_request *request)
{
	struct running_shard *shard = shard_of(table, request->key_id);

	pthread_mutex_lock(&shard->lock);
	*request->link = request->next;
	if (request->next)
		request->next->link = request->link;
	shard->count--;
	pthread_mutex_unlock(&shard->lock);
}

static uint32_t cancel_in_shard(struct running_shard *shard,
				int (*matches)(void *arg, const char *key_id),
				void *arg, const struct problem *problem)
{
	struct running_request *request;
	uint32_t count = 0;

	pthread_mutex_lock(&shard->lock);
	for (request = shard->first; request; request = request->next) {
		if (!request->key_id[0] || !matches(arg, request->key_id))
			continue;
		request->cancel(request, problem);
		count++;
	}
	pthread_mutex_unlock(&shard->lock);
	return count;
}

static int is_same_key(void *arg, const char *key_id)
{
	return !strcmp(key_id, arg);
}

uint32_t running_table_cancel_key(struct running_table *table,
				  const char *key_id,
				  const struct problem *problem)
{
	return cancel_in_shard(shard_of(table, key_id), is_same_key,
			       (void *)key_id, problem);
}

uint32_t running_table_cancel_if(struct running_table *table,
				 int (*matches)(void *arg, const char *key_id),
				 void *arg, const struct problem *problem)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < RUNNING_SHARDS; i++)
		count += cancel_in_shard(&table->shards[i], matches, arg,
					 problem);
	return count;
}

static int is_any_key(void *arg, const char *key_id)
{
	(void)arg;
	(void)key_id;
	return 1;
}

uint32_t running_table_cancel_keyed(struct running_table *table,
				    const struct problem *problem)
{
	return running_table_cancel_if(table, is_any_key, NULL, problem);
}

void running_table_each(struct running_table *table,
			void (*fn)(void *arg,
				   const struct running_request *request),
			void *arg)
{
	for (uint32_t i = 0; i < RUNNING_SHARDS; i++) {
		struct running_shard *shard = &table->shards[i];
		struct running_request *request;

		pthread_mutex_lock(&shard->lock);
		for (request = shard->first; request; request = request->next)
			fn(arg, request);
		pthread_mutex_unlock(&shard->lock);
	}
}
