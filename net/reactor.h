#ifndef NET_REACTOR_H
#define NET_REACTOR_H

#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/timer.h"

/*
 * The event loop of a daemon's traffic (libevent) and the timer service that
 * it drives. All parts that hang on one reactor run on the thread that calls
 * reactor_run() and need no locks among themselves.
 */
struct event_base;
struct event;

struct reactor {
	struct event_base *events;
	struct event *wake; /* for the next due timer */
	struct timer_service timers;
	struct clock clock;
	int64_t armed_ns; /* what `wake` is armed for; INT64_MAX: not armed */
	int stopping;
};

int reactor_init(struct reactor *reactor, struct error *err);
void reactor_finish(struct reactor *reactor);

/* Returns once reactor_stop() was called. */
void reactor_run(struct reactor *reactor);
void reactor_stop(struct reactor *reactor);

/* One turn, without waiting longer than `max_wait_ns`. */
void reactor_turn(struct reactor *reactor, int64_t max_wait_ns);

int64_t reactor_now_ns(struct reactor *reactor);

/* Calls `fn` on the loop's thread for each `signal`. */
int reactor_on_signal(struct reactor *reactor, int signal,
		      void (*fn)(void *arg), void *arg, struct event **event,
		      struct error *err);
void reactor_off_signal(struct event *event);

#endif
