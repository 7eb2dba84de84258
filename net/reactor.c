#include "net/reactor.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Longest wait; bounds the delay that a wrong wake-up time causes. */
#define REACTOR_MAX_WAIT_NS (1 * NS_PER_S)

struct signal_handler {
	void (*fn)(void *arg);
	void *arg;
};

/* Only ends the wait: reactor_run_once() runs the timers that are due. */
static void on_wake(evutil_socket_t fd, short what, void *arg)
{
	struct reactor *reactor = arg;

	(void)fd;
	(void)what;
	reactor->armed_ns = INT64_MAX;
}

int reactor_init(struct reactor *reactor, struct error *err)
{
	memset(reactor, 0, sizeof(*reactor));
	system_clock_init(&reactor->clock);
	timer_service_init(&reactor->timers, &reactor->clock);
	reactor->armed_ns = INT64_MAX;
	reactor->events = event_base_new();
	if (reactor->events)
		reactor->wake =
			event_new(reactor->events, -1, 0, on_wake, reactor);
	if (!reactor->wake) {
		reactor_finish(reactor);
		return error_set(err, ERROR_IO, "cannot create the event loop");
	}
	return 0;
}

void reactor_finish(struct reactor *reactor)
{
	if (reactor->wake)
		event_free(reactor->wake);
	if (reactor->events)
		event_base_free(reactor->events);
	reactor->wake = NULL;
	reactor->events = NULL;
	timer_service_finish(&reactor->timers);
}

static void arm_wake(struct reactor *reactor, int64_t max_wait_ns)
{
	int64_t now_ns = reactor_now_ns(reactor);
	int64_t due_ns = timer_service_next_due_ns(&reactor->timers);
	struct timeval wait;
	int64_t wait_ns;

	if (due_ns > now_ns + max_wait_ns)
		due_ns = now_ns + max_wait_ns;
	/*
	 * An earlier wake-up stays armed: it costs one idle turn, another one
	 * a change of libevent's timer heap.
	 */
	if (reactor->armed_ns <= due_ns && reactor->armed_ns > now_ns)
		return;
	wait_ns = due_ns > now_ns ? due_ns - now_ns : 0;
	wait.tv_sec = wait_ns / NS_PER_S;
	wait.tv_usec = (wait_ns % NS_PER_S + NS_PER_US - 1) / NS_PER_US;
	event_add(reactor->wake, &wait);
	reactor->armed_ns = due_ns;
}

void reactor_run_once(struct reactor *reactor, int64_t max_wait_ns)
{
	timer_service_run_due(&reactor->timers);
	arm_wake(reactor, max_wait_ns);
	event_base_loop(reactor->events, EVLOOP_ONCE);
}

void reactor_run(struct reactor *reactor)
{
	while (!reactor->stopping)
		reactor_run_once(reactor, REACTOR_MAX_WAIT_NS);
}

void reactor_stop(struct reactor *reactor)
{
	reactor->stopping = 1;
	event_active(reactor->wake, EV_TIMEOUT, 0);
}

int64_t reactor_now_ns(struct reactor *reactor)
{
	return clock_now_ns(&reactor->clock);
}

static void on_signal(evutil_socket_t signal, short what, void *arg)
{
	struct signal_handler *handler = arg;

	(void)signal;
	(void)what;
	handler->fn(handler->arg);
}

int reactor_add_signal(struct reactor *reactor, int signal,
		       void (*fn)(void *arg), void *arg, struct event **event,
		       struct error *err)
{
	struct signal_handler *handler = xcalloc(1, sizeof(*handler));

	handler->fn = fn;
	handler->arg = arg;
	*event = evsignal_new(reactor->events, signal, on_signal, handler);
	if (!*event || event_add(*event, NULL)) {
		free(handler);
		return error_set(err, ERROR_IO,
				 "cannot add a handler for signal %d", signal);
	}
	return 0;
}

void reactor_remove_signal(struct event *event)
{
	free(event_get_callback_arg(event));
	event_free(event);
}
