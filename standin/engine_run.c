#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin/engine.h"
#include "base/clock.h"
#include "base/wait.h"

#define SLOWDOWN_EACH 0.05 /* by each further request in the batch */
#define CRASH_STATUS 70

static void link_by_priority(struct engine *engine,
			     struct generation *generation)
{
	struct generation **at = &engine->first;

	while (*at && (*at)->priority <= generation->priority)
		at = &(*at)->next;
	generation->next = *at;
	*at = generation;
}

static void unlink_generation(struct engine *engine,
			      struct generation *generation)
{
	struct generation **at = &engine->first;

	while (*at != generation)
		at = &(*at)->next;
	*at = generation->next;
}

static void start_next(struct engine *engine)
{
	struct generation *g;

	for (g = engine->first; g; g = g->next) {
		if (engine->running >= engine->options->capacity)
			return;
		if (g->state != GENERATION_WAITING)
			continue;
		g->state = GENERATION_RUNNING;
		engine->waiting--;
		engine->running++;
		pthread_cond_signal(&g->woken);
	}
}

int engine_admit(struct engine *engine, struct generation *generation)
{
	int admitted;

	pthread_mutex_lock(&engine->lock);
	if (engine->draining ||
	    engine->waiting >= engine->options->max_waiting) {
		pthread_mutex_unlock(&engine->lock);
		return -1;
	}
	link_by_priority(engine, generation);
	engine->waiting++;
	start_next(engine);
	while (generation->state == GENERATION_WAITING &&
	       !generation->cancelled)
		pthread_cond_wait(&generation->woken, &engine->lock);
	admitted = generation->state == GENERATION_RUNNING;
	if (admitted)
		engine_cache_touch(&engine->cache, generation->prompt);
	else {
		engine->waiting--;
		unlink_generation(engine, generation);
	}
	pthread_mutex_unlock(&engine->lock);
	return admitted ? 0 : -1;
}

static int64_t token_ns(const struct engine *engine)
{
	double batch = 1 + SLOWDOWN_EACH * (engine->running - 1);

	return (int64_t)(engine->options->token_us * 1000.0 * batch *
			 engine->faults.slow_factor);
}

/* Shortens a step so that it ends where a fault strikes. */
static uint32_t step_size(const struct generation *g, uint32_t max)
{
	uint32_t left = g->max_tokens - g->done;

	if (g->cut_at > g->done && left > g->cut_at - g->done)
		left = g->cut_at - g->done;
	if (g->crash_at > g->done && left > g->crash_at - g->done)
		left = g->crash_at - g->done;
	return left < max ? left : max;
}

uint32_t engine_step(struct engine *engine, struct generation *generation,
		     uint32_t max, uint64_t *version)
{
	uint32_t tokens = step_size(generation, max);

	if (generation->cut_at && generation->done >= generation->cut_at)
		return 0;
	pthread_mutex_lock(&engine->lock);
	if (engine->options->token_us && tokens) {
		int64_t due = wait_now_ns() + token_ns(engine) * tokens;

		while (!generation->cancelled)
			if (wait_until(&generation->woken, &engine->lock, due))
				break;
	}
	if (generation->cancelled)
		tokens = 0;
	*version = engine->version;
	if (tokens)
		span_list_add(&generation->spans, *version, tokens);
	generation->done += tokens;
	engine->generated += tokens;
	if (generation->crash_at && generation->done >= generation->crash_at)
		_exit(CRASH_STATUS);
	pthread_mutex_unlock(&engine->lock);
	return tokens;
}

void engine_leave(struct engine *engine, struct generation *generation)
{
	pthread_mutex_lock(&engine->lock);
	unlink_generation(engine, generation);
	engine->running--;
	served_add(&engine->served, generation->id, &generation->spans);
	start_next(engine);
	pthread_mutex_unlock(&engine->lock);
}

int engine_cancel(struct engine *engine, const char *id)
{
	struct generation *g;
	int found = 0;

	pthread_mutex_lock(&engine->lock);
	for (g = engine->first; g; g = g->next) {
		if (strcmp(g->id, id))
			continue;
		g->cancelled = 1;
		found = 1;
		pthread_cond_signal(&g->woken);
	}
	pthread_mutex_unlock(&engine->lock);
	return found;
}
