#ifndef NET_REACTOR_H
#define NET_REACTOR_H

#include <stdint.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/timer.h"

/*
 * The event loop of a daemon's network traffic (libevent) and the timer
 * service that it drives. All callbacks of one reactor run on the thread that
 * calls reactor_run() and need no locks among themselves.
 */
struct event_base;
struct event;

struct reactor {
	struct event_base *events;
	struct event *wake; /* fires when the next timer is due */
	struct timer_service timers;
	struct clock clock;
	int64_t armed_ns; /* when `wake` fires; INT64_MAX: not armed */
	int stopping;
};

int reactor_init(struct reactor *reactor, struct error *err);
void reactor_finish(struct reactor *reactor);

/* Runs the loop until reactor_stop() is called. */
void reactor_run(struct reactor *reactor);
void reactor_stop(struct reactor *reactor);

/* Runs the loop once; waits for events for at most `max_wait_ns`. */
void reactor_run_once(struct reactor *reactor, int64_t max_wait_ns);

int64_t reactor_now_ns(struct reactor *reactor);

/*
 * Calls `fn` on the loop's thread for each `signal`, until `*event` is passed
 * to reactor_remove_signal().
 */
int reactor_add_signal(struct reactor *reactor, int signal,
		       void (*fn)(void *arg), void *arg, struct event **event,
		       struct error *err);
void reactor_remove_signal(struct event *event);

#endif
