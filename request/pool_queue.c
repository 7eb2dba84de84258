#include "request/pool_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/bug.h"
#include "base/hash.h"
#include "request/job.h"

/* Rate of a pool until one was seen. */
#define FIRST_TOKENS_PER_S 2000
/* Samples that one wake-up hands on before other timers get their turn. */
#define HAND_ON_AT_ONCE 256

void pool_queues_init(struct pool_queues *queues, struct server_table *servers,
		      struct clock *clock, struct timer_service *timers,
		      uint32_t max_queued, uint64_t seed)
{
	memset(queues, 0, sizeof(*queues));
	queues->servers = servers;
	queues->clock = clock;
	queues->timers = timers;
	queues->max_queued = max_queued;
	queues->seed = seed;
	pthread_mutex_init(&queues->lock, NULL);
}

void pool_queues_finish(struct pool_queues *queues)
{
	for (uint32_t i = 0; i < queues->pool_count; i++) {
		struct pool_queue *queue = queues->pools[i];

		timer_unsubscribe(queues->timers, &queue->timer);
		dispatch_queue_finish(&queue->queue);
		free(queue->teams);
		pthread_mutex_destroy(&queue->lock);
		free(queue);
	}
	pthread_mutex_destroy(&queues->lock);
}

static struct pool_queue *queue_new(struct pool_queues *queues,
				    const char *pool)
{
	struct pool_queue *queue = xcalloc(1, sizeof(*queue));

	queue->all = queues;
	copy_text(queue->pool, sizeof(queue->pool), pool);
	pthread_mutex_init(&queue->lock, NULL);
	dispatch_queue_init(&queue->queue, queues->max_queued);
	rng_init(&queue->rng, hash_text(pool, queues->seed));
	return queue;
}

/* NULL if there are too many pools. */
static struct pool_queue *find_queue(struct pool_queues *queues,
				     const char *pool)
{
	struct pool_queue *found = NULL;

	pthread_mutex_lock(&queues->lock);
	for (uint32_t i = 0; !found && i < queues->pool_count; i++)
		if (!strcmp(queues->pools[i]->pool, pool))
			found = queues->pools[i];
	if (!found && queues->pool_count < POOLS_MAX) {
		found = queue_new(queues, pool);
		queues->pools[queues->pool_count++] = found;
	}
	pthread_mutex_unlock(&queues->lock);
	return found;
}

/* NULL if there are too many teams, which are then admitted. */
static struct admission *find_admission(struct pool_queue *queue,
					const char *team)
{
	struct team_admission *added;

	for (uint32_t i = 0; i < queue->team_count; i++)
		if (!strcmp(queue->teams[i].team, team))
			return &queue->teams[i].admission;
	if (queue->team_count == ADMISSION_TEAMS_MAX)
		return NULL;
	queue->teams = xrealloc(queue->teams, (queue->team_count + 1) *
						      sizeof(*queue->teams));
	added = &queue->teams[queue->team_count++];
	copy_text(added->team, sizeof(added->team), team);
	admission_init(&added->admission, FIRST_TOKENS_PER_S,
		       clock_now_ns(queue->all->clock));
	return &added->admission;
}

/* An empty queue admits: the next request finds room or waits shortly. */
int pool_queues_admit(struct pool_queues *queues,
		      const struct admission_ask *ask, int64_t *retry_after_ns)
{
	struct pool_queue *queue = find_queue(queues, ask->pool);
	struct admission_request request = {
		.tokens = ask->tokens,
		.deadline_ns = ask->deadline_ns,
	};
	struct admission_verdict verdict = { .admitted = 1 };
	struct admission *admission;

	if (!queue || ask->latency_bound)
		return 1;
	pthread_mutex_lock(&queue->lock);
	admission = find_admission(queue, ask->team);
	if (admission && queue->queue.count)
		verdict = admission_decide(
			admission, &request,
			dispatch_queue_team_tokens(&queue->queue, ask->team),
			&queue->rng, clock_now_ns(queues->clock));
	pthread_mutex_unlock(&queue->lock);
	*retry_after_ns = verdict.retry_after_ms * NS_PER_MS;
	return verdict.admitted;
}

static struct sample *sample_of(struct dispatch_entry *entry)
{
	return entry->owner;
}

/* The next sample for which a server has room; the queue's lock is held. */
static struct sample *pop_if_room(struct pool_queue *queue)
{
	struct dispatch_entry *next = dispatch_queue_peek(&queue->queue);

	if (!next || !server_table_has_room(queue->all->servers, queue->pool,
					    next->latency_bound,
					    clock_now_ns(queue->all->clock)))
		return NULL;
	return sample_of(dispatch_queue_pop(&queue->queue));
}

/* Hands a sample on; returns 1 if it had to be queued again. */
static int hand_on(struct sample *sample)
{
	struct job *job = sample->job;
	int again = 0;

	pthread_mutex_lock(&job->lock);
	sample->queued = 0;
	if (!job->failed) {
		job_dispatch(job, sample);
		again = sample->queued;
	}
	pthread_mutex_unlock(&job->lock);
	job_unref(job);
	return again;
}

