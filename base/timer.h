#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <pthread.h>
#include <stdint.h>

#include "base/clock.h"

/*
 * The timer service. Parts subscribe a callback to a period or to a single
 * moment; one thread calls what is due, in order of time. An event loop, or a
 * test that moves a fake clock, starts no thread and calls
 * timer_service_run_due(). Callbacks must be short; they may subscribe and
 * unsubscribe. A subscribed timer may be subscribed again, which moves it.
 */
typedef void (*timer_fn)(void *arg, int64_t now_ns);

struct timer {
	timer_fn fn;
	void *arg;
	int64_t due_ns;
	int64_t period_ns; /* 0: once */
	uint64_t order; /* of subscription; decides between equal due times */
	uint32_t place; /* in the heap, from 1; 0: not subscribed */
};

struct timer_service {
	struct clock *clock;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct timer **heap; /* the one that is due next stands first */
	uint32_t count;
	uint32_t alloc;
	uint64_t next_order;
	struct timer *running;
	pthread_t thread;
	int has_thread;
	int stopping;
};

void timer_service_init(struct timer_service *service, struct clock *clock);
void timer_service_finish(struct timer_service *service);

/* Starts and stops the thread that calls what is due. */
void timer_service_start(struct timer_service *service);
void timer_service_stop(struct timer_service *service);

/* Calls `fn` every `period_ns`, first after one period. */
void timer_subscribe(struct timer_service *service, struct timer *timer,
		     int64_t period_ns, timer_fn fn, void *arg);

/* Calls `fn` once, `delay_ns` from now. */
void timer_subscribe_once(struct timer_service *service, struct timer *timer,
			  int64_t delay_ns, timer_fn fn, void *arg);

/*
 * Removes the timer. When it returns, the callback is not running, unless
 * it is the callback itself that calls. Returns 1 if the timer was still
 * subscribed, 0 if a single call had already begun.
 */
int timer_unsubscribe(struct timer_service *service, struct timer *timer);

/*
 * Calls all that is due now; returns how many callbacks ran. What they
 * subscribe with no delay waits for the next call.
 */
uint32_t timer_service_run_due(struct timer_service *service);

/* When the next callback is due; INT64_MAX if none is subscribed. */
int64_t timer_service_next_due_ns(struct timer_service *service);

#endif
