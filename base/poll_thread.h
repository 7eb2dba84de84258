#ifndef BASE_POLL_THREAD_H
#define BASE_POLL_THREAD_H

#include <pthread.h>
#include <stdint.h>

#include "base/error.h"

/* A thread that calls a function again and again, with a pause between. */
struct poll_thread {
	void (*fn)(void *arg);
	void *arg;
	uint32_t pause_ms;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int running;
	int stopping;
};

/* The first call comes at once. */
int poll_thread_start(struct poll_thread *poll, uint32_t pause_ms,
		      void (*fn)(void *arg), void *arg, struct error *err);

/* Returns when the function is not running; nothing if it never started. */
void poll_thread_stop(struct poll_thread *poll);

#endif
