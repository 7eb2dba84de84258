#ifndef BACKEND_LOOP_H
#define BACKEND_LOOP_H

#include <pthread.h>
#include <stdint.h>

#include "backend/call.h"
#include "base/counter.h"

/*
 * A thread that runs many calls to backend servers concurrently over
 * persistent connections, with libcurl's multi interface and epoll.
 */
#define LOOP_FREE_HANDLES_MAX 256

struct backend_loop {
	CURLM *multi;
	int epoll_fd;
	int wake_fd;
	int64_t timer_due_ns; /* expiry of the timer of libcurl; -1: none */
	pthread_t thread;
	int running;
	pthread_mutex_t lock;
	struct backend_call *submitted;
	struct backend_call **submitted_tail;
	uint64_t *cancels; /* ids of calls to cancel */
	uint32_t cancel_count;
	uint32_t cancel_alloc;
	int stopping;
	struct backend_call *active;
	uint64_t last_id;
	CURL *free_handles[LOOP_FREE_HANDLES_MAX];
	uint32_t free_count;
	struct counter *calls;
	struct counter *lost;
};

/* Returns -1 if no file descriptor is available. */
int backend_loop_init(struct backend_loop *loop, struct counter_set *counters);
void backend_loop_finish(struct backend_loop *loop);
void backend_loop_start(struct backend_loop *loop);

/* Stops the thread; calls in flight end with CALL_CANCELLED. */
void backend_loop_stop(struct backend_loop *loop);

/*
 * Starts a call and returns its id. May be called from any thread and from
 * handlers.
 */
uint64_t backend_loop_submit(struct backend_loop *loop,
			     struct backend_call *call);

/*
 * Requests cancellation of a call; done() is then called on the thread of the
 * loop. Does nothing if the call has ended already.
 */
void backend_loop_cancel(struct backend_loop *loop, uint64_t call_id);

#endif
