#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "bench/bench.h"
#include "bench/slope.h"

#include "base/alloc.h"
#include "base/clock.h"
#include "policy/choice.h"

/* Real time of one choice, by servers and threads. */

#define CHOICES 200000
#define MAX_THREADS 8
#define ROUNDS 3

struct chooser {
	const struct server_view *views;
	uint32_t count;
	uint64_t seed;
	int64_t cpu_ns;
	uint64_t sum; /* so that no choice is optimised away */
};

static struct server_view *make_views(uint32_t count)
{
	struct server_view *views = xcalloc(count, sizeof(*views));
	struct rng rng;

	rng_init(&rng, 7);
	for (uint32_t i = 0; i < count; i++) {
		struct server_view *view = &views[i];

		snprintf(view->name, sizeof(view->name), "engine-%u", i);
		snprintf(view->data_centre, sizeof(view->data_centre), "dc-%u",
			 i / 375);
		view->capacity = 16;
		view->tokens_per_s = 50;
		view->version = 1;
		view->reported_running = (uint32_t)rng_below(&rng, 16);
		view->prefix_count = 24;
		for (uint32_t p = 0; p < view->prefix_count; p++)
			view->prefixes[p] = rng_next(&rng);
	}
	return views;
}

static void *choose(void *arg)
{
	struct chooser *chooser = arg;
	struct choice_policy policy = { CHOICE_LEAST_COST, 0, 0 };
	struct choice_request request = { 0 };
	struct rng rng;
	int64_t start;

	rng_init(&rng, chooser->seed);
	request.prompt_tokens = 1200;
	request.expected_tokens = 350;
	request.min_version = 1;
	request.needs_room = 1;
	request.own_data_centre = "dc-0";
	start = thread_cpu_ns();
	for (uint32_t i = 0; i < CHOICES; i++) {
		request.prefix = rng_next(&rng);
		chooser->sum += (uint64_t)choice_pick(&policy, chooser->views,
						      chooser->count, &request,
						      &rng, NS_PER_S);
	}
	chooser->cpu_ns = thread_cpu_ns() - start;
	return NULL;
}

/* Runs all threads once; returns choices a second by wall time. */
static double run_once(const struct server_view *views, uint32_t count,
		       uint32_t threads, double *cpu_ns)
{
	struct chooser choosers[MAX_THREADS] = { 0 };
	pthread_t ids[MAX_THREADS];
	int64_t start = wall_ns();

	for (uint32_t i = 0; i < threads; i++) {
		choosers[i].views = views;
		choosers[i].count = count;
		choosers[i].seed = i + 1;
		pthread_create(&ids[i], NULL, choose, &choosers[i]);
	}
	*cpu_ns = 0;
	for (uint32_t i = 0; i < threads; i++) {
		pthread_join(ids[i], NULL);
		*cpu_ns += (double)choosers[i].cpu_ns / CHOICES / threads;
	}
	return (double)threads * CHOICES * NS_PER_S /
	       (double)(wall_ns() - start);
}

static void measure(const struct server_view *views, uint32_t count,
		    uint32_t threads)
{
	double best_ns = 0;
	double best_rate = 0;
	char name[64];

	for (uint32_t i = 0; i < ROUNDS; i++) {
		double cpu_ns;
		double rate = run_once(views, count, threads, &cpu_ns);

		if (!i || cpu_ns < best_ns)
			best_ns = cpu_ns;
		if (rate > best_rate)
			best_rate = rate;
	}
	snprintf(name, sizeof(name), "%u servers, %u threads", count, threads);
	print_figure("choice_cost", name, "processor_time", "ns/choice",
		     best_ns);
	print_figure("choice_cost", name, "total_rate", "choices/s", best_rate);
}

void bench_cost(void)
{
	static const uint32_t counts[] = { 9, 375, 12000 };
	static const uint32_t threads[] = { 1, 4, 8 };

	for (uint32_t c = 0; c < ARRAY_SIZE(counts); c++) {
		struct server_view *views = make_views(counts[c]);

		for (uint32_t t = 0; t < ARRAY_SIZE(threads); t++)
			measure(views, counts[c], threads[t]);
		free(views);
	}
}
