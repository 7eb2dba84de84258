#include "base/timer.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/wait.h"

/* Longest wait of the thread, so that a wrong wake-up time heals itself. */
#define TIMER_MAX_WAIT_NS (1 * NS_PER_S)

void timer_service_init(struct timer_service *service, struct clock *clock)
{
	memset(service, 0, sizeof(*service));
	service->clock = clock;
	pthread_mutex_init(&service->lock, NULL);
	wait_cond_init(&service->changed);
}

void timer_service_finish(struct timer_service *service)
{
	timer_service_stop(service);
	free(service->heap);
	pthread_cond_destroy(&service->changed);
	pthread_mutex_destroy(&service->lock);
}

static int is_before(const struct timer *a, const struct timer *b)
{
	if (a->due_ns != b->due_ns)
		return a->due_ns < b->due_ns;
	return a->order < b->order;
}

static void put_at(struct timer_service *service, struct timer *timer,
		   uint32_t place)
{
	service->heap[place - 1] = timer;
	timer->place = place;
}

static void move_up(struct timer_service *service, struct timer *timer,
		    uint32_t place)
{
	while (place > 1 && is_before(timer, service->heap[place / 2 - 1])) {
		put_at(service, service->heap[place / 2 - 1], place);
		place /= 2;
	}
	put_at(service, timer, place);
}

static void move_down(struct timer_service *service, struct timer *timer,
		      uint32_t place)
{
	for (;;) {
		uint32_t child = place * 2;

		if (child > service->count)
			break;
		if (child < service->count &&
		    is_before(service->heap[child], service->heap[child - 1]))
			child++;
		if (!is_before(service->heap[child - 1], timer))
			break;
		put_at(service, service->heap[child - 1], place);
		place = child;
	}
	put_at(service, timer, place);
}

static void insert(struct timer_service *service, struct timer *timer)
{
	if (service->count == service->alloc) {
		service->alloc = service->alloc ? service->alloc * 2 : 16;
		service->heap = xrealloc(
			service->heap, service->alloc * sizeof(struct timer *));
	}
	timer->order = service->next_order++;
	service->count++;
	move_up(service, timer, service->count);
}

/* A timer needs no initialisation, so `place` alone tells nothing. */
static int is_subscribed(const struct timer_service *service,
			 const struct timer *timer)
{
	return timer->place && timer->place <= service->count &&
	       service->heap[timer->place - 1] == timer;
}

static void take_out(struct timer_service *service, struct timer *timer)
{
	uint32_t place = timer->place;
	struct timer *last;

	if (!is_subscribed(service, timer))
		return;
	timer->place = 0;
	last = service->heap[--service->count];
	if (last == timer)
		return;
	if (place > 1 && is_before(last, service->heap[place / 2 - 1]))
		move_up(service, last, place);
	else
		move_down(service, last, place);
}

static void subscribe(struct timer_service *service, struct timer *timer,
		      int64_t delay_ns, int64_t period_ns, timer_fn fn,
		      void *arg)
{
	pthread_mutex_lock(&service->lock);
	take_out(service, timer);
	timer->fn = fn;
	timer->arg = arg;
	timer->period_ns = period_ns;
	timer->due_ns = clock_now_ns(service->clock) + delay_ns;
	insert(service, timer);
	/* The thread sleeps until the first one; others don't concern it. */
	if (service->has_thread && timer->place == 1)
		pthread_cond_broadcast(&service->changed);
	pthread_mutex_unlock(&service->lock);
}

void timer_subscribe(struct timer_service *service, struct timer *timer,
		     int64_t period_ns, timer_fn fn, void *arg)
{
	subscribe(service, timer, period_ns, period_ns, fn, arg);
}

void timer_subscribe_once(struct timer_service *service, struct timer *timer,
			  int64_t delay_ns, timer_fn fn, void *arg)
{
	subscribe(service, timer, delay_ns, 0, fn, arg);
}

int timer_unsubscribe(struct timer_service *service, struct timer *timer)
{
	int was_subscribed;
	int own = service->has_thread &&
		  pthread_equal(pthread_self(), service->thread);

	pthread_mutex_lock(&service->lock);
	was_subscribed = is_subscribed(service, timer);
	take_out(service, timer);
	timer->period_ns = 0;
	while (!own && service->has_thread && service->running == timer)
		pthread_cond_wait(&service->changed, &service->lock);
	pthread_mutex_unlock(&service->lock);
	return was_subscribed;
}

/*
 * Runs the first timer if it is due at `until_ns`; the lock is held on entry
 * and exit.
 */
static int run_first(struct timer_service *service, int64_t until_ns)
{
	struct timer *timer = service->count ? service->heap[0] : NULL;
	int64_t now_ns;

	if (!timer || timer->due_ns > until_ns)
		return 0;
	now_ns = clock_now_ns(service->clock);
	take_out(service, timer);
	if (timer->period_ns) {
		timer->due_ns = now_ns + timer->period_ns;
		insert(service, timer);
	}
	service->running = timer;
	pthread_mutex_unlock(&service->lock);
	timer->fn(timer->arg, now_ns);
	pthread_mutex_lock(&service->lock);
	service->running = NULL;
	if (service->has_thread)
		pthread_cond_broadcast(&service->changed);
	return 1;
}

uint32_t timer_service_run_due(struct timer_service *service)
{
	int64_t began_ns = clock_now_ns(service->clock);
	uint32_t count = 0;

	pthread_mutex_lock(&service->lock);
	/* Those that the timers subscribe meanwhile wait for the next call. */
	while (run_first(service, began_ns))
		count++;
	pthread_mutex_unlock(&service->lock);
	return count;
}

int64_t timer_service_next_due_ns(struct timer_service *service)
{
	int64_t due_ns;

	pthread_mutex_lock(&service->lock);
	due_ns = service->count ? service->heap[0]->due_ns : INT64_MAX;
	pthread_mutex_unlock(&service->lock);
	return due_ns;
}

static void wait_for_next(struct timer_service *service)
{
	int64_t wait_ns = TIMER_MAX_WAIT_NS;

	if (service->count) {
		int64_t left_ns =
			service->heap[0]->due_ns - clock_now_ns(service->clock);

		if (left_ns <= 0)
			return;
		if (left_ns < wait_ns)
			wait_ns = left_ns;
	}
	wait_until(&service->changed, &service->lock, wait_now_ns() + wait_ns);
}

static void *timer_thread(void *arg)
{
	struct timer_service *service = arg;

	pthread_mutex_lock(&service->lock);
	while (!service->stopping) {
		wait_for_next(service);
		while (!service->stopping &&
		       run_first(service, clock_now_ns(service->clock)))
			;
	}
	pthread_mutex_unlock(&service->lock);
	return NULL;
}

void timer_service_start(struct timer_service *service)
{
	service->stopping = 0;
	service->has_thread = 1;
	pthread_create(&service->thread, NULL, timer_thread, service);
}

void timer_service_stop(struct timer_service *service)
{
	if (!service->has_thread)
		return;
	pthread_mutex_lock(&service->lock);
	service->stopping = 1;
	pthread_cond_broadcast(&service->changed);
	pthread_mutex_unlock(&service->lock);
	pthread_join(service->thread, NULL);
	service->has_thread = 0;
}