static void refuse(struct sample *sample)
{
	struct job *job = sample->job;

	pthread_mutex_lock(&job->lock);
	sample->queued = 0;
	job_refuse_locked(
		job, 503, "overloaded", RUN_NOT_RUN,
		server_table_retry_after_ns(job->env->servers, job->pool),
		"too many requests wait for a backend server");
	pthread_mutex_unlock(&job->lock);
	job_unref(job);
}

static void refuse_evicted(struct pool_queue *queue)
{
	struct sample *sample;

	pthread_mutex_lock(&queue->lock);
	sample = queue->evicted;
	queue->evicted = NULL;
	pthread_mutex_unlock(&queue->lock);
	while (sample) {
		struct sample *next = sample->next_evicted;

		refuse(sample);
		sample = next;
	}
}

static void on_wake(void *arg, int64_t now_ns)
{
	struct pool_queue *queue = arg;
	struct sample *sample;
	uint32_t count = 0;

	(void)now_ns;
	refuse_evicted(queue);
	do {
		pthread_mutex_lock(&queue->lock);
		if (!count)
			queue->waking = 0;
		sample = pop_if_room(queue);
		pthread_mutex_unlock(&queue->lock);
	} while (sample && !hand_on(sample) && ++count < HAND_ON_AT_ONCE);
}

/* The queue's lock is held. */
static void wake_locked(struct pool_queue *queue)
{
	if (queue->waking)
		return;
	queue->waking = 1;
	timer_subscribe_once(queue->all->timers, &queue->timer, 0, on_wake,
			     queue);
}

void pool_queues_push(struct pool_queues *queues, const char *pool,
		      struct sample *sample)
{
	struct pool_queue *queue = find_queue(queues, pool);
	struct dispatch_entry *evicted;

	if (!queue)
		BUG("pool '%s' has servers but no queue", pool);
	sample->queued = 1;
	sample->entry.owner = sample;
	job_ref(sample->job);
	pthread_mutex_lock(&queue->lock);
	evicted = dispatch_queue_push(&queue->queue, &sample->entry);
	if (evicted) {
		sample_of(evicted)->next_evicted = queue->evicted;
		queue->evicted = sample_of(evicted);
		wake_locked(queue);
	}
	pthread_mutex_unlock(&queue->lock);
}

int pool_queues_remove(struct pool_queues *queues, const char *pool,
		       struct sample *sample)
{
	struct pool_queue *queue = find_queue(queues, pool);
	int queued;

	if (!queue)
		return 0;
	pthread_mutex_lock(&queue->lock);
	queued = dispatch_entry_queued(&sample->entry);
	if (queued)
		dispatch_queue_remove(&queue->queue, &sample->entry);
	pthread_mutex_unlock(&queue->lock);
	return queued;
}

static void wake_queue(struct pool_queue *queue)
{
	pthread_mutex_lock(&queue->lock);
	if (queue->queue.count || queue->evicted)
		wake_locked(queue);
	pthread_mutex_unlock(&queue->lock);
}

void pool_queues_wake(struct pool_queues *queues, const char *pool)
{
	struct pool_queue *queue = find_queue(queues, pool);

	if (queue)
		wake_queue(queue);
}

static uint32_t copy_list(struct pool_queues *queues,
			  struct pool_queue *list[POOLS_MAX])
{
	uint32_t count;

	pthread_mutex_lock(&queues->lock);
	count = queues->pool_count;
	memcpy(list, queues->pools, count * sizeof(struct pool_queue *));
	pthread_mutex_unlock(&queues->lock);
	return count;
}

void pool_queues_wake_all(struct pool_queues *queues)
{
	struct pool_queue *list[POOLS_MAX];
	uint32_t count = copy_list(queues, list);

	for (uint32_t i = 0; i < count; i++)
		wake_queue(list[i]);
}

void pool_queues_finished(struct pool_queues *queues, const char *pool,
			  const struct sample *sample)
{
	const char *team = sample->job->team;
	struct pool_queue *queue = find_queue(queues, pool);
	struct admission *admission;

	if (!queue)
		return;
	pthread_mutex_lock(&queue->lock);
	admission = find_admission(queue, team);
	if (admission)
		admission_finished(
			admission, sample->tokens,
			dispatch_queue_team_tokens(&queue->queue, team) > 0,
			clock_now_ns(queues->clock));
	dispatch_queue_charge(&queue->queue, sample->job->team,
			      sample->job->latency_bound,
			      (double)sample->tokens - sample->expected_tokens);
	pthread_mutex_unlock(&queue->lock);
}

uint32_t pool_queues_count(struct pool_queues *queues)
{
	struct pool_queue *list[POOLS_MAX];
	uint32_t count = copy_list(queues, list);
	uint32_t sum = 0;

	for (uint32_t i = 0; i < count; i++) {
		pthread_mutex_lock(&list[i]->lock);
		sum += list[i]->queue.count;
		pthread_mutex_unlock(&list[i]->lock);
	}
	return sum;
}
